/// One cell whose queue this node runs: the scheduler, and who waits for its answers.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/config/configuration.h"
#include "pearbarrow/node/backend_service.h"
#include "pearbarrow/node/cell_map.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/placement/cell_scheduler.h"

namespace pearbarrow::node {

class cell_host {
  public:
    cell_host(node_context& context, backend_service& backends, cell_id cell);
    ~cell_host();
    cell_host(const cell_host&) = delete;
    cell_host& operator=(const cell_host&) = delete;

    /// `leaving` names back ends that the machine list or the platform calls leaving.
    void configure(const config::configuration_ptr& configuration,
                   const std::vector<base::backend_id>& leaving);

    /// Queues the offer; `responder` gets the grant or the refusal.
    void offer(wire::placement_offer offer, std::shared_ptr<net::peer_responder> responder);
    /// Forgets an offer, or frees the place that it was granted.
    void withdraw(const base::attempt_id& attempt);
    void finish(const wire::placement_finished& finished);
    void register_in_flight(const wire::placement_registration& registration);
    /// An owner has died: nothing that it was granted counts any more.
    void owner_lost(const base::node_id& owner);
    /// Fails every waiting offer with reason `not_dispatcher`, so that owners offer it elsewhere.
    void give_up();

    void tick();
    /// Reads each engine's load and cache events.
    void poll_engines();

    placement::cell_load load() const { return scheduler_.load(); }
    std::optional<placement::decision_record> explain(const base::attempt_id& attempt) const;

  private:
    struct granted_attempt {
        base::node_id owner;
        base::program_id program;
        base::backend_id backend;
    };
    struct engine_watch {
        std::uint64_t next_event = 0;
        std::uint32_t failures = 0;
        bool load_pending = false;
        bool events_pending = false;
        bool draining = false;
        bool unreachable = false;
        std::uint32_t block_tokens = 16;
    };

    void feed(const placement::cell_event& event);
    void carry_out(const placement::cell_action& action);
    void answer(const base::attempt_id& attempt, const placement::cell_action& action);
    void poll_load(const base::backend_id& id, backend::engine_client& client);
    void take_load(const base::backend_id& id, const absl::StatusOr<backend::load_report>& report);
    void poll_cache_events(const base::backend_id& id, backend::engine_client& client);
    void take_cache_events(const base::backend_id& id, const backend::cache_event_batch& batch);
    void set_engine_state(const base::backend_id& id, bool draining, bool unreachable);
    placement::engines_changed_event describe(const config::configuration_ptr& configuration,
                                              const std::vector<base::backend_id>& leaving) const;

    node_context& context_;
    backend_service& backends_;
    cell_id cell_;
    placement::cell_scheduler scheduler_;
    std::map<base::attempt_id, std::shared_ptr<net::peer_responder>> waiting_;
    std::map<base::attempt_id, base::program_id> offered_programs_;
    std::map<base::attempt_id, granted_attempt> granted_;
    std::map<base::backend_id, engine_watch> engines_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
