/// The first shard map: proposed once, when the configuration has none.
///
/// Every shard gets replicas in as many zones of its region as have nodes with disks, at most
/// three. The node with the smallest name proposes, once the members have been steady for a while
/// and all seeds have been seen (or have not come for long).
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/node/configuration_service.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::node {

class shard_map_bootstrap {
  public:
    shard_map_bootstrap(node_context& context, membership_service& membership,
                        configuration_service& configuration);
    ~shard_map_bootstrap();
    shard_map_bootstrap(const shard_map_bootstrap&) = delete;
    shard_map_bootstrap& operator=(const shard_map_bootstrap&) = delete;

    void start();
    /// The members have changed.
    void members_changed();

  private:
    void tick();
    bool steady() const;
    bool all_seeds_seen() const;
    void ask_for_store(const membership::member& member);
    std::vector<membership::member> disk_nodes() const;
    config::shard_map_spec make_map(const std::vector<membership::member>& nodes) const;
    void propose(const std::vector<membership::member>& nodes);

    node_context& context_;
    membership_service& membership_;
    configuration_service& configuration_;
    base::instant started_;
    base::instant last_change_;
    /// Identity of each node's store, as it told.
    std::map<base::node_id, std::string> stores_;
    std::map<base::node_id, std::unique_ptr<net::peer_call_handle>> questions_;
    bool proposing_ = false;
    std::unique_ptr<net::timer_handle> ticker_;
};

}  // namespace pearbarrow::node
