#include "pearbarrow/base/status.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace pearbarrow::base {
namespace {

constexpr std::string_view step_key = "pearbarrow/step";
constexpr std::string_view peer_key = "pearbarrow/peer";
constexpr std::string_view reason_key = "pearbarrow/reason";
constexpr std::string_view executed_key = "pearbarrow/executed";
constexpr std::string_view retry_after_key = "pearbarrow/retry-after-ms";

// Debian builds Abseil with its own string_view, to which std::string_view does not convert.
absl::string_view to_absl(std::string_view text) {
    return {text.data(), text.size()};
}

std::string payload(const absl::Status& status, std::string_view key) {
    const auto value = status.GetPayload(to_absl(key));
    return value.has_value() ? std::string(*value) : std::string();
}

executed parse_executed(std::string_view text) {
    if (text == "yes") {
        return executed::yes;
    }
    return text == "unknown" ? executed::unknown : executed::no;
}

void set_payload(absl::Status& status, std::string_view key, std::string_view value) {
    if (!value.empty()) {
        status.SetPayload(to_absl(key), absl::Cord(to_absl(value)));
    }
}

}  // namespace

std::string_view to_string(executed value) {
    switch (value) {
        case executed::no:
            return "no";
        case executed::yes:
            return "yes";
        case executed::unknown:
            return "unknown";
    }
    return "unknown";
}

absl::Status make_error(absl::StatusCode code, std::string_view message, error_details details) {
    absl::Status status(code, to_absl(message));
    set_payload(status, step_key, details.step);
    set_payload(status, peer_key, details.peer);
    set_payload(status, reason_key, details.reason);
    set_payload(status, executed_key, to_string(details.was_executed));
    if (details.retry_after.has_value()) {
        set_payload(status, retry_after_key, absl::StrCat(details.retry_after->count()));
    }
    return status;
}

error_details details_of(const absl::Status& status) {
    error_details details;
    details.step = payload(status, step_key);
    details.peer = payload(status, peer_key);
    details.reason = payload(status, reason_key);
    details.was_executed = parse_executed(payload(status, executed_key));
    std::int64_t retry_after = 0;
    if (absl::SimpleAtoi(payload(status, retry_after_key), &retry_after)) {
        details.retry_after = milliseconds(retry_after);
    }
    return details;
}

absl::Status with_step(absl::Status status, std::string_view step, std::string_view peer) {
    if (status.ok() || status.GetPayload(to_absl(step_key)).has_value()) {
        return status;
    }
    set_payload(status, step_key, step);
    set_payload(status, peer_key, peer);
    return status;
}

}  // namespace pearbarrow::base
