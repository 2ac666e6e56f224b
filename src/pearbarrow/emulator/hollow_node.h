/// A node without callers, programs, journals and back ends: its membership, its configuration
/// follower and its choice of owners are those of `pearbarrowd`, over sockets of its own.
///
/// It joins a fleet as a draining member without a disk: every node counts it, probes it and
/// gossips with it, and none gives it a shard, a replica or a cell.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/base/metrics.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/emulator/hollow_record.h"
#include "pearbarrow/node/configuration_service.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/settings/node_settings.h"

namespace pearbarrow::emulator {

/// Bytes and work of a node since its start.
struct hollow_traffic {
    std::uint64_t datagram_bytes_sent = 0;
    std::uint64_t datagram_bytes_received = 0;
    std::uint64_t peer_bytes_sent = 0;
    std::uint64_t peer_bytes_received = 0;
    /// Computations of the preferred owners, and the processor time they took.
    std::uint64_t routing_computations = 0;
    std::uint64_t routing_microseconds = 0;
    /// Times that the process did not run for too long; see membership/swim.h.
    std::uint64_t pauses = 0;
};

class hollow_node {
  public:
    /// What is passed by reference outlives the node. With addresses of the platform's key-value
    /// service in `settings` the node follows it when it is one of its zone's followers.
    hollow_node(net::event_loop& loop, const base::clock& clock, hollow_record& record,
                settings::node_settings settings);
    ~hollow_node();
    hollow_node(const hollow_node&) = delete;
    hollow_node& operator=(const hollow_node&) = delete;

    absl::Status start();

    const base::node_id& id() const { return settings_.node; }
    const settings::node_settings& settings() const { return settings_; }
    net::endpoint datagram_endpoint() const { return membership_.datagram_endpoint(); }
    std::size_t live_members() const { return membership_.live_members().size(); }
    base::config_version config_version() const { return configuration_->current()->version(); }
    hollow_traffic traffic() const;
    /// The preferred owner of each shard, were every live node to take work.
    const std::vector<std::optional<base::node_id>>& owners() const { return owners_; }

  private:
    membership::member_metadata describe_self() const;
    void members_changed();
    void route();

    const base::clock& clock_;
    hollow_record& record_;
    settings::node_settings settings_;
    base::random_source random_;
    base::metrics_registry metrics_;
    std::unique_ptr<net::http_client> http_;
    std::unique_ptr<net::peer_rpc> rpc_;
    node::node_context context_;
    node::membership_service membership_;
    std::unique_ptr<node::configuration_service> configuration_;
    /// Live members when they last changed.
    std::vector<membership::member> known_;
    std::vector<std::optional<base::node_id>> owners_;
    std::uint64_t routing_computations_ = 0;
    base::microseconds routing_time_{0};
    std::unique_ptr<net::timer_handle> route_timer_;
};

}  // namespace pearbarrow::emulator
