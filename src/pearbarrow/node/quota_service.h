/// Limits counted over the fleet: this node's part as an owner that asks, and as a limit's home.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/node/configuration_view.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/node/peer_health.h"
#include "pearbarrow/node/quota_home.h"

namespace pearbarrow::node {

class quota_service {
  public:
    /// What the shards that this node owns use.
    using use_reader = std::function<program::quota_use_map()>;

    quota_service(node_context& context, membership_service& membership,
                  const configuration_view& configuration, peer_health& health);
    ~quota_service();
    quota_service(const quota_service&) = delete;
    quota_service& operator=(const quota_service&) = delete;

    /// Registers the peer method `quota_claim`.
    void register_methods();
    void start(use_reader use);
    /// Reports to the new homes after a change of the members.
    void update();

    /// Asks the homes of all needs in turn. `done` gets ok when each has room, and must take the
    /// program or call before it returns; else the refusal: reason such as `tenant_rate`, executed
    /// `no`, with a time to come back, or `limits_unavailable` when a home can't be reached.
    void acquire(std::vector<program::quota_need> needs,
                 std::function<void(const absl::Status&)> done);

  private:
    struct acquisition;

    base::node_id home_of(const program::quota_key& key) const;
    std::uint64_t used(const program::quota_use_map& use, const program::quota_key& key) const;
    void ask(const std::shared_ptr<acquisition>& item);
    void take_reply(const std::shared_ptr<acquisition>& item,
                    const absl::StatusOr<std::string>& payload);
    void ask_again(const std::shared_ptr<acquisition>& item);
    /// `item` by value: taking it from the open ones must not destroy it.
    void finish(std::shared_ptr<acquisition> item, const absl::Status& status);
    void report();
    std::unique_ptr<net::peer_call_handle> call(const base::node_id& home, std::string payload,
                                                net::peer_call_callbacks callbacks);

    node_context& context_;
    membership_service& membership_;
    const configuration_view& configuration_;
    peer_health& health_;
    use_reader use_;
    quota_home home_;
    std::set<std::shared_ptr<acquisition>> open_;
    /// Asked for by requests that the owners have not taken yet.
    std::map<program::quota_key, std::uint64_t> pending_;
    /// Reported as used last time: reported once more when it is not used any longer.
    std::set<program::quota_key> reported_;
    std::map<base::node_id, std::unique_ptr<net::peer_call_handle>> reports_;
    std::unique_ptr<net::timer_handle> ticker_;
};

}  // namespace pearbarrow::node
