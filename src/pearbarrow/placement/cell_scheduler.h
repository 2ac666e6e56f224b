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
#include "pearbarrow/config/configuration.h"
#include "pearbarrow/placement/decision.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::placement {

/// What the order of waiting calls goes by.
enum class queue_order : std::uint8_t {
    /// The call that came first.
    arrival,
    /// The program that started first.
    program_start,
    /// The program that has been served least.
    least_attained,
    /// The program with the least expected remaining work.
    shortest_remaining,
    /// The program's start plus a multiple of its expected remaining work: short programs pass long
    /// ones, and every program's turn comes.
    stretch,
};

/// How calls in the queue are ordered and placed. The fields that switch a mechanism off are for
/// experiments and tests.
struct cell_options {
    std::uint32_t queue_limit = 4096;
    /// A call that has waited this long goes before every call that has not.
    base::milliseconds starvation_bound{30'000};
    /// Decision records kept in memory for `explain`.
    std::uint32_t record_limit = 1024;
    /// A load report older than this is not used.
    base::milliseconds report_horizon{5'000};
    /// For this long after the first event, load reports count as calls in flight that are not
    /// registered yet.
    base::milliseconds take_over_time{10'000};
    /// The longest pin of a paused program's prefix.
    base::milliseconds longest_pin{60'000};
    /// A paused program's prefix is kept while the chance of its return is above this, a second.
    double least_return_rate = 0.02;
    /// How long a call may wait for the engine that holds its prefix.
    base::milliseconds affinity_wait{20'000};
    /// Calls that one pass over the queue looks at beyond those it grants.
    std::uint32_t scan_limit = 16;
    queue_order order = queue_order::stretch;
    /// Multiple of the expected remaining work in `queue_order::stretch`.
    double stretch_factor = 4;

    bool prefix_affinity = true;
    /// Pins of paused programs' prefixes. Off: they cost more than they saved (see scheduling.md).
    bool retention = false;
    /// New programs wait while the prefixes of programs under way fill an engine's memory. Off: no
    /// gain measured (see scheduling.md).
    bool working_set_limit = false;
    /// Part of an engine's token limit that programs under way may fill before new ones wait.
    double working_set_part = 1.0;
    /// A program that has paused for longer no longer counts as under way on its engine.
    base::milliseconds working_set_pause{30'000};
    bool tenant_fairness = true;
    bool early_refusal = true;
};

/// An engine (or tool service) of the cell as configured. A cell has at most 64.
struct cell_engine {
    base::backend_id backend;
    /// Labels that selectors over pools see (config::pool_labels).
    config::label_set pool_labels;
    /// What it serves: models of an engine, tools of a tool service.
    std::vector<base::model_name> models;
    std::vector<base::tool_name> tools;
    /// Requests at once, and tokens of context at once, that the engine takes.
    std::uint32_t in_flight_limit = 32;
    std::uint64_t token_limit = 200'000;
    /// Longest prompt and output together.
    std::uint64_t context_limit = 300'000;
    /// Leaving (machine list, own report or an operator's order): gets nothing new.
    bool draining = false;
    /// Not reachable at the moment: gets nothing new, its calls may still end.
    bool unreachable = false;
    /// Speeds assumed until finished calls have shown better: for a prompt token, for an output
    /// token when alone, and what each other sequence in the batch adds to it.
    double prefill_us_per_token = 100;
    double decode_us_per_token = 15'000;
    double decode_us_per_sequence = 300;
};

/// The whole configuration of the cell; replaces the earlier one. Rules, tenants' weights and
/// limits are read from `configuration`; without one (null) every program may run everywhere.
/// Calls in flight on an engine that has gone from the list stay counted for their tenants.
struct engines_changed_event {
    config::configuration_ptr configuration;
    base::region_name region;
    std::vector<cell_engine> engines;
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
/// The engine says how much of a program's prefix it still holds; may come late or never.
struct cache_event {
    base::backend_id backend;
    base::program_id program;
    std::uint32_t tokens_left = 0;
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
    /// Lower runs first, as in backend/engine_client.h.
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};
    /// Engines that hold an outdated prefix of the program: the owner may release it there.
    std::vector<base::backend_id> stale_holders;
    /// Never null; shared with the scheduler's own memory of recent decisions.
    std::shared_ptr<const decision_record> decision;
};
/// Send the reply with the refusal. `status` carries step, reason and retry_after.
struct refuse_action {
    base::attempt_id attempt;
    base::node_id owner;
    absl::Status status;
    /// Never null.
    std::shared_ptr<const decision_record> decision;
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
