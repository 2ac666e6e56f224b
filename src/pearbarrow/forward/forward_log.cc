#include "pearbarrow/forward/forward_log.h"

#include <utility>

#include "pearbarrow/base/log.h"

namespace pearbarrow::forward {

void forward_log::routine(std::string_view event, nlohmann::json fields) {
    write_within(routine_, options_.routine_lines_per_second, event, std::move(fields));
}

void forward_log::unannounced(std::string_view event, nlohmann::json fields) {
    write_within(unannounced_, options_.unannounced_lines_per_second, event, std::move(fields));
}

void forward_log::write_within(line_budget& budget, std::uint32_t lines_per_second,
                               std::string_view event, nlohmann::json fields) {
    const base::instant now = clock_.now();
    if (now - budget.second_started_at >= base::seconds{1}) {
        budget.second_started_at = now;
        budget.lines = 0;
    }
    if (budget.lines >= lines_per_second) {
        ++budget.suppressed_lines;
        return;
    }
    ++budget.lines;
    if (budget.suppressed_lines > 0) {
        fields["left_out"] = std::exchange(budget.suppressed_lines, 0);
    }
    base::log(base::log_level::info, event, std::move(fields));
}

void forward_log::notable(std::string_view event, nlohmann::json fields) {
    base::log(base::log_level::info, event, std::move(fields));
}

void forward_log::undelivered(const net::undelivered_response& response) {
    const std::string stage(net::to_string(response.stage));
    const std::string reason = response.reason.empty() ? "closed" : response.reason;
    metrics_
        .add_counter("pearbarrow_forward_undelivered_total",
                     "Responses that callers did not receive as a whole",
                     {{"stage", stage}, {"reason", reason}})
        .increment();
    notable("response_undelivered", {{"request", response.request},
                                     {"peer", response.peer},
                                     {"stage", stage},
                                     {"bytes", response.bytes},
                                     {"reason", reason}});
}

void forward_log::connection_rejected(std::string_view reason) {
    metrics_
        .add_counter("pearbarrow_connections_rejected_total",
                     "Connections of callers that were rejected", {{"reason", std::string(reason)}})
        .increment();
    routine("connection_rejected", {{"reason", reason}});
}

void forward_log::count_response(std::string_view kind, int status, std::string_view reason,
                                 base::microseconds took) {
    metrics_
        .add_counter("pearbarrow_forward_answers_total", "Answers given to callers",
                     {{"kind", std::string(kind)},
                      {"status", std::to_string(status)},
                      {"reason", std::string(reason)}})
        .increment();
    metrics_
        .add_histogram("pearbarrow_forward_answer_seconds",
                       "Time from a request's arrival to the end of its answer",
                       {{"kind", std::string(kind)}})
        .observe(static_cast<double>(took.count()) * 1e-6);
}

void forward_log::count_attempt(std::string_view result) {
    metrics_
        .add_counter("pearbarrow_forward_attempts_total", "Attempts at back ends, by their end",
                     {{"result", std::string(result)}})
        .increment();
}

void forward_log::count_response_end(const net::response_end& end) {
    metrics_
        .add_counter("pearbarrow_forward_response_ends_total",
                     "Responses of back ends, by how they ended",
                     {{"framing", std::string(net::to_string(end.framing))},
                      {"connection", std::string(net::to_string(end.connection))},
                      {"verdict", std::string(net::to_string(net::verdict_of(end)))}})
        .increment();
}

void forward_log::count_choice(std::string_view service, std::size_t compared) {
    const base::metric_labels labels = {{"service", std::string(service)}};
    metrics_
        .add_counter("pearbarrow_forward_choices_total", "Choices among a service's back ends",
                     labels)
        .increment();
    metrics_.add_counter("pearbarrow_forward_weighed_total", "Back ends weighed in choices", labels)
        .increment(static_cast<double>(compared));
}

void forward_log::count_connection(std::string_view service) {
    metrics_
        .add_counter("pearbarrow_forward_connections_total",
                     "Connections opened to a service's back ends",
                     {{"service", std::string(service)}})
        .increment();
}

void forward_log::count_paused_reading() {
    metrics_
        .add_counter("pearbarrow_forward_held_back_total",
                     "Times that an answer was read no further until its caller had taken more")
        .increment();
}

void forward_log::count_resumed(std::string_view outcome) {
    metrics_
        .add_counter("pearbarrow_forward_resumed_streams_total",
                     "Requests that resume a stream, by outcome",
                     {{"outcome", std::string(outcome)}})
        .increment();
}

std::string forward_log::counted_name(std::string_view tenant) {
    if (counted_tenants_.size() < options_.counted_tenants) {
        counted_tenants_.emplace(tenant);
    }
    const bool is_counted = counted_tenants_.find(tenant) != counted_tenants_.end();
    return is_counted ? std::string(tenant) : "other";
}

void forward_log::count_blocked(std::string_view tenant) {
    metrics_
        .add_counter("pearbarrow_suspects_refused_total",
                     "Requests refused since back ends ended under them",
                     {{"tenant", counted_name(tenant)}})
        .increment();
}

void forward_log::count_held(std::string_view tenant) {
    metrics_
        .add_counter("pearbarrow_suspects_held_total",
                     "Requests refused until it is known whether back ends ended under them",
                     {{"tenant", counted_name(tenant)}})
        .increment();
}

void forward_log::count_quota(std::string_view tenant, std::string_view verdict) {
    metrics_
        .add_counter("pearbarrow_tenant_quota_total",
                     "Questions whether a tenant's limit holds one more request, by their end",
                     {{"tenant", counted_name(tenant)}, {"verdict", std::string(verdict)}})
        .increment();
}

void forward_log::count_permit(std::string_view verdict) {
    metrics_
        .add_counter("pearbarrow_start_permits_total",
                     "Questions whether a cold back end bears one more request, by their end",
                     {{"verdict", std::string(verdict)}})
        .increment();
}

void forward_log::count_turn_step(std::string_view step, std::string_view outcome,
                                  base::microseconds took) {
    metrics_
        .add_histogram("pearbarrow_turn_step_seconds",
                       "Time of a turn's step on the storage members",
                       {{"step", std::string(step)}, {"outcome", std::string(outcome)}})
        .observe(static_cast<double>(took.count()) * 1e-6);
}

}  // namespace pearbarrow::forward
