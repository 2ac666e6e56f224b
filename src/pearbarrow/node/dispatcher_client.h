/// The owners' way to the dispatchers: offers calls to their cell's dispatcher, offers again after
/// its loss, and tells a new dispatcher what is in flight.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pearbarrow/node/backoff.h"
#include "pearbarrow/node/cell_map.h"
#include "pearbarrow/node/configuration_view.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/node/peer_health.h"
#include "pearbarrow/node/placement_request.h"
#include "pearbarrow/node/retry_budget.h"
#include "pearbarrow/program/shard_actions.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::node {

class dispatcher_client {
  public:
    dispatcher_client(node_context& context, membership_service& membership,
                      const configuration_view& configuration, peer_health& health);
    ~dispatcher_client();
    dispatcher_client(const dispatcher_client&) = delete;
    dispatcher_client& operator=(const dispatcher_client&) = delete;

    /// No callback runs inside. The call's attempt names the offer.
    void offer(const program::action::call_description& call, placement_callbacks callbacks);
    /// The offer is void: its callbacks do not run any more, its grant is given back.
    void withdraw(const base::attempt_id& attempt);
    /// The granted attempt is over.
    void finish(const program::action::finish_placement& finished);
    /// An attempt that an earlier owner started occupies `backend`.
    void register_in_flight(const base::backend_id& backend,
                            const program::action::call_description& call);
    /// The program has ended: the dispatchers of these engines may forget it.
    void announce_end(const base::program_id& program,
                      const std::vector<base::backend_id>& engines);
    /// Turns to the new dispatchers after a change of the members or the configuration.
    void update();

  private:
    struct placement {
        wire::placement_offer offer;
        placement_callbacks callbacks;
        base::instant offered_at;
        base::instant granted_at;
        cell_id cell;
        base::node_id dispatcher;
        /// Set once granted.
        std::optional<base::backend_id> backend;
        backoff retry{base::milliseconds(20), base::milliseconds(1'000)};
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> timer;
    };

    wire::placement_offer describe(const program::action::call_description& call) const;
    std::optional<cell_id> cell_of(const placement& item) const;
    std::optional<base::node_id> dispatcher_of(const cell_id& cell) const;
    void send_offer(const base::attempt_id& attempt);
    void take_reply(const base::attempt_id& attempt, absl::StatusOr<std::string> reply);
    void offer_later(const base::attempt_id& attempt);
    void refuse_without_cell(const base::attempt_id& attempt);
    void send_registration(placement& item);
    void tell(const base::node_id& dispatcher, net::method_number method, std::string payload);

    node_context& context_;
    membership_service& membership_;
    const configuration_view& configuration_;
    peer_health& health_;
    std::map<base::attempt_id, placement> placements_;
    retry_budget budget_;
};

}  // namespace pearbarrow::node
