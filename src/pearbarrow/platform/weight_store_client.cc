#include "pearbarrow/platform/weight_store_client.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/status.h"

namespace pearbarrow::platform {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
constexpr base::milliseconds default_retry{1'000};

absl::Status refused(const net::http_response& response, const std::string& peer) {
    base::error_details details{.step = "weight_store", .peer = peer};
    const std::string message = fmt::format("HTTP status {}", response.status);
    if (response.status == status_not_found) {
        details.reason = "model_not_found";
        return base::make_error(absl::StatusCode::kNotFound, message, details);
    }
    if (response.status != status_too_many_requests) {
        details.reason = "weight_store_unavailable";
        return base::make_error(absl::StatusCode::kUnavailable, message, details);
    }
    const std::string text = response.headers.find("Retry-After").value_or("");
    std::int64_t count = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
    details.reason = "rate_limited";
    details.retry_after =
        parsed.ec == std::errc() ? base::milliseconds(base::seconds(count)) : default_retry;
    return base::make_error(absl::StatusCode::kResourceExhausted, message, details);
}

absl::StatusOr<weight_description> read_description(const base::model_name& model,
                                                    std::string_view body) {
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return base::make_error(absl::StatusCode::kInternal, "the answer is no object",
                                {.step = "weight_store", .reason = "malformed_answer"});
    }
    weight_description result{.model = model};
    if (const auto version = parsed.find("version");
        version != parsed.end() && version->is_string()) {
        result.version = version->get<std::string>();
    }
    if (const auto bytes = parsed.find("bytes");
        bytes != parsed.end() && bytes->is_number_unsigned()) {
        result.bytes = bytes->get<std::uint64_t>();
    }
    return result;
}

}  // namespace

weight_store_client::weight_store_client(net::http_client& http, net::endpoint server,
                                         base::milliseconds timeout)
    : http_(http), server_(std::move(server)), timeout_(timeout) {}

void weight_store_client::describe(
    const base::model_name& model,
    std::function<void(absl::StatusOr<weight_description>)> callback) {
    net::http_call call;
    call.server = server_;
    call.method = "GET";
    call.target = "/v1/weights/" + model.value();
    call.head_timeout = timeout_;
    call.idle_timeout = timeout_;
    const std::string peer = net::to_string(server_);
    http_.fetch(std::move(call), [callback = std::move(callback), model,
                                  peer](absl::StatusOr<net::http_response> response) {
        if (!response.ok()) {
            callback(base::with_step(response.status(), "weight_store", peer));
        } else if (response->status != status_ok) {
            callback(refused(*response, peer));
        } else {
            callback(read_description(model, response->body));
        }
    });
}

}  // namespace pearbarrow::platform
