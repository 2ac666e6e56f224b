#include "pearbarrow/fleet/edge_node.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/fleet/place_gauges.h"
#include "pearbarrow/fleet/traffic_names.h"
#include "pearbarrow/places/storage_places.h"

namespace pearbarrow::fleet {
namespace {

/// How long new connections are still taken after the order to stop: whoever sends callers here
/// asks for readiness once a second, and acts on the second refusal.
constexpr base::milliseconds notice_time{2'600};
constexpr base::milliseconds idle_check{50};
/// How soon after a gap in hearing of changes back ends count as cold.
constexpr base::milliseconds hearing_check{100};
/// Kept back from the stop timeout for the process to end.
constexpr base::milliseconds exit_margin{400};

/// A caller that takes none of its answer for so long is given up: longer than a burst of losses on
/// its way, and not so long that its back end's place is lost to others for the rest of a deadline.
constexpr base::milliseconds slow_reader_time{5'000};

net::http_client_options client_options(const node_parts& parts) {
    net::http_client_options options;
    options.held = parts.held();
    options.max_idle_connections_per_server = 8;
    // A node of a large fleet comes back to an engine every 4 s in the mean: with 4 s 22,900
    // connections were opened for 95,600 requests, with 9 s and an even draw among equal back
    // ends 16,500 for 98,000 (one day each).
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
    // A back end that did leave must get nothing once its notice is over.
    options.lapse_grace = std::min<base::milliseconds>(settings.dispatch.lapse_grace,
                                                       settings.leaving_notice * 9 / 10);
    return options;
}

forward::reporter_options reporter_options(const settings::fleet_settings& settings,
                                           base::random_source& random) {
    return {.node = settings.node,
            .life = random.next() | 1U,
            .share_load = settings.dispatch.share_load};
}

std::unique_ptr<forward::program_gate> make_gate(const settings::fleet_settings& settings,
                                                 base::random_source& random) {
    return settings.dispatch.bounds_programs ? forward::make_learning_gate({}, random)
                                             : forward::make_open_gate();
}

net::http_server_options caller_options(const node_parts& parts) {
    net::http_server_options options;
    options.listen = to_endpoint(parts.settings().caller);
    options.held = parts.held();
    options.write_timeout = slow_reader_time;
    options.max_pending_bytes = std::size_t{4} * 1024 * 1024;
    options.max_receiving_bytes = std::size_t{24} * 1024 * 1024;
    return options;
}

}  // namespace

edge_node::edge_node(net::event_loop& loop, const base::clock& clock,
                     const settings::fleet_settings& settings, forward::forward_options options)
    : parts_(loop, clock, settings, [this](const auto& changed) { take_changes(changed); }),
      log_(clock, parts_.metrics(), {}),
      client_(net::make_http_client(loop, client_options(parts_))),
      places_(settings.regions),
      pool_(pool_options(settings), parts_.random()),
      load_(clock, pool_, reporter_options(settings, parts_.random())),
      gate_(make_gate(settings, parts_.random())),
      relay_(parts_.rpc(), [this](std::uint32_t group) { return members_.is_cut(group); }),
      members_(loop, parts_.rpc(), clock, {}, [this] { return relay_peer(); }),
      turns_(loop, clock, members_, {.loads = &load_, .zone = settings.zone}),
      quotas_(loop, clock, members_, {}),
      permit_client_(loop, clock, members_, slowstart::permit_client_options()),
      permits_(loop, clock, parts_.random(), permit_client_),
      context_{.loop = loop,
               .clock = clock,
               .random = parts_.random(),
               .client = *client_,
               .pool = pool_,
               .turns = turns_,
               .quotas = quotas_,
               .gate = *gate_,
               .log = log_,
               .options = std::move(options),
               .active = nullptr,
               .hears_of_changes =
                   [this] {
                       const auto& exchange = parts_.directory();
                       return exchange.peer_count() == 0 || exchange.is_connected();
                   },
               .places = &places_,
               .permits = &permits_,
               .traffic = forward::backend_traffic(distances_from(settings)),
               .held = parts_.held()},
      service_(context_) {
    pool_.set_places(places_);
    pool_.set_cold_table(cold_);
    context_.options.permit_lifetime = permit_client_.limits().grant_lifetime;
    context_.options.tells_priority = settings.dispatch.tells_priority;
    parts_.gauges().add([this](base::metrics_registry& registry) {
        collect(registry);
        parts_.gauges().collect_traffic(context_.traffic);
    });
}

edge_node::~edge_node() = default;

absl::Status edge_node::start() {
    callers_ = net::make_http_server(parts_.loop(), caller_options(parts_),
                                     [this](std::shared_ptr<net::http_exchange> exchange) {
                                         service_.handle(std::move(exchange));
                                     });
    net::http_server_options ready_options;
    ready_options.listen = to_endpoint(parts_.settings().ready);
    ready_ = net::make_http_server(
        parts_.loop(), ready_options,
        [this](const std::shared_ptr<net::http_exchange>& exchange) { answer_ready(exchange); });
    if (auto status = callers_->start(); !status.ok()) {
        return status;
    }
    if (auto status = ready_->start(); !status.ok()) {
        return status;
    }
    return parts_.start();
}

bool edge_node::is_ready() const {
    // Without the list of back ends it could only refuse: 55 nodes that had started together did
    // so for up to 2 s, and programs whose tries met several of them were lost (985 nodes, one
    // play).
    return !stopping_ && service_.is_configured() && places_.knows_emptied() && knows_backends_;
}

void edge_node::answer_ready(const std::shared_ptr<net::http_exchange>& exchange) const {
    exchange->respond({.status = is_ready() ? 200 : 503, .headers = {}, .body = {}});
}

void edge_node::take_changes(const directory::directory_state::changes& changed) {
    const directory::snapshot& known = parts_.directory().state().current();
    if (changed.config) {
        service_.set_configuration(*known.config);
        cold_.set_configuration(*known.config);
        check_hearing();
        regions_bind_ = places::binds_regions(*known.config);
        members_.forget_relay();
        const directory::traffic_limits& limits = known.config->limits;
        callers_->set_limits(
            limits.max_header_bytes, limits.max_body_bytes,
            base::milliseconds{std::max(limits.header_timeout_ms, limits.idle_timeout_ms)});
    }
    if (changed.emptied_zones) {
        places_.set_emptied(*known.emptied_zones, parts_.clock().now());
        log_emptied(*known.emptied_zones);
        cold_.set_emptied_zones(*known.emptied_zones, parts_.clock().now());
    }
    if (changed.backends) {
        knows_backends_ = true;
        cold_.apply(changed.step, parts_.clock().now());
        pool_.apply(changed.step, parts_.clock().now());
    }
    if (changed.storage) {
        relay_.set_view(*known.storage);
        members_.set_view(*known.storage);
        turns_.set_view(*known.storage);
        quotas_.set_view(*known.storage);
        permit_client_.set_view(*known.storage);
    }
    if ((changed.config || changed.storage) && regions_bind_ && known.storage.has_value()) {
        log_closed_storage(places_, *known.config, *known.storage);
    }
}

/// A fleet whose back ends are never cold has nothing to look for ten times a second.
void edge_node::check_hearing() {
    if (!cold_.is_needed()) {
        hearing_check_ = nullptr;
    } else if (hearing_check_ == nullptr) {
        hearing_check_ = parts_.loop().every(hearing_check, [this] { watch_hearing(); });
    }
}

void edge_node::watch_hearing() {
    const bool heard_peers = std::exchange(hears_peers_, parts_.directory().is_connected());
    if (!heard_peers && hears_peers_) {
        cold_.note_gap(parts_.clock().now());
    }
}

void edge_node::collect(base::metrics_registry& registry) const {
    registry.add_gauge("pearbarrow_ready", "1 while the node calls itself ready")
        .set(is_ready() ? 1 : 0);
    registry
        .add_gauge("pearbarrow_storage_cut", "1 while most storage members don't answer this node")
        .set(members_.is_cut() ? 1 : 0);
    registry
        .add_gauge("pearbarrow_storage_relayed_calls_total",
                   "Calls to storage members that went through a peer")
        .set(static_cast<double>(members_.relayed_calls()));
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
        .set(static_cast<double>(admission.turned_away));
    collect_places(registry, places_, pool_);
    const base::instant now = parts_.clock().now();
    registry
        .add_gauge("pearbarrow_dispatch_load_known",
                   "1 while the load of other nodes has been told within the last second")
        .set(load_.elsewhere().is_known(now) ? 1 : 0);
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
}

net::endpoint edge_node::relay_peer() {
    if (regions_bind_) {
        // Calls hold texts, and a peer's region is not known.
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
    stopped_ = std::move(done);
    stop_by_ = parts_.clock().now() + parts_.settings().stop_timeout - exit_margin;
    callers_->begin_closing();
    stop_step_ = parts_.loop().after(notice_time, [this] {
        callers_->stop_accepting();
        end_when_idle();
    });
}

void edge_node::end_when_idle() {
    const bool idle = callers_->open_exchanges() == 0;
    if (idle || parts_.clock().now() >= stop_by_) {
        stopped_();
        return;
    }
    stop_step_ = parts_.loop().after(idle_check, [this] { end_when_idle(); });
}

}  // namespace pearbarrow::fleet
