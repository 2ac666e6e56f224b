/// The cells whose queues this node runs, and the peer methods `placement_*`.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "pearbarrow/node/cell_host.h"
#include "pearbarrow/node/configuration_view.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/node/peer_health.h"
#include "pearbarrow/node/peer_prober.h"

namespace pearbarrow::node {

class dispatcher_service {
  public:
    dispatcher_service(node_context& context, membership_service& membership,
                       const configuration_view& configuration, backend_service& backends,
                       peer_health& health, peer_prober& prober);
    ~dispatcher_service();
    dispatcher_service(const dispatcher_service&) = delete;
    dispatcher_service& operator=(const dispatcher_service&) = delete;

    void register_methods();
    void start();
    /// Takes and gives up cells after a change of the members or of the configuration.
    void update();
    /// Machines that the platform's list calls leaving.
    void set_leaving(std::vector<base::backend_id> leaving);

    std::size_t cell_count() const { return cells_.size(); }
    /// Sums over the cells.
    placement::cell_load load() const;

  private:
    using handler = void (dispatcher_service::*)(const cell_id&, std::string_view,
                                                 std::shared_ptr<net::peer_responder>);

    void register_method(net::method_number method, handler function);
    void offer(const cell_id& cell, std::string_view body,
               std::shared_ptr<net::peer_responder> responder);
    void finished(const cell_id& cell, std::string_view body,
                  std::shared_ptr<net::peer_responder> responder);
    void withdraw(const cell_id& cell, std::string_view body,
                  std::shared_ptr<net::peer_responder> responder);
    void register_in_flight(const cell_id& cell, std::string_view body,
                            std::shared_ptr<net::peer_responder> responder);
    void explain(const cell_id& cell, std::string_view body,
                 std::shared_ptr<net::peer_responder> responder);
    std::optional<base::node_id> preferred_node(const cell_id& cell) const;
    cell_host* find(const cell_id& cell);
    void forget_lost_owners();

    node_context& context_;
    membership_service& membership_;
    const configuration_view& configuration_;
    backend_service& backends_;
    peer_health& health_;
    peer_prober& prober_;
    std::map<cell_id, std::unique_ptr<cell_host>> cells_;
    std::vector<base::backend_id> leaving_;
    std::set<base::node_id> live_owners_;
    std::unique_ptr<net::timer_handle> ticker_;
    std::unique_ptr<net::timer_handle> poller_;
};

}  // namespace pearbarrow::node
