#include "pearbarrow/net/endpoint.h"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "pearbarrow/base/status.h"

namespace pearbarrow::net {
namespace {

absl::Status malformed(std::string_view text) {
    // The text is untrusted input, so the message contains only a bounded part of it.
    constexpr std::size_t max_shown_bytes = 80;
    return base::make_error(
        absl::StatusCode::kInvalidArgument,
        "not an address: \"" + std::string(text.substr(0, max_shown_bytes)) + '"',
        {.step = "parse_endpoint", .reason = "malformed_endpoint"});
}

bool parse_port(std::string_view text, std::uint16_t& port) {
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, port);
    return !text.empty() && error == std::errc() && stopped == end;
}

}  // namespace

absl::StatusOr<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    endpoint result;
    if (colon == std::string_view::npos || !parse_port(text.substr(colon + 1), result.port)) {
        return malformed(text);
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    result.address = std::string(host);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(result.address, error);
    const bool has_zero = result.address.find('\0') != std::string::npos;
    if (error || has_zero || address.is_v6() != bracketed) {
        return malformed(text);
    }
    return result;
}

std::string to_string(const endpoint& value) {
    const bool is_v6 = value.address.find(':') != std::string::npos;
    const std::string host = is_v6 ? '[' + value.address + ']' : value.address;
    return host + ':' + std::to_string(value.port);
}

}  // namespace pearbarrow::net
