#include "pearbarrow/gateway/problem.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::gateway {
namespace {

/// Told where an error that is worth repeating names no time.
constexpr base::milliseconds default_retry_after{1'000};

struct reason_status {
    std::string_view reason;
    int status;
};

/// Reasons whose HTTP status differs from that of their code.
constexpr std::array reason_statuses{
    reason_status{"budget_exhausted", 409},   reason_status{"turn_limit", 409},
    reason_status{"loop_detected", 409},      reason_status{"run_time_limit", 409},
    reason_status{"idle_limit", 409},         reason_status{"cancelled", 409},
    reason_status{"outcome_unknown", 502},    reason_status{"output_too_large", 502},
    reason_status{"attempts_exhausted", 502}, reason_status{"parts_missing", 502},
    reason_status{"body_too_large", 413},     reason_status{"unsupported_media_type", 415},
    reason_status{"method_not_allowed", 405},
};

int status_of_code(absl::StatusCode code) {
    switch (code) {
        case absl::StatusCode::kOk:
            return 200;
        case absl::StatusCode::kInvalidArgument:
            return 400;
        case absl::StatusCode::kUnauthenticated:
            return 401;
        case absl::StatusCode::kPermissionDenied:
            return 403;
        case absl::StatusCode::kNotFound:
            return 404;
        case absl::StatusCode::kAlreadyExists:
        case absl::StatusCode::kAborted:
        case absl::StatusCode::kFailedPrecondition:
        case absl::StatusCode::kOutOfRange:
        case absl::StatusCode::kCancelled:
            return 409;
        case absl::StatusCode::kResourceExhausted:
            return 429;
        case absl::StatusCode::kUnimplemented:
            return 501;
        case absl::StatusCode::kUnavailable:
            return 503;
        case absl::StatusCode::kDeadlineExceeded:
            return 504;
        default:
            return 500;
    }
}

std::string_view title_of(int status) {
    switch (status) {
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 403:
            return "Forbidden";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 415:
            return "Unsupported Media Type";
        case 429:
            return "Too Many Requests";
        case 501:
            return "Not Implemented";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Internal Server Error";
    }
}

std::string reason_or_default(const base::error_details& details, const absl::Status& status) {
    if (!details.reason.empty()) {
        return details.reason;
    }
    std::string reason = absl::StatusCodeToString(status.code());
    std::transform(reason.begin(), reason.end(), reason.begin(),
                   [](char character) { return static_cast<char>(std::tolower(character)); });
    return reason;
}

}  // namespace

int http_status_of(const absl::Status& status) {
    const auto reason = base::details_of(status).reason;
    for (const auto& entry : reason_statuses) {
        if (entry.reason == reason) {
            return entry.status;
        }
    }
    return status_of_code(status.code());
}

nlohmann::json problem_json(const absl::Status& status, const base::node_id& node) {
    const auto details = base::details_of(status);
    const auto reason = reason_or_default(details, status);
    const int http_status = http_status_of(status);
    nlohmann::json body = {
        {"type", "urn:pearbarrow:problem:" + reason},
        {"title", title_of(http_status)},
        {"status", http_status},
        {"detail", std::string(status.message())},
        {"reason", reason},
        {"step", details.step.empty() ? "gateway" : details.step},
        {"peer", details.peer.empty() ? node.value() : details.peer},
        {"executed", base::to_string(details.was_executed)},
    };
    if (details.retry_after.has_value()) {
        body["retry_after_ms"] = details.retry_after->count();
    }
    return body;
}

net::http_response problem_response(const absl::Status& status, const base::node_id& node) {
    const auto details = base::details_of(status);
    net::http_response response;
    response.status = http_status_of(status);
    response.headers.add("Content-Type", "application/problem+json");
    const bool repeatable = response.status == 429 || response.status == 503;
    if (repeatable || details.retry_after.has_value()) {
        const auto wait = details.retry_after.value_or(default_retry_after);
        const auto whole_seconds = std::max<std::int64_t>(1, (wait.count() + 999) / 1000);
        response.headers.add("Retry-After", fmt::format("{}", whole_seconds));
    }
    if (response.status == 401) {
        response.headers.add("WWW-Authenticate", "Bearer");
    }
    response.body = dump_json(problem_json(status, node));
    return response;
}

std::string dump_json(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

net::http_response json_response(int status, const nlohmann::json& body) {
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = dump_json(body)};
}

}  // namespace pearbarrow::gateway
