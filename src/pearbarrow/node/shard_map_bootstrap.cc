#include "pearbarrow/node/shard_map_bootstrap.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/node/replica_name.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds tick_period{100};
constexpr base::milliseconds steady_for{1'000};
/// After this long the map is made without the seeds that have not come.
constexpr base::milliseconds seed_patience{15'000};
constexpr base::milliseconds question_timeout{1'000};

}  // namespace

shard_map_bootstrap::shard_map_bootstrap(node_context& context, membership_service& membership,
                                         configuration_service& configuration)
    : context_(context),
      membership_(membership),
      configuration_(configuration),
      started_(context.now()),
      last_change_(started_) {}

shard_map_bootstrap::~shard_map_bootstrap() = default;

void shard_map_bootstrap::start() {
    ticker_ = context_.loop.every(tick_period, [this] { tick(); });
}

void shard_map_bootstrap::members_changed() {
    last_change_ = context_.now();
}

std::vector<membership::member> shard_map_bootstrap::disk_nodes() const {
    std::vector<membership::member> nodes;
    const auto& live = membership_.live_members();
    std::copy_if(live.begin(), live.end(), std::back_inserter(nodes), [](const auto& member) {
        return member.metadata.has_disk && member.accepts_work();
    });
    return nodes;
}

bool shard_map_bootstrap::all_seeds_seen() const {
    const auto& live = membership_.live_members();
    return std::all_of(context_.settings.seeds.begin(), context_.settings.seeds.end(),
                       [&](const auto& seed) {
                           const net::endpoint address{seed.address, seed.port};
                           return std::any_of(live.begin(), live.end(), [&](const auto& member) {
                               return member.metadata.datagram == address;
                           });
                       });
}

bool shard_map_bootstrap::steady() const {
    const base::instant now = context_.now();
    const bool alone =
        context_.settings.seeds.empty() && context_.settings.platform.key_value.empty();
    if (alone) {
        return true;
    }
    const bool seeds_settled = all_seeds_seen() || now - started_ > seed_patience;
    return seeds_settled && now - last_change_ > steady_for;
}

void shard_map_bootstrap::tick() {
    if (configuration_.current()->find_spec<config::shard_map_spec>("default") != nullptr) {
        questions_.clear();
        context_.loop.post([ticker = std::shared_ptr<net::timer_handle>(std::move(ticker_))] {});
        return;
    }
    const auto& live = membership_.live_members();
    const std::vector<membership::member> nodes = disk_nodes();
    if (proposing_ || nodes.empty() || live.front().id != context_.self() || !steady()) {
        return;
    }
    bool all_known = true;
    for (const membership::member& member : nodes) {
        if (!stores_.contains(member.id)) {
            all_known = false;
            ask_for_store(member);
        }
    }
    if (all_known) {
        propose(nodes);
    }
}

void shard_map_bootstrap::ask_for_store(const membership::member& member) {
    if (questions_.contains(member.id)) {
        return;
    }
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this, id = member.id](const absl::StatusOr<std::string>& payload) {
        const auto question = questions_.extract(id);
        const auto reply = payload.ok() ? wire::decode<wire::journal_reply>(*payload)
                                        : absl::StatusOr<wire::journal_reply>(payload.status());
        if (reply.ok() && !reply->member.store.empty()) {
            stores_[id] = reply->member.store;
        }
    };
    wire::journal_status_request request;
    request.header.ballot.node = context_.self();
    questions_[member.id] =
        context_.rpc.call(member.id, member.metadata.peer, wire::journal_status,
                          wire::encode(request), question_timeout, std::move(callbacks));
}

config::shard_map_spec shard_map_bootstrap::make_map(
    const std::vector<membership::member>& nodes) const {
    std::set<base::region_name> region_set;
    for (const membership::member& member : nodes) {
        region_set.insert(member.metadata.region);
    }
    const std::vector<base::region_name> regions(region_set.begin(), region_set.end());
    config::shard_map_spec map;
    for (std::uint32_t index = 0; index < context_.settings.shard_count; ++index) {
        config::shard_assignment assignment;
        assignment.shard = base::shard_id(index);
        assignment.region = regions[index % regions.size()];
        for (const base::node_id& node :
             membership::choose_replicas(assignment.shard, assignment.region, nodes)) {
            assignment.replicas.push_back(replica_name({node, stores_.at(node), 0}));
        }
        map.shards.push_back(std::move(assignment));
    }
    return map;
}

void shard_map_bootstrap::propose(const std::vector<membership::member>& nodes) {
    proposing_ = true;
    config::change change;
    change.id = context_.random.hex_id();
    change.base_version = configuration_.current()->version();
    change.author = "bootstrap";
    change.operations.emplace_back(
        config::put_object{config::object{"default", {}, make_map(nodes)}});
    base::log(base::log_level::info, "shard_map_proposed", {{"disk_nodes", nodes.size()}});
    configuration_.propose(std::move(change),
                           [this](const absl::StatusOr<base::config_version>& version) {
                               proposing_ = false;
                               if (!version.ok()) {
                                   base::log(base::log_level::warning, "shard_map_not_accepted",
                                             base::log_fields(version.status()));
                               }
                           });
}

}  // namespace pearbarrow::node
