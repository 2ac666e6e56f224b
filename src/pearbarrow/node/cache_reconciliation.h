/// Frees engines' memory of programs that have ended: the shell of `cache_reconciler`.
///
/// Each engine is listed by the node that dispatches its cell. The owner of each listed program's
/// shard is asked, one question a shard; it answers once a majority has confirmed that it still
/// owns the shard. Where no owner answers, nothing is freed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "pearbarrow/node/backend_service.h"
#include "pearbarrow/node/cache_reconciler.h"
#include "pearbarrow/node/configuration_view.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/ownership_director.h"
#include "pearbarrow/node/peer_health.h"

namespace pearbarrow::node {

class cache_reconciliation {
  public:
    cache_reconciliation(node_context& context, membership_service& membership,
                         const configuration_view& configuration, backend_service& backends,
                         ownership_director& ownership, peer_health& health);
    ~cache_reconciliation();
    cache_reconciliation(const cache_reconciliation&) = delete;
    cache_reconciliation& operator=(const cache_reconciliation&) = delete;

    void start();

  private:
    void tick();
    std::vector<base::backend_id> own_engines() const;
    void list(const base::backend_id& engine);
    void ask(base::shard_id shard, std::vector<base::program_id> programs);
    void free(const cache_orphan& orphan);

    node_context& context_;
    membership_service& membership_;
    const configuration_view& configuration_;
    backend_service& backends_;
    ownership_director& ownership_;
    peer_health& health_;
    cache_reconciler core_;
    base::counter freed_;
    std::uint64_t last_call_ = 0;
    std::map<std::uint64_t, std::unique_ptr<net::peer_call_handle>> calls_;
    std::unique_ptr<net::timer_handle> ticker_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
