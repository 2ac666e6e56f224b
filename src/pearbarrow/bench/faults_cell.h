/// The dispatcher of the simulated cell: the real scheduler, joined as `node/cell_host` joins it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "pearbarrow/placement/cell_scheduler.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::bench::faults {

class fault_world;
class sim_node;

class sim_cell {
  public:
    /// Takes the reply to an offer to its owner; false when the owner can't be reached.
    using reply_callback = std::function<bool(const wire::placement_reply&)>;

    sim_cell(fault_world& world, sim_node& node);

    void offer(const wire::placement_offer& offer, reply_callback reply);
    void withdraw(const base::attempt_id& attempt, const base::node_id& owner);
    void finish(const wire::placement_finished& finished);
    void register_in_flight(const wire::placement_registration& registration);
    /// The process of this owner is gone.
    void owner_lost(const base::node_id& owner);
    void tick();

  private:
    struct waiting_offer {
        wire::placement_offer offer;
        reply_callback reply;
    };
    struct granted_attempt {
        base::node_id owner;
        base::program_id program;
        base::backend_id backend;
    };

    void configure();
    void feed(const placement::cell_event& event);
    void carry_out(const placement::cell_action& action);

    fault_world& world_;
    sim_node& node_;
    placement::cell_scheduler scheduler_;
    std::map<base::attempt_id, waiting_offer> waiting_;
    std::map<base::attempt_id, granted_attempt> granted_;
    std::set<base::backend_id> draining_;
};

}  // namespace pearbarrow::bench::faults
