/// The queue and engine choice of one cell: a pure state machine.
///
/// The dispatcher's shell feeds events and carries the actions out. The state is soft: after a
/// take-over, owners offer again what has no grant and register what is in flight.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/placement/decision.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::placement {

/// How calls in the queue are ordered and placed. The fields that switch a mechanism off are for
/// experiments and tests.
struct cell_options {
    std::uint32_t queue_limit = 4096;
    /// A call that has waited this long goes before every call that has not.
    base::milliseconds starvation_bound{30'000};
    /// Decision records kept in memory for `explain`.
    std::uint32_t record_limit = 4096;
    /// A load report older than this is not used.
    base::milliseconds report_horizon{5'000};
    /// The longest pin of a paused program's prefix.
    base::milliseconds longest_pin{60'000};
    /// Calls waiting that one pass over the queue looks at when the head can't start.
    std::uint32_t scan_limit = 16;

    bool program_order = true;
    bool prefix_affinity = true;
    bool retention = true;
    bool tenant_fairness = true;
    bool early_refusal = true;
};

/// An engine of the cell as configured and as it last reported on itself.
struct cell_engine {
    base::backend_id backend;
    std::map<std::string, std::string> labels;
    std::vector<base::model_name> models;
    /// Requests at once, and tokens of context at once, that the engine takes.
    std::uint32_t in_flight_limit = 32;
    std::uint64_t token_limit = 200'000;
    /// Leaving (machine list, own report or an operator's order): gets nothing new.
    bool draining = false;
    /// Not reachable at the moment: gets nothing new, its calls may still end.
    bool unreachable = false;
    /// Speeds assumed until finished calls have shown better.
    double prefill_us_per_token = 100;
    double decode_us_per_token = 20'000;
};

/// A scheduling rule: programs that match the one selector may run only on engines that match the
/// other. Selector syntax: see config/selector.h. An empty selector matches everything.
struct cell_rule {
    std::string name;
    std::string program_selector;
    std::string engine_selector;
    std::int32_t priority = 0;
    /// Share of the tenant's programs under this rule against other rules; above 0.
    double weight = 1;
};

struct tenant_share {
    base::tenant_id tenant;
    double weight = 1;
    /// Model calls of the tenant in flight in this cell; 0 for no limit.
    std::uint32_t in_flight_limit = 0;
};

/// The whole configuration of the cell at one version; replaces the earlier one.
struct engines_changed_event {
    base::config_version version;
    std::vector<cell_engine> engines;
    std::vector<cell_rule> rules;
    std::vector<tenant_share> tenants;
};
struct offer_event {
    wire::placement_offer offer;
};
struct withdraw_event {
    base::attempt_id attempt;
};
struct finished_event {
    wire::placement_finished finished;
};
struct in_flight_registered_event {
    wire::placement_registration registration;
};
/// A load report: how the engine saw itself `age` ago.
struct engine_report_event {
    base::backend_id backend;
    base::milliseconds age{0};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t tokens_in_use = 0;
    /// Changes when the engine has started anew, with an empty cache.
    std::uint64_t incarnation = 0;
};
enum class cache_change : std::uint8_t { stored, evicted, cleared };
/// A cache event of an engine; may come late or never.
struct cache_event {
    base::backend_id backend;
    cache_change change = cache_change::stored;
    wire::prefix_mark prefix;
};
/// The engine leaves, or came back. Takes effect at once, ahead of the next configuration.
struct engine_state_event {
    base::backend_id backend;
    bool draining = false;
    bool unreachable = false;
};
/// The program has ended: what is known of its prefixes is dropped.
struct program_ended_event {
    base::program_id program;
};
struct tick_event {};

using cell_event = std::variant<engines_changed_event, offer_event, withdraw_event, finished_event,
                                in_flight_registered_event, engine_report_event, cache_event,
                                engine_state_event, program_ended_event, tick_event>;

/// Send the reply with the grant to the offer's owner.
struct grant_action {
    base::attempt_id attempt;
    base::node_id owner;
    base::backend_id backend;
    base::grant_id grant;
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};
    decision_record decision;
};
/// Send the reply with the refusal. `status` carries step, reason and retry_after.
struct refuse_action {
    base::attempt_id attempt;
    base::node_id owner;
    absl::Status status;
    decision_record decision;
};
using cell_action = std::variant<grant_action, refuse_action>;

/// Fills the wire form of an action.
wire::placement_reply to_reply(const cell_action& action);

/// Numbers for metrics and for the choice between cells.
struct cell_load {
    std::uint32_t waiting = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t engines = 0;
    std::uint32_t engines_open = 0;
    double grants_per_second = 0;
};

/// A step that failed never throws: a wrong event (unknown attempt, unknown engine) changes
/// nothing. Feed a tick every 50 ms or so.
class cell_scheduler {
  public:
    explicit cell_scheduler(cell_options options);
    ~cell_scheduler();
    cell_scheduler(cell_scheduler&&) noexcept;
    cell_scheduler& operator=(cell_scheduler&&) noexcept;

    std::vector<cell_action> apply(const cell_event& event, base::instant now);

    cell_load load() const;
    /// The record of a recent decision, or of why a waiting call waits now.
    std::optional<decision_record> explain(const base::attempt_id& attempt,
                                           base::instant now) const;

  private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace pearbarrow::placement
