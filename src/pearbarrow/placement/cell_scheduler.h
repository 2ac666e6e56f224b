/// The queue and the engine selection of one cell: a deterministic state machine without I/O.
///
/// The dispatcher applies events and executes the returned actions. The state is soft: after a
/// take-over, owners offer their ungranted calls again and register their calls in flight.
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

/// Ordering policy of waiting calls.
enum class queue_order : std::uint8_t {
    /// The earliest call first.
    arrival,
    /// The program that started earliest first.
    program_start,
    /// The program with the least attained service first.
    least_attained,
    /// The program with the least expected remaining work first.
    shortest_remaining,
    /// The program's start time plus a multiple of its expected remaining work. Short programs
    /// overtake long ones, and no program starves.
    stretch,
};

/// Options for ordering and placing the calls of a cell. The fields that disable a mechanism are
/// for experiments and tests.
struct cell_options {
    std::uint32_t queue_limit = 4096;
    /// A call that has waited this long goes before all calls that have waited less.
    base::milliseconds starvation_bound{30'000};
    /// Decision records kept in memory for `explain`.
    std::uint32_t record_limit = 1024;
    /// A load report older than this is not used.
    base::milliseconds report_horizon{5'000};
    /// For this long after the first event, the calls in a load report count as in flight even if
    /// they are not registered yet.
    base::milliseconds take_over_time{10'000};
    /// The longest pin of a paused program's prefix.
    base::milliseconds longest_pin{60'000};
    /// A paused program's prefix is kept while the probability per second of its return is above
    /// this.
    double least_return_rate = 0.02;
    /// How long a call may wait for the engine that holds its prefix.
    base::milliseconds affinity_wait{20'000};
    /// Maximum number of calls that one pass over the queue evaluates without granting them.
    std::uint32_t scan_limit = 16;
    queue_order order = queue_order::stretch;
    /// Multiple of the expected remaining work in `queue_order::stretch`.
    double stretch_factor = 4;

    bool prefix_affinity = true;
    /// Pins the prefixes of paused programs. Disabled by default because pins cost more than they
    /// save (see scheduling.md).
    bool retention = false;
    /// New programs wait while the prefixes of active programs fill an engine's memory. Disabled by
    /// default because it has shown no gain (see scheduling.md).
    bool working_set_limit = false;
    /// Fraction of an engine's token limit that active programs may fill before new ones wait.
    double working_set_part = 1.0;
    /// A program that has paused for longer no longer counts as active on its engine.
    base::milliseconds working_set_pause{30'000};
    bool tenant_fairness = true;
    bool early_refusal = true;
};

/// An engine (or tool service) of the cell as configured. A cell has at most 64.
struct cell_engine {
    base::backend_id backend;
    /// Labels that pool selectors match (config::pool_labels).
    config::label_set pool_labels;
    /// Models that an engine serves, or tools that a tool service serves.
    std::vector<base::model_name> models;
    std::vector<base::tool_name> tools;
    /// Maximum number of concurrent requests and of their context tokens.
    std::uint32_t in_flight_limit = 32;
    std::uint64_t token_limit = 200'000;
    /// Maximum length of prompt and output together.
    std::uint64_t context_limit = 300'000;
    /// The engine is leaving (by machine list, its own report or an operator's order) and receives
    /// no new calls.
    bool draining = false;
    /// The engine is unreachable and receives no new calls. Its calls may still finish.
    bool unreachable = false;
    /// Nominal speeds, which the slowdown of finished calls scales: the time per prompt token, the
    /// time per output token of a single sequence, and the time that each other sequence in the
    /// batch adds to an output token.
    double prefill_us_per_token = 100;
    double decode_us_per_token = 15'000;
    double decode_us_per_sequence = 300;
};

/// Replaces the whole configuration of the cell. Rules, tenant weights and limits come from
/// `configuration`; if it is null, every program may use every engine. Calls in flight on a removed
/// engine still count for their tenants.
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
/// A load report: the state of the engine `age` ago.
struct engine_report_event {
    base::backend_id backend;
    base::milliseconds age{0};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t tokens_in_use = 0;
    /// Changes when the engine restarts with an empty cache.
    std::uint64_t incarnation = 0;
};
/// Reports how much of a program's prefix the engine still caches. The event may be late or lost.
struct cache_event {
    base::backend_id backend;
    base::program_id program;
    std::uint32_t tokens_left = 0;
};
/// The engine leaves or returns. The change takes effect before the next configuration arrives.
struct engine_state_event {
    base::backend_id backend;
    bool draining = false;
    bool unreachable = false;
};
/// The program has ended; the records of its prefixes are removed.
struct program_ended_event {
    base::program_id program;
};
struct tick_event {};

using cell_event = std::variant<engines_changed_event, offer_event, withdraw_event, finished_event,
                                in_flight_registered_event, engine_report_event, cache_event,
                                engine_state_event, program_ended_event, tick_event>;

/// Sends the reply with the grant to the offer's owner.
struct grant_action {
    base::attempt_id attempt;
    base::node_id owner;
    base::backend_id backend;
    base::grant_id grant;
    /// Lower values are executed first, as in backend/engine_client.h.
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};
    /// Engines that cache an outdated prefix of the program. The owner may release it there.
    std::vector<base::backend_id> stale_holders;
    /// Never null; shared with the scheduler's store of recent decisions.
    std::shared_ptr<const decision_record> decision;
};
/// Sends the reply with the refusal to the offer's owner. `status` carries step, reason and
/// retry_after.
struct refuse_action {
    base::attempt_id attempt;
    base::node_id owner;
    absl::Status status;
    /// Never null.
    std::shared_ptr<const decision_record> decision;
};
using cell_action = std::variant<grant_action, refuse_action>;

/// Converts an action to its wire format.
wire::placement_reply to_reply(const cell_action& action);

/// Load figures for metrics and for the selection of a cell.
struct cell_load {
    std::uint32_t waiting = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t engines = 0;
    std::uint32_t engines_open = 0;
    double grants_per_second = 0;
};

/// Scheduler of one cell. `apply` does not throw: an invalid event (unknown attempt or engine)
/// changes nothing. The caller applies a tick event about every 50 ms.
class cell_scheduler {
  public:
    explicit cell_scheduler(cell_options options);
    ~cell_scheduler();
    cell_scheduler(cell_scheduler&&) noexcept;
    cell_scheduler& operator=(cell_scheduler&&) noexcept;

    std::vector<cell_action> apply(const cell_event& event, base::instant now);

    cell_load load() const;
    /// The record of a recent decision, or the current reason why a call waits.
    std::optional<decision_record> explain(const base::attempt_id& attempt,
                                           base::instant now) const;

  private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace pearbarrow::placement
