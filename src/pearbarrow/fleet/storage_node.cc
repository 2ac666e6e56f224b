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
/// Part of the operator's slack that shares hold beyond the burst; the rest is for members that
/// start and for those that have been replaced.
constexpr double extra_part = 0.6;

tenants::quota_options quota_options(const settings::fleet_settings& settings) {
    tenants::quota_options options{.self = settings.node};
    options.extra = extra_part * static_cast<double>(settings.quota_slack) /
                    static_cast<double>(tenants::quota_shares);
    options.window = settings.quota_window;
    return options;
}

/// How long a program may rest and come back: as long as its turns are kept, and some more for the
/// turn that is under way when it rests last (a turn's time-out is some seconds). None where a
/// route of streams doesn't say. With 600 s for all, a member would keep 300,000 reservations at
/// 500 turns a second (calculated); with the 60 s of the measured routes, 38 MB with the turns'
/// index (an hour of virtual time), of the 120 MB of the smallest.
std::optional<base::seconds> rest_of_programs(const directory::configuration& config) {
    constexpr base::seconds longest_turn{30};
    double longest = 0;
    for (const directory::route& route : config.routes) {
        const bool is_stream = route.kind == directory::request_kind::stream;
        if (is_stream && route.retention_seconds <= 0) {
            return std::nullopt;
        }
        longest = std::max(longest, is_stream ? route.retention_seconds : 0);
    }
    if (longest <= 0) {
        return std::nullopt;
    }
    return base::seconds{static_cast<std::int64_t>(std::ceil(longest))} + longest_turn;
}

}  // namespace

storage_node::storage_node(net::event_loop& loop, const base::clock& clock,
                           const settings::fleet_settings& settings)
    : began_(clock.now()),
      parts_(loop, clock, settings, [this](const auto& changed) { take_changes(changed); }),
      start_limits_({.overage = settings.slow_start.overage, .slack = settings.slow_start.slack}) {}

storage_node::~storage_node() = default;

absl::Status storage_node::open_store() {
    turns::turn_store_options options;
    options.folder = parts_.settings().data_folder + store_folder;
    options.new_disk = turns::disk_id(parts_.random().hex_id());
    options.new_disk_is_complete = parts_.settings().first_start;
    options.clock = &parts_.clock();
    options.post = [this](std::function<void()> task) { parts_.loop().post(std::move(task)); };
    auto store = turns::open_rocksdb_turn_store(options);
    if (store.status().code() == absl::StatusCode::kDataLoss) {
        // Begin as a new disk, which copies everything from the other members before it counts.
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
    copy_ = std::make_unique<directory_copy>(*store_);
    return absl::OkStatus();
}

absl::Status storage_node::start(turns::storage_register& outside) {
    if (auto status = open_store(); !status.ok()) {
        return status;
    }
    replica_ = std::make_unique<turns::turn_replica>(
        parts_.loop(), parts_.rpc(), parts_.clock(), *store_,
        turns::replica_options{.self = parts_.settings().node, .index = {}});
    if (auto status = replica_->load(); !status.ok()) {
        return status;
    }
    membership_ = std::make_unique<turns::storage_membership>(
        parts_.loop(), parts_.clock(), *replica_, outside,
        turns::membership_options{
            .self = {.node = parts_.settings().node,
                     .address = to_endpoint(parts_.settings().peer),
                     .zone = parts_.settings().zone},
            .groups = {.tolerated_losses = parts_.settings().tolerated_losses,
                       .tolerated_zones = parts_.settings().tolerated_zones}});
    loads_ = std::make_unique<turns::board_exchange>(
        parts_.loop(), parts_.rpc(), parts_.clock(), replica_->board(),
        turns::board_exchange_options{.self = parts_.settings().node,
                                      .zone = parts_.settings().zone,
                                      .life = parts_.random().next() | 1U});
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
    recall_directory();
    return absl::OkStatus();
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
    set("pearbarrow_turn_replica_turns", "Turns kept", replica_->turn_count());
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
        loads_->connected_groups());
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
        replica_->behind_count());
}

void storage_node::recall_directory() {
    directory::directory_update update = copy_->recall();
    if (update.is_empty()) {
        return;
    }
    // Whether this member is to leave may have changed since: somebody has to read it anew.
    update.retirements.clear();
    base::log(base::log_level::info, "directory_recalled",
              {{"backends", update.backends.empty() ? 0 : update.backends.back().backends.size()}});
    recalling_ = true;
    parts_.directory().publish(std::move(update));
    recalling_ = false;
}

void storage_node::take_changes(const directory::directory_state::changes& changed) {
    if (membership_ == nullptr) {
        return;
    }
    if (!recalling_) {
        copy_->keep(changed, parts_.directory().state());
    }
    if (changed.retirements) {
        // First: a member that is to leave must not join.
        const auto& nodes = parts_.directory().state().current().retirements->nodes;
        membership_->set_retiring(std::find(nodes.begin(), nodes.end(), parts_.settings().node) !=
                                  nodes.end());
    }
    const base::instant now = parts_.clock().now();
    // The shares that this member counted before it ended, nobody has granted from since it began
    // again. Reading 17,000 turns from the disk takes it a second, in which all callers of a fleet
    // that has lost power come back: counted from its end, 612 of 800 requests were refused over
    // their limit in the 0.75 s after (61 nodes, one play).
    const base::instant counts_since = recalling_ ? began_ : now;
    if (changed.config) {
        const directory::configuration& config = *parts_.directory().state().current().config;
        quotas_->ledger().set_configuration(config, counts_since);
        if (const auto rest = rest_of_programs(config); rest.has_value()) {
            replica_->keep_reservations_for(*rest);
        }
    }
    take_start_limits(changed, now);
    if (!changed.storage) {
        return;
    }
    const directory::storage_view& view = *parts_.directory().state().current().storage;
    quotas_->ledger().set_view(view, counts_since);
    permits_->ledger().set_view(view, now);
    replica_->set_view(view);
    membership_->set_view(view);
    loads_->set_view(view);
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

void storage_node::take_start_limits(const directory::directory_state::changes& changed,
                                     base::instant now) {
    const directory::snapshot& known = parts_.directory().state().current();
    if (changed.config) {
        start_limits_.set_configuration(*known.config);
    }
    if (changed.backends) {
        start_limits_.apply(changed.step, now);
    }
    if (changed.config || (changed.backends && start_limits_.is_needed())) {
        permits_->ledger().set_configuration(start_limits_.limits(), now);
    }
}

void storage_node::stop(std::function<void()> done) {
    // Nothing waits here: what was confirmed is stored, and edges ask the other members.
    parts_.loop().post(std::move(done));
}

}  // namespace pearbarrow::fleet
