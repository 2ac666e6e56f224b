/// Implementation of cell_scheduler; cell_scheduler.h documents its contract.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/placement/call_queue.h"
#include "pearbarrow/placement/cell_scheduler.h"
#include "pearbarrow/placement/class_statistics.h"
#include "pearbarrow/placement/engine_table.h"
#include "pearbarrow/placement/grant_rate.h"
#include "pearbarrow/placement/prefix_directory.h"
#include "pearbarrow/placement/record_store.h"
#include "pearbarrow/placement/rule_table.h"
#include "pearbarrow/placement/tenant_shares.h"
#include "pearbarrow/placement/working_set.h"

namespace pearbarrow::placement {

class cell_scheduler::state {
  public:
    explicit state(cell_options options) : options_(options), records_(options.record_limit) {}

    std::vector<cell_action> apply(const cell_event& event, base::instant now);
    cell_load load() const;
    std::optional<decision_record> explain(const base::attempt_id& attempt, base::instant now);

  private:
    struct tenant_state {
        std::uint32_t queued = 0;
        std::uint64_t tokens_in_flight = 0;
        /// Calls that wait because of the tenant's token limit, in order of arrival.
        std::vector<base::attempt_id> throttled;
    };
    struct paused_program {
        base::instant since;
        std::string program_class;
        std::string next_tool;
    };

    void handle(const engines_changed_event& event, base::instant now);
    void handle(const offer_event& event, base::instant now);
    void handle(const withdraw_event& event, base::instant now);
    void handle(const finished_event& event, base::instant now);
    void handle(const in_flight_registered_event& event, base::instant now);
    void handle(const engine_report_event& event, base::instant now);
    void handle(const cache_event& event, base::instant now);
    void handle(const engine_state_event& event, base::instant now);
    void handle(const program_ended_event& event, base::instant now);
    void handle(const tick_event& event, base::instant now);

    /// Engines that are permitted to serve the offer.
    engine_mask permitted_engines(const wire::placement_offer& offer, const program_rules& rules);
    queue_key key_for(const wire::placement_offer& offer, const program_rules& rules,
                      base::instant now);
    void record_pause(const wire::placement_offer& offer, base::instant now);
    void record_program_end(const base::program_id& program);
    void refuse_expired_calls(base::instant now);
    /// Scans the queue and grants the calls that can start.
    void dispatch(base::instant now);
    enum class attempt_result : std::uint8_t { moved, waits, waits_for_memory };
    /// Decides on one call of the queue.
    attempt_result try_call(const waiting_call& call, base::instant now);

    /// Writes all inputs of a decision about the call into `inputs_`.
    void gather(const waiting_call& call, bool on_arrival, base::instant now);
    /// Writes only the inputs of `decide_quickly`. The caller must call `complete` before it
    /// records the inputs and before the call leaves its queue position.
    void gather_numbers(const waiting_call& call, bool on_arrival, base::instant now);
    void gather_limits(const waiting_call& call, bool on_arrival);
    void gather_candidates(const waiting_call& call, base::instant now);
    /// Writes loads and speeds of all engines unless `inputs_` is up to date.
    void fill_engines(base::instant now);
    void set_exclusion_reasons(const waiting_call& call);
    /// Adds the inputs that do not affect the outcome.
    void complete(const waiting_call& call);
    std::string_view exclusion(const waiting_call& call, std::size_t engine) const;
    void grant(waiting_call call, std::size_t engine, base::instant now);
    void refuse(const wire::placement_offer& offer, const decision_outcome& outcome);
    base::milliseconds pin_lease(const wire::placement_offer& offer);
    /// Removes the program's prefixes on other engines and returns these engines.
    std::vector<base::backend_id> drop_stale_holders(const wire::placement_offer& offer,
                                                     std::size_t chosen);
    void record_finished_call(const running_call& call, const wire::placement_finished& finished,
                              base::instant now);
    void record_prefixes(const wire::placement_offer& offer, std::size_t engine, base::instant now);

    void enqueue(waiting_call call);
    std::optional<waiting_call> dequeue(const base::attempt_id& attempt);
    void throttle(const waiting_call& call);
    void resume_throttled(const base::tenant_id& tenant, base::instant now);
    void add_tenant_tokens(const base::tenant_id& tenant, std::int64_t tokens);
    void remove_idle_tenant(const base::tenant_id& tenant);
    bool in_take_over(base::instant now) const;

    cell_options options_;
    engine_table engines_;
    rule_table rules_;
    call_queue queue_;
    prefix_directory directory_;
    tenant_shares shares_;
    working_set working_set_;
    grant_rate rate_;
    record_store records_;
    std::map<std::string, class_statistics> classes_;
    absl::flat_hash_map<base::program_id, paused_program> paused_;
    absl::flat_hash_map<base::tenant_id, tenant_state> tenants_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t next_grant_ = 1;
    std::optional<base::instant> first_event_;
    base::instant last_housekeeping_;
    /// Reused for every decision to avoid allocations.
    decision_inputs inputs_;
    std::vector<prefix_directory::held_tokens> held_;
    /// Time and engine table version of the last update of `inputs_`.
    std::optional<std::pair<base::instant, std::uint64_t>> filled_for_;
    std::vector<cell_action> actions_;
};

}  // namespace pearbarrow::placement
