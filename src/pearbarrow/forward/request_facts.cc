#include "pearbarrow/forward/request_facts.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <initializer_list>
#include <string_view>
#include <vector>

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

/// Longest id of a request that is looked up as a stream to resume.
constexpr std::size_t max_stream_id_bytes = 200;

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

/// Compares without regard to case and with `_` equal to `-`, because some back ends treat both as
/// the same name.
bool is_same_name(std::string_view left, std::string_view right) {
    const auto normal = [](char letter) {
        return letter == '_' ? '-' : std::tolower(static_cast<unsigned char>(letter));
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char one, char other) { return normal(one) == normal(other); });
}

template <typename Names>
bool is_among(std::string_view name, const Names& names) {
    return std::any_of(std::begin(names), std::end(names),
                       [&](const auto& one) { return is_same_name(name, one); });
}

/// Returns the names listed in `Connection` headers, which are hop-by-hop headers.
std::vector<std::string_view> named_by_connection(const net::http_headers& headers) {
    std::vector<std::string_view> names;
    for (const net::http_header& header : headers.all()) {
        if (!is_same_name(header.name, "connection")) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            names.push_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

/// Returns the headers without hop-by-hop headers and those selected by `is_dropped`.
template <typename Dropped>
net::http_headers without(const net::http_headers& headers, const Dropped& is_dropped) {
    const std::vector<std::string_view> named = named_by_connection(headers);
    net::http_headers kept;
    for (const net::http_header& header : headers.all()) {
        if (!is_among(header.name, connection_headers) && !is_dropped(header.name, named)) {
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
                   .max_tokens = *most,
                   .previous_turn = request.headers.find(names.previous_turn).value_or("")});
}

/// The value is used only to select a back end, so a malformed one is treated as missing.
std::uint64_t read_prompt_tokens(const net::http_request& request, const header_names& names) {
    const auto usage = request.headers.find(names.token_usage).value_or("");
    return number(std::string_view(usage).substr(0, usage.find(','))).value_or(0);
}

void read_key(const net::http_request& request, const header_names& names, request_facts& facts) {
    for (const net::http_header& header : request.headers.all()) {
        if (is_same_name(header.name, names.key)) {
            ++facts.key_count;
            facts.key = trimmed(header.value);
        }
    }
}

void read_resumed_stream(const net::http_request& request, const header_names& names,
                         request_facts& facts) {
    for (const net::http_header& header : request.headers.all()) {
        if (is_same_name(header.name, names.resumed_stream)) {
            ++facts.resumed_stream_count;
            facts.resumed_stream = trimmed(header.value);
        }
    }
    facts.has_last_event = !request.headers.find(names.last_event).value_or("").empty();
}

}  // namespace

absl::StatusOr<request_facts> read_facts(const net::http_request& request,
                                         const header_names& names) {
    request_facts facts;
    facts.request_id = request.headers.find(names.request_id).value_or("");
    facts.host = request.headers.find("Host").value_or("");
    facts.program = request.headers.find(names.program).value_or("");
    facts.session = request.headers.find(names.session).value_or("");
    read_key(request, names, facts);
    read_resumed_stream(request, names, facts);
    auto deadline = read_milliseconds(request, names.deadline);
    auto program_left = read_milliseconds(request, names.program_deadline);
    if (!deadline.ok() || !program_left.ok()) {
        return deadline.ok() ? program_left.status() : deadline.status();
    }
    facts.deadline_ms = *deadline;
    facts.prompt_tokens = read_prompt_tokens(request, names);
    facts.program_left_ms = *program_left;
    auto turn = read_turn(request, names, facts.program);
    if (!turn.ok()) {
        return turn.status();
    }
    facts.turn = *std::move(turn);
    return facts;
}

bool is_valid_resumption(const request_facts& facts) {
    const std::string& name = facts.resumed_stream;
    const bool is_id = !name.empty() && name.size() <= max_stream_id_bytes &&
                       std::all_of(name.begin(), name.end(),
                                   [](unsigned char byte) { return std::isgraph(byte) != 0; });
    return facts.resumed_stream_count == 0 || (facts.resumed_stream_count == 1 && is_id);
}

net::http_headers forwarded_headers(const net::http_headers& headers, const header_names& names) {
    return without(headers, [&](std::string_view name, const auto& named) {
        if (is_same_name(name, names.request_id)) {
            return false;
        }
        return is_among(name, named) || is_among(name, names.reserved) ||
               is_among(name, std::initializer_list<std::string_view>{
                                  "expect", names.deadline, names.target_backend, names.key,
                                  names.tenant, names.engine_priority});
    });
}

net::http_headers returned_headers(const net::http_headers& headers) {
    return without(headers,
                   [](std::string_view name, const auto& named) { return is_among(name, named); });
}

}  // namespace pearbarrow::forward
