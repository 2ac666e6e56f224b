#include "pearbarrow/fleet/edge_node.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/fleet/traffic_names.h"
#include "pearbarrow/fleet/zone_gauges.h"
#include "pearbarrow/places/storage_zones.h"

namespace pearbarrow::fleet {
namespace {

/// Interval for detecting the end of a gap in updates, after which back ends count as cold.
constexpr base::milliseconds gap_poll_interval{100};
/// Timeout for a caller that reads nothing of its response. It is longer than a burst of packet
/// losses, and short enough that the back end's slot is not occupied for the rest of a deadline.
constexpr base::milliseconds caller_write_timeout{5'000};

net::http_client_options client_options(const node_parts& parts) {
    net::http_client_options options;
    options.buffered = parts.buffered();
    options.max_idle_connections_per_server = 8;
    // A node of a large fleet sends to the same engine every 4 s on average. An idle lifetime of
    // 4 s leads to 22,900 connections for 95,600 requests, and 9 s with an even choice among equal
    // back ends to 16,500 for 98,000.
    options.idle_lifetime = base::milliseconds{9'000};
    return options;
}

forward::pool_options pool_options(const settings::fleet_settings& settings) {
    forward::pool_options options{.node = settings.node.value(), .zone = settings.zone};
    options.affinity_factor = settings.dispatch.affinity_factor;
    options.affinity_slack = settings.dispatch.affinity_slack;
    options.regions = settings.regions;
    options.choice =
        settings.dispatch.by_cost ? forward::choice_kind::cost : forward::choice_kind::load;
    // A back end that has left must not get requests after its notice has expired.
    options.lapse_grace = std::min<base::milliseconds>(settings.dispatch.lapse_grace,
                                                       settings.leaving_notice * 9 / 10);
    return options;
}

forward::reporter_options reporter_options(const settings::fleet_settings& settings,
                                           base::random_source& random) {
    return {.node = settings.node,
            .incarnation = random.next() | 1U,
            .share_load = settings.dispatch.share_load};
}

std::unique_ptr<forward::program_admission> make_admission(const settings::fleet_settings& settings,
                                                           base::random_source& random) {
    return settings.dispatch.limits_programs ? forward::make_adaptive_admission({}, random)
                                             : forward::make_unlimited_admission();
}

net::http_server_options caller_options(const node_parts& parts) {
    net::http_server_options options;
    options.listen = to_endpoint(parts.settings().caller);
    options.buffered = parts.buffered();
    options.descriptors = net::descriptor_limit::of_process();
    options.write_timeout = caller_write_timeout;
    options.max_pending_bytes = std::size_t{4} * 1024 * 1024;
    options.max_receiving_bytes = std::size_t{24} * 1024 * 1024;
    return options;
}

}  // namespace

edge_node::edge_node(net::event_loop& loop, const base::clock& clock,
                     const settings::fleet_settings& settings, forward::forward_options options)
    : parts_(loop, clock, settings, [this](const auto& changed) { apply_changes(changed); }),
      log_(clock, parts_.metrics(), {}),
      client_(net::make_http_client(loop, client_options(parts_))),
      zone_rules_(settings.regions),
      pool_(pool_options(settings), parts_.random()),
      load_(clock, pool_, reporter_options(settings, parts_.random())),
      admission_(make_admission(settings, parts_.random())),
      relay_(parts_.rpc(), [this](std::uint32_t group) { return members_.lacks_majority(group); }),
      members_(loop, parts_.rpc(), clock, {}, [this] { return relay_peer(); }),
      turns_(loop, clock, members_, {.loads = &load_, .zone = settings.zone}),
      quotas_(loop, clock, members_, {}),
      permit_client_(loop, clock, members_, slowstart::permit_client_options()),
      permits_(loop, clock, parts_.random(), permit_client_),
      identities_(*client_, options.headers,
                  [this](const std::string& service) { return health_path_of(service); }),
      end_monitor_(
          loop, clock, parts_.metrics(), parts_.suspects(), identities_,
          {.node = settings.node.value(),
           .find_backend = [this](const std::string& id) { return pool_.find_listed(id); }}),
      processes_(*client_, options.headers, options.processes),
      isolation_(clock, end_monitor_.table(),
                 [this](const std::string& service) { return pool_.open_backends(service); }),
      context_{.loop = loop,
               .clock = clock,
               .random = parts_.random(),
               .client = *client_,
               .pool = pool_,
               .turns = turns_,
               .quotas = quotas_,
               .admission = *admission_,
               .log = log_,
               .options = std::move(options),
               .active = nullptr,
               .receives_updates =
                   [this] {
                       const auto& exchange = parts_.directory();
                       return exchange.peer_count() == 0 || exchange.is_connected();
                   },
               .zone_rules = &zone_rules_,
               .permits = &permits_,
               .suspects = &end_monitor_,
               .isolation = &isolation_,
               .processes = &processes_,
               .traffic = forward::backend_traffic(distances_from(settings)),
               .buffered = parts_.buffered()},
      service_(context_) {
    pool_.set_zone_rules(zone_rules_);
    pool_.set_cold_table(cold_);
    context_.options.permit_lifetime = permit_client_.limits().grant_lifetime;
    context_.options.sends_priority = settings.dispatch.sends_priority;
    parts_.gauges().add([this](base::metrics_registry& registry) {
        collect(registry);
        parts_.gauges().collect_traffic(context_.traffic);
    });
}

edge_node::~edge_node() = default;

absl::Status edge_node::start() {
    net::http_server_options callers = caller_options(parts_);
    callers.request_id_header = context_.options.headers.request_id;
    callers.on_undelivered = [this](const net::undelivered_response& response) {
        log_.undelivered(response);
    };
    callers.on_connection_rejected = [this](std::string_view reason) {
        log_.connection_rejected(reason);
    };
    callers_ = net::make_http_server(parts_.loop(), std::move(callers),
                                     [this](std::shared_ptr<net::http_exchange> exchange) {
                                         service_.handle(std::move(exchange));
                                     });
    net::http_server_options ready_options;
    ready_options.listen = to_endpoint(parts_.settings().ready);
    ready_ = net::make_http_server(parts_.loop(), ready_options,
                                   [this](const std::shared_ptr<net::http_exchange>& exchange) {
                                       respond_readiness(exchange);
                                   });
    if (auto status = callers_->start(); !status.ok()) {
        return status;
    }
    if (auto status = ready_->start(); !status.ok()) {
        return status;
    }
    return parts_.start();
}

bool edge_node::is_ready() const {
    // Without the list of back ends the node can only reject requests. In a fleet of 985 nodes, 55
    // nodes that started together did so for up to 2 s, and programs whose retries reached several
    // of them failed.
    return !stopping_ && service_.is_configured() && zone_rules_.is_emptied_list_known() &&
           has_backends_ && parts_.suspects().is_current();
}

void edge_node::respond_readiness(const std::shared_ptr<net::http_exchange>& exchange) const {
    exchange->respond({.status = is_ready() ? 200 : 503, .headers = {}, .body = {}});
}

std::string edge_node::health_path_of(const std::string& service) const {
    if (context_.active == nullptr) {
        return {};
    }
    for (const directory::service& each : context_.active->config.services) {
        if (each.name == service) {
            return each.health_path;
        }
    }
    return {};
}

void edge_node::apply_changes(const directory::directory_state::changes& changed) {
    const directory::snapshot& known = parts_.directory().state().current();
    if (changed.config) {
        service_.set_configuration(*known.config);
        cold_.set_configuration(*known.config);
        update_gap_polling();
        regions_restricted_ = places::has_region_limits(*known.config);
        members_.forget_relay();
        const directory::traffic_limits& limits = known.config->limits;
        callers_->set_limits(
            limits.max_header_bytes, limits.max_body_bytes,
            base::milliseconds{std::max(limits.header_timeout_ms, limits.idle_timeout_ms)});
    }
    if (changed.emptied_zones) {
        zone_rules_.set_emptied(*known.emptied_zones, parts_.clock().now());
        log_emptied_zones(*known.emptied_zones);
        cold_.set_emptied_zones(*known.emptied_zones, parts_.clock().now());
    }
    if (changed.backends) {
        has_backends_ = true;
        cold_.apply(changed.step, parts_.clock().now());
        pool_.apply(changed.step, parts_.clock().now());
        end_monitor_.apply(changed.step);
    }
    if (changed.storage) {
        relay_.set_view(*known.storage);
        members_.set_view(*known.storage);
        turns_.set_view(*known.storage);
        quotas_.set_view(*known.storage);
        permit_client_.set_view(*known.storage);
    }
    if ((changed.config || changed.storage) && regions_restricted_ && known.storage.has_value()) {
        log_unpermitted_storage(zone_rules_, *known.config, *known.storage);
    }
}

/// A fleet without cold rates needs no timer that runs ten times a second.
void edge_node::update_gap_polling() {
    if (!cold_.has_cold_rates()) {
        gap_poll_timer_ = nullptr;
    } else if (gap_poll_timer_ == nullptr) {
        gap_poll_timer_ = parts_.loop().every(gap_poll_interval, [this] { poll_update_gap(); });
    }
}

void edge_node::poll_update_gap() {
    const bool was_connected = std::exchange(is_connected_, parts_.directory().is_connected());
    if (!was_connected && is_connected_) {
        cold_.on_update_gap(parts_.clock().now());
    }
}

void edge_node::collect(base::metrics_registry& registry) const {
    registry.add_gauge("pearbarrow_ready", "1 while the node calls itself ready")
        .set(is_ready() ? 1 : 0);
    registry
        .add_gauge("pearbarrow_storage_cut", "1 while most storage members don't answer this node")
        .set(members_.lacks_majority() ? 1 : 0);
    registry
        .add_gauge("pearbarrow_storage_relayed_calls_total",
                   "Calls to storage members that went through a peer")
        .set(static_cast<double>(members_.relayed_calls()));
    registry
        .add_gauge("pearbarrow_turn_writes_open",
                   "Writes of turns and settlements that not every storage member has confirmed")
        .set(static_cast<double>(turns_.open_writes()));
    const turns::admission_counts admission = turns_.counts();
    registry
        .add_gauge("pearbarrow_turns_waiting",
                   "Turns that wait until the storage members have room")
        .set(static_cast<double>(admission.waiting));
    registry
        .add_gauge("pearbarrow_turns_window",
                   "Turns that the storage members are asked to prepare at once, at most")
        .set(static_cast<double>(admission.window));
    registry
        .add_gauge("pearbarrow_turns_turned_away_total",
                   "Turns refused since the storage members have too much to do")
        .set(static_cast<double>(admission.rejected));
    collect_zone_rules(registry, zone_rules_, pool_);
    const base::instant now = parts_.clock().now();
    registry
        .add_gauge("pearbarrow_dispatch_load_known",
                   "1 while the load of other nodes has been told within the last second")
        .set(load_.remote_load().is_known(now) ? 1 : 0);
    registry
        .add_gauge("pearbarrow_dispatch_backends_failing",
                   "Back ends passed over since a quarter of their latest requests failed")
        .set(static_cast<double>(pool_.failing_count(now)));
    registry
        .add_gauge("pearbarrow_dispatch_backends_lapsed",
                   "Back ends used although their entries have vanished together")
        .set(static_cast<double>(pool_.lapsed_count(now)));
    registry
        .add_gauge("pearbarrow_backends_cold",
                   "Back ends that get requests by permit only, since they have just started")
        .set(static_cast<double>(cold_.cold_count(now)));
    registry
        .add_gauge("pearbarrow_requests_open", "Requests of callers that have no whole answer yet")
        .set(static_cast<double>(callers_->open_exchanges()));
    registry
        .add_gauge("pearbarrow_responses_undelivered",
                   "Requests of callers whose responses they have not received as a whole")
        .set(static_cast<double>(callers_->undelivered().size()));
}

net::endpoint edge_node::relay_peer() {
    if (regions_restricted_) {
        // Calls contain texts, and the region of a peer is unknown.
        return {};
    }
    const auto& storage = parts_.directory().state().current().storage;
    return parts_.directory().random_peer([&](const net::endpoint& peer) {
        return std::none_of(storage->members.begin(), storage->members.end(),
                            [&](const auto& member) { return member.address == peer; });
    });
}

void edge_node::stop(std::function<void()> done) {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    drain_ = std::make_unique<caller_drain>(
        caller_drain::parts{.loop = parts_.loop(),
                            .clock = parts_.clock(),
                            .callers = *callers_,
                            .requests = service_,
                            .log = log_,
                            .node_work = [this] { return node_work(); }},
        parts_.settings().stop_timeout, std::move(done));
}

pending_node_work edge_node::node_work() {
    return {.has_open_reports = !end_monitor_.has_reported_all(),
            .unconfirmed_writes = turns_.unconfirmed_writes(),
            .peers = parts_.rpc().backlog()};
}

}  // namespace pearbarrow::fleet
