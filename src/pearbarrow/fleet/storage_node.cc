#include "pearbarrow/fleet/storage_node.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <optional>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/tenants/quota_members.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::fleet {
namespace {

constexpr char store_folder[] = "/turns";
constexpr base::milliseconds backlog_poll_interval{20};
/// Duration of a synced write from which on it is logged.
constexpr base::milliseconds slow_sync_time{300};
/// Part of the stop timeout that is reserved for the exit of the process.
constexpr base::milliseconds exit_margin{400};
/// Fraction of the operator's slack that shares hold beyond the burst. The rest covers members that
/// start and members that have been replaced.
constexpr double extra_fraction = 0.6;

tenants::quota_options quota_options(const settings::fleet_settings& settings) {
    tenants::quota_options options{.self = settings.node};
    options.extra_tokens = extra_fraction * static_cast<double>(settings.quota_slack) /
                           static_cast<double>(tenants::quota_shares);
    options.window = settings.quota_window;
    return options;
}

/// Returns how long a program may be idle and still continue: the retention of its turns, plus the
/// duration of its last turn. Returns nothing if a streaming route has no retention.
/// With 600 s for all programs, a member would hold 300,000 reservations at
/// 500 turns per second. With routes of 60 s, the reservations and the index of the turns need 38
/// MB of the 120 MB of the smallest machines.
std::optional<base::seconds> max_program_idle_time(const directory::configuration& config) {
    base::milliseconds max_turn_duration{30'000};
    double max_retention = 0;
    for (const directory::route& route : config.routes) {
        const bool is_stream = route.kind == directory::request_kind::stream;
        if (is_stream && route.retention_seconds <= 0) {
            return std::nullopt;
        }
        max_retention = std::max(max_retention, is_stream ? route.retention_seconds : 0);
        max_turn_duration = std::max(max_turn_duration, base::milliseconds{route.timeout_ms});
    }
    if (max_retention <= 0) {
        return std::nullopt;
    }
    return base::seconds{static_cast<std::int64_t>(std::ceil(max_retention))} +
           std::chrono::ceil<base::seconds>(max_turn_duration);
}

}  // namespace

storage_node::storage_node(net::event_loop& loop, const base::clock& clock,
                           const settings::fleet_settings& settings)
    : started_at_(clock.now()),
      parts_(loop, clock, settings, [this](const auto& changed) { apply_changes(changed); }),
      sync_seconds_(parts_.metrics().add_histogram(
          "pearbarrow_turn_store_sync_seconds",
          "Time to write and sync a batch of changes to the disk of a storage member")),
      start_limits_({.overage = settings.slow_start.overage, .slack = settings.slow_start.slack}) {}

storage_node::~storage_node() = default;

absl::Status storage_node::open_store() {
    turns::turn_store_options options;
    options.folder = parts_.settings().data_folder + store_folder;
    options.new_disk = turns::disk_id(parts_.random().hex_id());
    options.new_disk_is_complete = parts_.settings().first_start;
    options.clock = &parts_.clock();
    options.post = [this](std::function<void()> task) { parts_.loop().post(std::move(task)); };
    options.on_synced = [this, alive = std::weak_ptr<int>(alive_)](const auto& batch) {
        if (!alive.expired()) {
            record_sync(batch);
        }
    };
    auto store = turns::open_rocksdb_turn_store(options);
    if (store.status().code() == absl::StatusCode::kDataLoss) {
        // Continue as a new disk, which copies all data from the other members before it may vote.
        base::log(base::log_level::error, "turn_store_discarded", base::log_fields(store.status()));
        std::error_code ignored;
        std::filesystem::remove_all(options.folder, ignored);
        options.new_disk_is_complete = false;
        store = turns::open_rocksdb_turn_store(options);
    }
    if (!store.ok()) {
        return store.status();
    }
    store_ = *std::move(store);
    directory_copy_ = std::make_unique<directory_copy>(*store_);
    suspect_copy_ = std::make_unique<suspect_copy>(*store_, parts_.suspects(), parts_.clock());
    return absl::OkStatus();
}

absl::Status storage_node::start(turns::storage_register& directory_service) {
    if (auto status = open_store(); !status.ok()) {
        return status;
    }
    replica_ = std::make_unique<turns::turn_replica>(
        parts_.loop(), parts_.rpc(), parts_.clock(), *store_,
        turns::replica_options{.self = parts_.settings().node, .index = {}});
    if (auto status = replica_->load(); !status.ok()) {
        return status;
    }
    restore_suspects();
    membership_ = std::make_unique<turns::storage_membership>(
        parts_.loop(), parts_.clock(), *replica_, directory_service,
        turns::membership_options{
            .self = {.node = parts_.settings().node,
                     .address = to_endpoint(parts_.settings().peer),
                     .zone = parts_.settings().zone},
            .groups = {.tolerated_losses = parts_.settings().tolerated_losses,
                       .tolerated_zones = parts_.settings().tolerated_zones}});
    load_reports_ = std::make_unique<turns::load_report_exchange>(
        parts_.loop(), parts_.rpc(), parts_.clock(), replica_->load_table(),
        turns::load_report_exchange_options{.self = parts_.settings().node,
                                            .zone = parts_.settings().zone,
                                            .incarnation = parts_.random().next() | 1U});
    quotas_ = std::make_unique<tenants::quota_service>(parts_.rpc(), parts_.clock(),
                                                       quota_options(parts_.settings()));
    permits_ = std::make_unique<tenants::quota_service>(
        parts_.rpc(), parts_.clock(), slowstart::permit_ledger_options(parts_.settings().node),
        wire::start_permit);
    parts_.gauges().add([this](base::metrics_registry& registry) { collect(registry); });
    if (auto status = parts_.start(); !status.ok()) {
        return status;
    }
    replica_->start();
    membership_->start();
    restore_directory();
    return absl::OkStatus();
}

void storage_node::record_sync(const turns::synced_batch& batch) {
    const auto seconds = std::chrono::duration<double>(batch.took);
    this->sync_seconds_.observe(seconds.count());
    if (batch.took >= slow_sync_time) {
        base::log(
            base::log_level::warning, "turn_store_slow",
            {{"milliseconds", std::chrono::duration_cast<base::milliseconds>(batch.took).count()},
             {"changes", batch.changes}});
    }
}

void storage_node::collect(base::metrics_registry& registry) const {
    const auto set = [&](const char* name, const char* help, std::size_t value) {
        registry.add_gauge(name, help).set(static_cast<double>(value));
    };
    set("pearbarrow_turn_replica_complete",
        "1 once the member knows all that it has ever confirmed", replica_->is_complete() ? 1 : 0);
    set("pearbarrow_turn_replica_settled",
        "1 while all that earlier voters confirmed is on a majority of the present ones",
        replica_->is_settled() ? 1 : 0);
    set("pearbarrow_turn_replica_outdated_total",
        "Requests refused since they count on voters that have been replaced",
        replica_->outdated_requests());
    const turns::read_members sources = replica_->sources();
    const auto set_sources = [&](const char* kind, std::size_t members) {
        registry
            .add_gauge("pearbarrow_turn_replica_sources",
                       "Members that a member which is not complete has read", {{"kind", kind}})
            .set(static_cast<double>(members));
    };
    set_sources("complete", sources.complete);
    set_sources("all", sources.all);
    set("pearbarrow_storage_members_kept",
        "1 while a member that does not reply keeps its vote, since it may be needed",
        membership_->keeps_dead_voter() ? 1 : 0);
    set("pearbarrow_turn_replica_turns", "Turns kept", replica_->turn_count());
    set("pearbarrow_turn_replica_missing_turns",
        "Turns that kept ones continue and that this member lacks", replica_->missing_turns());
    set("pearbarrow_turn_replica_programs", "Programs with reservations",
        replica_->program_count());
    set("pearbarrow_turn_replica_pending_writes", "Writes that the disk has not confirmed",
        replica_->pending_writes());
    set("pearbarrow_dispatch_reporting_nodes", "Nodes whose load this member knows",
        replica_->reporting_nodes());
    set("pearbarrow_turn_replica_group", "The replica group that the member belongs to, from 0",
        replica_->group().value_or(0));
    set("pearbarrow_dispatch_load_groups",
        "Other replica groups of which a member tells this one what nodes report",
        load_reports_->connected_groups());
    set("pearbarrow_suspects_stored", "Suspects on the disk of the member",
        suspect_copy_->stored_count());
    const auto set_risk = [&](const char* loss, std::size_t groups) {
        registry
            .add_gauge("pearbarrow_storage_groups_at_risk",
                       "Replica groups that a tolerated loss would take the majority of",
                       {{"loss", loss}})
            .set(static_cast<double>(groups));
    };
    set_risk("disks", at_risk_.by_disks.size());
    set_risk("zones", at_risk_.by_zones.size());
    const tenants::quota_ledger& quotas = quotas_->ledger();
    set("pearbarrow_quota_tenants", "Tenants whose limits this member counts a part of",
        quotas.tenant_count());
    set("pearbarrow_quota_programs", "Programs of those tenants that were granted something",
        quotas.program_count());
    set("pearbarrow_quota_granted_total", "Requests granted", quotas.granted());
    set("pearbarrow_quota_refused_total", "Requests refused", quotas.refused());
    const tenants::quota_ledger& permits = permits_->ledger();
    set("pearbarrow_start_permits_backends",
        "Back ends for whose starts this member grants a part of the permits",
        permits.tenant_count());
    set("pearbarrow_start_permits_granted_total", "Permits granted", permits.granted());
    set("pearbarrow_start_permits_refused_total", "Permits refused", permits.refused());
    set("pearbarrow_turn_replica_behind", "Other members of whose changes some are not stored here",
        replica_->lagging_members());
}

void storage_node::restore_suspects() {
    // An empty disk does not know what the member knew before it lost the earlier one.
    if (replica_->is_complete()) {
        suspect_copy_->restore();
    }
    suspect_copy_->follow();
}

void storage_node::restore_directory() {
    directory::directory_update update = directory_copy_->load();
    if (update.is_empty()) {
        return;
    }
    // The retirement of this member may have changed since, so it must be read again. The reader of
    // the directory asks for a part that no node knows.
    update.retirements.clear();
    base::log(base::log_level::info, "directory_recalled",
              {{"backends", update.backends.empty() ? 0 : update.backends.back().backends.size()}});
    restoring_ = true;
    parts_.directory().publish(std::move(update));
    restoring_ = false;
}

void storage_node::apply_changes(const directory::directory_state::changes& changed) {
    if (membership_ == nullptr) {
        return;
    }
    if (!restoring_) {
        directory_copy_->save(changed, parts_.directory().state());
    }
    if (changed.retirements) {
        // This comes first, since a retiring member must not join.
        const auto& nodes = parts_.directory().state().current().retirements->nodes;
        membership_->set_retiring(std::find(nodes.begin(), nodes.end(), parts_.settings().node) !=
                                  nodes.end());
    }
    const base::instant now = parts_.clock().now();
    // Nothing has been granted from the shares of the previous incarnation since this member
    // started, so they refill from its start. Reading 17,000 turns from the disk takes a second, in
    // which all callers return after a power failure. With a refill from the end of the read, 612
    // of 800 requests were rejected by their limit in the following 0.75 s in a fleet of 61 nodes.
    const base::instant responsible_since = restoring_ ? started_at_ : now;
    if (changed.config) {
        const directory::configuration& config = *parts_.directory().state().current().config;
        quotas_->ledger().set_configuration(config, responsible_since);
        if (const auto idle_time = max_program_idle_time(config); idle_time.has_value()) {
            replica_->set_reservation_retention(*idle_time);
        }
    }
    apply_start_limits(changed, now);
    if (!changed.storage) {
        return;
    }
    const directory::storage_view& view = *parts_.directory().state().current().storage;
    quotas_->ledger().set_view(view, responsible_since);
    permits_->ledger().set_view(view, now);
    replica_->set_view(view);
    membership_->set_view(view);
    load_reports_->set_view(view);
    check_losses(view);
}

void storage_node::check_losses(const directory::storage_view& view) {
    turns::groups_at_risk found = turns::find_groups_at_risk(
        view,
        {.disks = parts_.settings().tolerated_losses, .zones = parts_.settings().tolerated_zones});
    if (found == at_risk_) {
        return;
    }
    at_risk_ = std::move(found);
    const bool is_safe = at_risk_.by_disks.empty() && at_risk_.by_zones.empty();
    base::log(is_safe ? base::log_level::info : base::log_level::warning,
              is_safe ? "storage_bears_losses_again" : "storage_loss_not_borne",
              {{"view", view.revision},
               {"members", view.members.size()},
               {"groups_by_disks", at_risk_.by_disks},
               {"groups_by_zones", at_risk_.by_zones}});
}

void storage_node::apply_start_limits(const directory::directory_state::changes& changed,
                                      base::instant now) {
    const directory::snapshot& known = parts_.directory().state().current();
    if (changed.config) {
        start_limits_.set_configuration(*known.config);
    }
    if (changed.backends) {
        start_limits_.apply(changed.step, now);
    }
    if (changed.config || (changed.backends && start_limits_.has_cold_rates())) {
        permits_->ledger().set_configuration(start_limits_.limits(), now);
    }
}

void storage_node::stop(std::function<void()> done) {
    if (on_stopped_) {
        return;
    }
    on_stopped_ = std::move(done);
    const base::milliseconds timeout = parts_.settings().stop_timeout;
    stop_deadline_ = parts_.clock().now() + std::max(timeout - exit_margin, timeout / 2);
    // Callers continue at the other members at once.
    parts_.rpc().stop_accepting();
    // Requests that have arrived but have not been read are rejected before the first check.
    stop_timer_ = parts_.loop().after(backlog_poll_interval, [this] { finish_when_delivered(); });
}

void storage_node::finish_when_delivered() {
    const net::peer_backlog backlog = parts_.rpc().backlog();
    if (!backlog.is_empty() && parts_.clock().now() < stop_deadline_) {
        stop_timer_ =
            parts_.loop().after(backlog_poll_interval, [this] { finish_when_delivered(); });
        return;
    }
    if (!backlog.is_empty()) {
        base::log(base::log_level::warning, "drain_timeout",
                  {{"reason", "stop_timeout"},
                   {"open_requests", backlog.open_requests},
                   {"queued_bytes", backlog.queued_bytes},
                   {"pending_writes", replica_->pending_writes()}});
    }
    on_stopped_();
}

}  // namespace pearbarrow::fleet
