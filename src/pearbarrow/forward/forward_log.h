/// Decision logs and metrics of forwarding: one line per decision, with a bounded rate.
///
/// Lines of requests that fail, are retried, are rejected or are slow are always written. Lines of
/// successful requests share a budget, and suppressed lines are counted.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/response_end.h"

namespace pearbarrow::forward {

struct log_options {
    /// Maximum log lines per second for successful requests.
    std::uint32_t routine_lines_per_second = 5;
    /// Maximum log lines per second for successful requests whose response had neither a length nor
    /// chunks.
    std::uint32_t unannounced_lines_per_second = 50;
    /// Number of tenants with metrics of their own. All others share the name "other". Each tenant
    /// adds three series.
    std::size_t counted_tenants = 100;
};

class forward_log {
  public:
    forward_log(const base::clock& clock, base::metrics_registry& metrics, log_options options)
        : clock_(clock), metrics_(metrics), options_(options) {}

    /// Writes a line about a successful request, subject to the budget.
    void routine(std::string_view event, nlohmann::json fields);
    /// Writes a line about a successful request whose response announced no end, subject to a
    /// budget of its own.
    void unannounced(std::string_view event, nlohmann::json fields);
    /// Writes a line unconditionally.
    void notable(std::string_view event, nlohmann::json fields);
    /// Writes a line about a response that its caller did not receive as a whole, and counts it.
    void undelivered(const net::undelivered_response& response);
    /// Logs and counts a connection of a caller that was rejected.
    void connection_rejected(std::string_view reason);
    /// Counts a response. `kind` is that of the route, `status` the HTTP status and `reason` the
    /// reason code of a response created by this node.
    void count_response(std::string_view kind, int status, std::string_view reason,
                        base::microseconds took);
    void count_attempt(std::string_view result);
    /// Counts a response by its framing, the state of its connection at its end, and the verdict.
    void count_response_end(const net::response_end& end);
    /// Counts a selection among the back ends of the service and the number of back ends compared.
    void count_choice(std::string_view service, std::size_t compared);
    /// Counts a connection opened to a back end of the service.
    void count_connection(std::string_view service);
    /// Counts a response whose reading is paused until the caller has read more.
    void count_paused_reading();
    /// Counts a request that resumes a stream: sent to a back end, or the reason of its rejection.
    void count_resumed(std::string_view outcome);
    /// Counts a rejection of a blocked request. The number of distinct tenants is limited.
    void count_blocked(std::string_view tenant);
    /// Counts a rejection of a request whose attempts are still being examined.
    void count_held(std::string_view tenant);
    /// Counts the result of a quota request. The number of distinct tenants is limited.
    void count_quota(std::string_view tenant, std::string_view verdict);
    /// Counts the result of a permit request for a cold back end.
    void count_permit(std::string_view verdict);
    /// Counts a step of a turn on the storage members. `step` is "prepare" or "store".
    void count_turn_step(std::string_view step, std::string_view outcome, base::microseconds took);

  private:
    /// Lines of one budget.
    struct line_budget {
        base::instant second_started_at{};
        std::uint32_t lines = 0;
        std::uint64_t suppressed_lines = 0;
    };

    /// Returns the name under which metrics count the tenant.
    std::string counted_name(std::string_view tenant);
    void write_within(line_budget& budget, std::uint32_t lines_per_second, std::string_view event,
                      nlohmann::json fields);

    const base::clock& clock_;
    base::metrics_registry& metrics_;
    log_options options_;
    line_budget routine_;
    line_budget unannounced_;
    std::set<std::string, std::less<>> counted_tenants_;
};

}  // namespace pearbarrow::forward
