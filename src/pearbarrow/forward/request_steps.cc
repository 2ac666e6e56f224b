#include "pearbarrow/forward/request_steps.h"

namespace pearbarrow::forward {
namespace {

std::int64_t in_milliseconds(base::microseconds time) {
    return std::chrono::duration_cast<base::milliseconds>(time).count();
}

nlohmann::json in_milliseconds(const choice_cost& cost) {
    const auto rounded = [](double time) { return static_cast<std::int64_t>(time / 1'000); };
    return {{"reading", rounded(cost.prefill)},
            {"queue", rounded(cost.queue)},
            {"generating", rounded(cost.generating)},
            {"way", rounded(cost.round_trip)}};
}

}  // namespace

nlohmann::json to_json(const request_steps& steps) {
    return {{"quota", in_milliseconds(steps.quota)},
            {"permit", in_milliseconds(steps.permit)},
            {"waiting", in_milliseconds(steps.waiting)},
            {"preparing", in_milliseconds(steps.preparing)},
            {"to_head", in_milliseconds(steps.to_head)},
            {"to_first_event", in_milliseconds(steps.to_first_event)},
            {"generating", in_milliseconds(steps.generating)},
            {"longest_gap", in_milliseconds(steps.longest_gap)},
            {"storing", in_milliseconds(steps.storing)}};
}

nlohmann::json to_json(const choice& placed) {
    return {{"own", placed.in_flight},
            {"elsewhere", placed.remote_requests},
            {"elsewhere_known", placed.is_remote_load_known},
            {"candidates", placed.candidates},
            {"near", placed.preferred},
            {"cold", placed.cold.has_value()},
            {"reason", to_string(placed.reason)},
            {"unread_before", static_cast<std::int64_t>(placed.prompt.queued_tokens)},
            {"to_read", static_cast<std::int64_t>(placed.prompt.own_tokens)},
            {"cost_ms", in_milliseconds(placed.cost)}};
}

}  // namespace pearbarrow::forward
