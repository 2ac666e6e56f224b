/// Network addresses: an IP address and a port. Host names are never resolved.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <msgpack.hpp>

namespace pearbarrow::net {

struct endpoint {
    /// IPv4 or IPv6 address without brackets.
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
    MSGPACK_DEFINE(address, port);
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Fails with kInvalidArgument on any other text.
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// Formats an endpoint as `parse_endpoint` expects it.
std::string to_string(const endpoint& value);

}  // namespace pearbarrow::net
