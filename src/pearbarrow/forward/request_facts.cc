#include "pearbarrow/forward/request_facts.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <set>
#include <string_view>

#include "pearbarrow/base/status.h"

namespace pearbarrow::forward {
namespace {

constexpr std::array<std::string_view, 10> connection_headers{"connection",
                                                              "keep-alive",
                                                              "proxy-authenticate",
                                                              "proxy-authorization",
                                                              "proxy-connection",
                                                              "te",
                                                              "trailer",
                                                              "transfer-encoding",
                                                              "upgrade",
                                                              "content-length"};

std::string lower(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::uint64_t> number(std::string_view text) {
    text = trimmed(text);
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

absl::Status malformed(const std::string& header) {
    return base::make_error(absl::StatusCode::kInvalidArgument, header + " is not a number",
                            {.step = "read_request", .reason = "malformed_header"});
}

/// The names in the `Connection` headers: they concern that connection only.
std::set<std::string> named_by_connection(const net::http_headers& headers) {
    std::set<std::string> names;
    for (const net::http_header& header : headers.all()) {
        if (lower(header.name) != "connection") {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            names.insert(lower(trimmed(rest.substr(0, comma))));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

net::http_headers without(const net::http_headers& headers, std::set<std::string> dropped) {
    dropped.merge(named_by_connection(headers));
    net::http_headers kept;
    for (const net::http_header& header : headers.all()) {
        const std::string name = lower(header.name);
        const bool of_connection = std::find(connection_headers.begin(), connection_headers.end(),
                                             name) != connection_headers.end();
        if (!of_connection && dropped.count(name) == 0) {
            kept.add(header.name, header.value);
        }
    }
    return kept;
}

absl::StatusOr<std::optional<std::uint32_t>> read_milliseconds(const net::http_request& request,
                                                               const std::string& header) {
    const auto text = request.headers.find(header);
    if (!text.has_value()) {
        return std::optional<std::uint32_t>();
    }
    const auto value = number(*text);
    if (!value.has_value()) {
        return malformed(header);
    }
    return std::optional<std::uint32_t>(
        static_cast<std::uint32_t>(std::min<std::uint64_t>(*value, UINT32_MAX)));
}

absl::StatusOr<std::optional<turn_facts>> read_turn(const net::http_request& request,
                                                    const header_names& names,
                                                    const std::string& program) {
    const auto budget = request.headers.find(names.token_budget);
    if (!budget.has_value() || program.empty()) {
        return std::optional<turn_facts>();
    }
    const auto usage = request.headers.find(names.token_usage).value_or("");
    const auto comma = usage.find(',');
    const auto most = comma == std::string::npos
                          ? std::nullopt
                          : number(std::string_view(usage).substr(comma + 1));
    const auto tokens = number(*budget);
    if (!tokens.has_value()) {
        return malformed(names.token_budget);
    }
    if (!most.has_value()) {
        return malformed(names.token_usage);
    }
    return std::optional<turn_facts>(
        turn_facts{.program = program,
                   .token_budget = *tokens,
                   .most_tokens = *most,
                   .previous_turn = request.headers.find(names.previous_turn).value_or("")});
}

}  // namespace

absl::StatusOr<request_facts> read_facts(const net::http_request& request,
                                         const header_names& names) {
    request_facts facts;
    facts.request_id = request.headers.find(names.request_id).value_or("");
    facts.host = request.headers.find("Host").value_or("");
    facts.program = request.headers.find(names.program).value_or("");
    facts.session = request.headers.find(names.session).value_or("");
    auto deadline = read_milliseconds(request, names.deadline);
    auto program_left = read_milliseconds(request, names.program_deadline);
    if (!deadline.ok() || !program_left.ok()) {
        return deadline.ok() ? program_left.status() : deadline.status();
    }
    facts.deadline_ms = *deadline;
    facts.program_left_ms = *program_left;
    auto turn = read_turn(request, names, facts.program);
    if (!turn.ok()) {
        return turn.status();
    }
    facts.turn = *std::move(turn);
    return facts;
}

net::http_headers passed_on(const net::http_headers& headers, const header_names& names) {
    return without(headers, {"expect", lower(names.deadline), lower(names.target_backend)});
}

net::http_headers passed_back(const net::http_headers& headers) {
    return without(headers, {});
}

}  // namespace pearbarrow::forward
