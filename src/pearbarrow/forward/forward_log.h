/// Decision logs and metrics of forwarding: one line a decision, bounded a second.
///
/// A request that fails, is retried, refused or slow always keeps its lines; lines of requests that
/// went well share a budget, and what is left out is counted.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"

namespace pearbarrow::forward {

struct log_options {
    /// Lines a second about requests that went well.
    std::uint32_t routine_lines_per_second = 5;
    /// Tenants that metrics name; further ones share the name "other". Each is three series.
    std::size_t counted_tenants = 100;
};

class forward_log {
  public:
    forward_log(const base::clock& clock, base::metrics_registry& metrics, log_options options)
        : clock_(clock), metrics_(metrics), options_(options) {}

    /// A line about a request that went as expected.
    void routine(std::string_view event, nlohmann::json fields);
    /// A line that is always written.
    void notable(std::string_view event, nlohmann::json fields);
    /// Counts an answer. `kind` of the route, `status` of HTTP, `reason` of an answer of our own.
    void count_answer(std::string_view kind, int status, std::string_view reason,
                      base::microseconds took);
    void count_attempt(std::string_view result);
    /// Counts a choice among the service's back ends, and how many it weighed.
    void count_choice(std::string_view service, std::size_t weighed);
    /// Counts a connection that was opened to one of the service's back ends.
    void count_connection(std::string_view service);
    /// Counts an answer that is read no further until its caller has taken more.
    void count_held_back();
    /// Counts what came of a question about a tenant's limit. Only so many tenants are told apart.
    void count_quota(std::string_view tenant, std::string_view verdict);
    /// Counts what came of a question whether a cold back end bears one more request.
    void count_permit(std::string_view verdict);
    /// Counts a step of a turn on the storage members: `step` is "prepare" or "store".
    void count_turn_step(std::string_view step, std::string_view outcome, base::microseconds took);

  private:
    const base::clock& clock_;
    base::metrics_registry& metrics_;
    log_options options_;
    base::instant second_began_{};
    std::uint32_t lines_ = 0;
    std::uint64_t left_out_ = 0;
    std::set<std::string, std::less<>> counted_tenants_;
};

}  // namespace pearbarrow::forward
