/// A storage member: stores turns and reservations on its disk.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "pearbarrow/fleet/directory_copy.h"
#include "pearbarrow/fleet/node_parts.h"
#include "pearbarrow/fleet/suspect_copy.h"
#include "pearbarrow/slowstart/start_limits.h"
#include "pearbarrow/tenants/quota_service.h"
#include "pearbarrow/turns/load_report_exchange.h"
#include "pearbarrow/turns/loss_check.h"
#include "pearbarrow/turns/storage_membership.h"
#include "pearbarrow/turns/turn_replica.h"

namespace pearbarrow::fleet {

class storage_node {
  public:
    storage_node(net::event_loop& loop, const base::clock& clock,
                 const settings::fleet_settings& settings);
    ~storage_node();
    storage_node(const storage_node&) = delete;
    storage_node& operator=(const storage_node&) = delete;

    /// Opens the store and the links. `directory_service` must outlive the node.
    absl::Status start(turns::storage_register& directory_service);
    /// Rejects new requests, and runs `done` once the replies to earlier ones have been sent or the
    /// stop timeout is nearly over.
    void stop(std::function<void()> done);
    /// Returns whether the member has all data that it has ever confirmed.
    bool is_complete() const { return replica_ != nullptr && replica_->is_complete(); }
    node_parts& parts() { return parts_; }
    turns::storage_membership& membership() { return *membership_; }

  private:
    absl::Status open_store();
    void collect(base::metrics_registry& registry) const;
    void record_sync(const turns::synced_batch& batch);
    /// Reads what the previous incarnation knew of suspects.
    void restore_suspects();
    /// Publishes the directory that the previous incarnation stored.
    void restore_directory();
    void apply_changes(const directory::directory_state::changes& changed);
    void apply_start_limits(const directory::directory_state::changes& changed, base::instant now);
    void finish_when_delivered();
    /// Logs when a tolerated loss would remove the majority of a replica group.
    void check_losses(const directory::storage_view& view);

    /// Start time of this incarnation, before which it has granted nothing.
    base::instant started_at_;
    node_parts parts_;
    base::histogram sync_seconds_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    std::unique_ptr<turns::turn_store> store_;
    std::unique_ptr<directory_copy> directory_copy_;
    std::unique_ptr<suspect_copy> suspect_copy_;
    /// Whether the directory that is being published comes from the disk.
    bool restoring_ = false;
    std::unique_ptr<turns::turn_replica> replica_;
    std::unique_ptr<turns::storage_membership> membership_;
    std::unique_ptr<turns::load_report_exchange> load_reports_;
    std::unique_ptr<tenants::quota_service> quotas_;
    slowstart::start_limits start_limits_;
    /// Grants permits for back ends that have just started.
    std::unique_ptr<tenants::quota_service> permits_;
    turns::groups_at_risk at_risk_;
    /// Set once the node has been told to stop.
    std::function<void()> on_stopped_;
    base::instant stop_deadline_{};
    std::unique_ptr<net::timer_handle> stop_timer_;
};

}  // namespace pearbarrow::fleet
