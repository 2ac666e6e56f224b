/// Faults of a stand-in, set by flags or at run time by `POST /admin/faults`.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/random.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

enum class fault_kind {
    /// Answers `status` without running the request (executed no).
    refuse,
    /// Breaks the connection before the request runs.
    drop,
    /// Never answers, and does not run the request.
    hang,
    /// Runs the request, but never answers.
    hang_after,
    /// Runs the request, then breaks the connection instead of answering.
    lose_answer,
    /// Runs the request `delay` later.
    delay,
    /// Breaks a streamed answer after `after_parts` parts.
    cut_stream,
};

/// A fault and the requests that it strikes.
struct fault_rule {
    fault_kind kind = fault_kind::refuse;
    /// Method that the rule strikes; empty: all.
    std::string method;
    /// Start of the paths that the rule strikes; empty: all but `/admin`.
    std::string path;
    double probability = 1;
    /// How many more requests it strikes; none: without end.
    std::optional<std::uint64_t> count;
    base::milliseconds delay{0};
    int status = 503;
    base::milliseconds retry_after{1'000};
    std::uint64_t after_parts = 1;
};

void to_json(nlohmann::json& json, const fault_rule& value);
/// Throws on unknown kinds and fields.
void from_json(const nlohmann::json& json, fault_rule& value);

/// Wraps a stand-in's handler so that its requests meet the faults in force. Delays add up; of the
/// other kinds the first rule that strikes counts.
class fault_injector {
  public:
    fault_injector(net::event_loop& loop, std::uint64_t seed);
    ~fault_injector();

    void set(std::vector<fault_rule> rules) { rules_ = std::move(rules); }
    /// Parses `{"faults": [...]}` and puts it in place of the rules in force.
    absl::Status set_json(std::string_view text);

    /// `handler` behind the faults. Answers `/admin/faults` itself: GET lists the rules, POST
    /// replaces them.
    net::http_handler wrap(net::http_handler handler);

  private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    void handle(const net::http_handler& handler, const exchange_pointer& exchange);
    void handle_admin(net::http_exchange& exchange);
    bool strikes(fault_rule& rule, const net::http_request& request);
    void pass(const net::http_handler& handler, exchange_pointer exchange, const fault_rule* fault);
    void later(base::milliseconds delay, std::function<void()> task);
    /// Keeps a request unanswered until its client gives up.
    void hold(const exchange_pointer& exchange);

    net::event_loop& loop_;
    base::random_source random_;
    std::vector<fault_rule> rules_;
    std::set<exchange_pointer> held_;
    std::map<std::uint64_t, std::unique_ptr<net::timer_handle>> timers_;
    std::uint64_t next_timer_ = 0;
};

}  // namespace pearbarrow::emulator
