#include "pearbarrow/backend/problem.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

namespace pearbarrow::backend {
namespace {

constexpr int bad_request = 400;
constexpr int forbidden = 403;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int payload_too_large = 413;
constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

absl::StatusCode code_of(int status) {
    switch (status) {
        case bad_request:
        case payload_too_large:
            return absl::StatusCode::kInvalidArgument;
        case forbidden:
            return absl::StatusCode::kPermissionDenied;
        case not_found:
        case gone:
            return absl::StatusCode::kNotFound;
        case conflict:
            return absl::StatusCode::kFailedPrecondition;
        case too_many_requests:
            return absl::StatusCode::kResourceExhausted;
        case service_unavailable:
            return absl::StatusCode::kUnavailable;
        case gateway_timeout:
            return absl::StatusCode::kDeadlineExceeded;
        default:
            return absl::StatusCode::kInternal;
    }
}

base::executed executed_of(const nlohmann::json& body) {
    const auto text = body.value("executed", "unknown");
    if (text == "no") {
        return base::executed::no;
    }
    return text == "yes" ? base::executed::yes : base::executed::unknown;
}

std::optional<base::milliseconds> retry_after_of(const nlohmann::json& body,
                                                 const net::http_headers& headers) {
    if (body.contains("retry_after_ms") && body["retry_after_ms"].is_number()) {
        return base::milliseconds(body["retry_after_ms"].get<std::int64_t>());
    }
    const auto header = headers.find("Retry-After");
    std::int64_t whole_seconds = 0;
    if (header &&
        std::from_chars(header->data(), header->data() + header->size(), whole_seconds).ec ==
            std::errc{}) {
        return base::seconds(whole_seconds);
    }
    return std::nullopt;
}

}  // namespace

net::http_response to_response(const problem& value) {
    nlohmann::json body = {
        {"type", "about:blank"},  {"title", value.reason},
        {"status", value.status}, {"reason", value.reason},
        {"detail", value.detail}, {"executed", base::to_string(value.was_executed)}};
    net::http_response response{.status = value.status,
                                .headers = {{"Content-Type", "application/problem+json"}}};
    if (value.retry_after) {
        body["retry_after_ms"] = value.retry_after->count();
        const auto whole = std::chrono::ceil<base::seconds>(*value.retry_after);
        response.headers.add("Retry-After", std::to_string(whole.count()));
    }
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

absl::Status to_status(const net::http_response& response, std::string_view step,
                       std::string_view peer) {
    auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        body = nlohmann::json::object();
    }
    try {
        const std::string reason = body.value("reason", "");
        return base::make_error(
            code_of(response.status),
            fmt::format("status {}: {}", response.status, body.value("detail", "")),
            {.step = std::string(step),
             .peer = std::string(peer),
             .reason = reason.empty() ? fmt::format("http_{}", response.status) : reason,
             .was_executed = executed_of(body),
             .retry_after = retry_after_of(body, response.headers)});
    } catch (const nlohmann::json::exception& error) {
        return base::make_error(code_of(response.status), error.what(),
                                {.step = std::string(step),
                                 .peer = std::string(peer),
                                 .reason = "malformed_json",
                                 .was_executed = base::executed::unknown});
    }
}

absl::Status transport_error(const absl::Status& cause, std::string_view step,
                             std::string_view peer, std::string_view unreachable,
                             std::string_view lost) {
    const bool unsent = base::details_of(cause).was_executed == base::executed::no;
    const auto message = cause.message();
    return base::make_error(
        absl::StatusCode::kUnavailable, std::string_view(message.data(), message.size()),
        {.step = std::string(step),
         .peer = std::string(peer),
         .reason = std::string(unsent ? unreachable : lost),
         .was_executed = unsent ? base::executed::no : base::executed::unknown});
}

}  // namespace pearbarrow::backend
