#include "pearbarrow/emulator/hollow_node.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/node/platform_configuration_store.h"

namespace pearbarrow::emulator {

namespace {

/// Changes of the members within this time are answered by one choice of the owners: dozens of
/// nodes share a thread here.
constexpr base::milliseconds route_delay{1'000};

net::endpoint to_endpoint(const settings::ip_endpoint& value) {
    return {value.address, value.port};
}

std::unique_ptr<net::peer_rpc> make_rpc(net::event_loop& loop,
                                        const settings::node_settings& settings) {
    net::peer_rpc_options options;
    options.self = settings.node;
    options.cluster = settings.cluster;
    options.listen = to_endpoint(settings.listen.peer);
    options.max_frame_bytes = settings.limits.max_frame_bytes;
    options.max_queued_bytes = settings.limits.max_peer_queue_bytes;
    return net::make_peer_rpc(loop, options);
}

/// As if every node took work, so that the computation has a whole fleet's size.
std::vector<membership::member> as_workers(std::vector<membership::member> members) {
    for (membership::member& member : members) {
        member.metadata.draining = false;
    }
    return members;
}

bool same_ids(const std::vector<membership::member>& left,
              const std::vector<membership::member>& right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto& a, const auto& b) { return a.id == b.id; });
}

}  // namespace

hollow_node::hollow_node(net::event_loop& loop, const base::clock& clock, hollow_record& record,
                         settings::node_settings settings)
    : clock_(clock),
      record_(record),
      settings_(std::move(settings)),
      random_(settings_.random_seed.value_or(base::random_source::system_seed())),
      http_(net::make_http_client(loop)),
      rpc_(make_rpc(loop, settings_)),
      context_{loop, clock, random_, *rpc_, *http_, metrics_, settings_},
      membership_(context_) {}

hollow_node::~hollow_node() {
    record_.forget_observer(id());
}

absl::Status hollow_node::start() {
    std::unique_ptr<node::configuration_store> store;
    if (!settings_.platform.key_value.empty()) {
        store = std::make_unique<node::platform_configuration_store>(context_);
    }
    configuration_ =
        std::make_unique<node::configuration_service>(context_, membership_, std::move(store));
    configuration_->register_methods();
    if (absl::Status status = rpc_->start(); !status.ok()) {
        return status;
    }
    if (absl::Status status = membership_.open(); !status.ok()) {
        return status;
    }
    configuration_->on_installed(
        [this] { record_.installed(id(), config_version(), clock_.unix_microseconds()); });
    membership_.on_change([this] { members_changed(); });
    membership_.start(describe_self());
    configuration_->start();
    return absl::OkStatus();
}

membership::member_metadata hollow_node::describe_self() const {
    membership::member_metadata self;
    self.zone = settings_.zone;
    self.region = settings_.region;
    self.datagram = membership_.datagram_endpoint();
    self.peer = rpc_->local_endpoint();
    self.draining = true;
    return self;
}

void hollow_node::members_changed() {
    const std::vector<membership::member>& live = membership_.live_members();
    if (same_ids(known_, live)) {
        return;
    }
    const std::int64_t now = clock_.unix_microseconds();
    for (const base::node_id& gone : missing_ids(known_, live)) {
        record_.departed(id(), gone, now);
    }
    for (const base::node_id& back : missing_ids(live, known_)) {
        record_.returned(id(), back);
    }
    known_ = live;
    if (route_timer_ == nullptr) {
        route_timer_ = context_.loop.after(route_delay, [this] {
            route_timer_.reset();
            route();
        });
    }
}

void hollow_node::route() {
    const base::instant started = clock_.now();
    const std::vector<membership::member> workers = as_workers(known_);
    owners_.resize(settings_.shard_count);
    for (std::uint32_t shard = 0; shard < settings_.shard_count; ++shard) {
        owners_[shard] =
            membership::preferred_owner(base::shard_id(shard), settings_.region, workers);
    }
    routing_time_ += clock_.now() - started;
    ++routing_computations_;
}

hollow_traffic hollow_node::traffic() const {
    const membership::swim_statistics swim = membership_.statistics();
    hollow_traffic result;
    result.datagram_bytes_sent = swim.bytes_sent;
    result.datagram_bytes_received = swim.bytes_received;
    result.peer_bytes_sent = rpc_->bytes_sent();
    result.peer_bytes_received = rpc_->bytes_received();
    result.routing_computations = routing_computations_;
    result.routing_microseconds = static_cast<std::uint64_t>(routing_time_.count());
    result.pauses = swim.pauses;
    return result;
}

}  // namespace pearbarrow::emulator
