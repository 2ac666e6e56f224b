#include "pearbarrow/node/replica_repair.h"

#include <algorithm>
#include <variant>

#include "pearbarrow/base/log.h"
#include "pearbarrow/node/replica_name.h"
#include "pearbarrow/node/replica_reset_message.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds tick_period{250};
constexpr base::milliseconds question_timeout{2'000};
/// A node's identity is asked again after this time: its disk may have been replaced.
constexpr base::milliseconds identity_lifetime{5'000};
/// Between two changes by this node, so that shards that lose the same node share a change.
constexpr base::milliseconds least_gap{500};
constexpr base::milliseconds longest_gap{8'000};
/// The platform allows 2,200 changes a day for the whole fleet.
constexpr int change_burst = 40;
constexpr base::milliseconds change_refill{120'000};

}  // namespace

replica_repair::replica_repair(node_context& context, membership_service& membership,
                               configuration_service& configuration, ownership_director& ownership)
    : context_(context),
      membership_(membership),
      configuration_(configuration),
      ownership_(ownership),
      started_(context.now()),
      budget_(change_burst, change_refill),
      retry_(least_gap, longest_gap) {}

replica_repair::~replica_repair() = default;

void replica_repair::start() {
    ticker_ = context_.loop.every(tick_period, [this] { tick(); });
}

void replica_repair::tick() {
    watch_nodes();
    const base::instant now = context_.now();
    std::erase_if(identities_,
                  [&](const auto& item) { return now - item.second.learnt > identity_lifetime; });
    const config::configuration_ptr configuration = configuration_.current();
    std::vector<config::shard_assignment> changes;
    for (const auto& [shard, host] : ownership_.hosts()) {
        const config::shard_assignment* assignment = configuration->shard(shard);
        if (assignment == nullptr || host->state() != shard_state::serving) {
            continue;
        }
        keep_learner(*assignment, host->journal());
        if (!proposing_ && now >= not_before_ && !membership_.draining()) {
            carry_out(*assignment, next_repair_step(view_of(*assignment, host->journal())),
                      changes);
        }
    }
    if (!changes.empty() && budget_.take(now)) {
        propose(changes);
    }
}

void replica_repair::watch_nodes() {
    usable_.clear();
    for (const membership::member& member : membership_.live_members()) {
        if (member.accepts_work() && member.metadata.has_disk) {
            usable_.insert(member.id);
        }
    }
    std::erase_if(unusable_since_,
                  [this](const auto& item) { return usable_.contains(item.first); });
    for (const membership::member& member : membership_.members()) {
        if (!usable_.contains(member.id)) {
            unusable_since_.try_emplace(member.id, context_.now());
        }
    }
}

bool replica_repair::is_gone(const base::node_id& node) const {
    const auto found = unusable_since_.find(node);
    const base::instant since = found == unusable_since_.end() ? started_ : found->second;
    return !usable_.contains(node) &&
           context_.now() - since > context_.settings.timing.replica_timeout;
}

std::vector<repair_node> replica_repair::nodes_of(
    const config::shard_assignment& assignment) const {
    std::vector<repair_node> nodes;
    std::set<base::node_id> known;
    for (const membership::member& member : membership_.members()) {
        if (member.metadata.region == assignment.region) {
            known.insert(member.id);
            nodes.push_back(
                {member.id, member.metadata.zone, usable_.contains(member.id), is_gone(member.id)});
        }
    }
    for (const base::node_id& name : assignment.replicas) {
        const auto member = parse_replica_name(name.value());
        if (member.has_value() && known.insert(member->node).second) {
            nodes.push_back({member->node, {}, false, is_gone(member->node)});
        }
    }
    return nodes;
}

shard_repair_view replica_repair::view_of(const config::shard_assignment& assignment,
                                          const journal_link& journal) const {
    shard_repair_view view;
    view.assignment = assignment;
    view.established = journal.established_epoch() == assignment.epoch;
    view.caught_up = journal.caught_up();
    for (const journal::replica_progress& each : journal.leader().progress()) {
        if (each.lost) {
            view.lost.insert(each.member);
        }
    }
    view.nodes = nodes_of(assignment);
    for (const auto& [at, known] : identities_) {
        if (at.shard == assignment.shard) {
            view.identities[at.node] = known.member;
        }
    }
    return view;
}

void replica_repair::keep_learner(const config::shard_assignment& assignment,
                                  journal_link& journal) {
    const auto joining = assignment.joining.has_value()
                             ? parse_replica_name(assignment.joining->value())
                             : std::nullopt;
    bool present = false;
    for (const journal::replica_progress& each : journal.leader().progress()) {
        present = present || each.member == joining;
        if (each.is_learner && each.member != joining) {
            journal.feed(journal::learner_removed{each.member});
        }
    }
    if (joining.has_value() && !present) {
        journal.feed(journal::learner_added{*joining});
    }
}

void replica_repair::carry_out(const config::shard_assignment& assignment, const repair_step& step,
                               std::vector<config::shard_assignment>& changes) {
    if (const auto* question = std::get_if<repair_ask>(&step)) {
        ask({assignment.shard, question->node});
    } else if (const auto* order = std::get_if<repair_reset>(&step)) {
        reset(assignment.shard, order->member);
    } else if (const auto* change = std::get_if<repair_propose>(&step)) {
        base::log(base::log_level::info, "replica_change_due",
                  {{"shard", assignment.shard.value()},
                   {"epoch", change->assignment.epoch},
                   {"reason", change->reason}});
        changes.push_back(change->assignment);
    }
}

void replica_repair::ask(const place& question) {
    const auto address = membership_.peer_address(question.node);
    if (!address.has_value() || calls_.contains(question)) {
        return;
    }
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this, question](const absl::StatusOr<std::string>& payload) {
        const auto call = calls_.extract(question);
        const auto reply = payload.ok() ? wire::decode<wire::journal_reply>(*payload)
                                        : absl::StatusOr<wire::journal_reply>(payload.status());
        if (reply.ok() && reply->member.node == question.node && !reply->member.store.empty()) {
            identities_[question] = {reply->member, context_.now()};
        }
    };
    wire::journal_status_request request;
    request.header.shard = question.shard;
    request.header.ballot.node = context_.self();
    calls_[question] =
        context_.rpc.call(question.node, *address, wire::journal_status, wire::encode(request),
                          question_timeout, std::move(callbacks));
}

void replica_repair::reset(base::shard_id shard, const wire::journal_member& member) {
    const place at{shard, member.node};
    const auto address = membership_.peer_address(member.node);
    if (!address.has_value() || calls_.contains(at)) {
        return;
    }
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this, at](const absl::StatusOr<std::string>& payload) {
        const auto call = calls_.extract(at);
        const auto reply = payload.ok() ? wire::decode<wire::journal_member>(*payload)
                                        : absl::StatusOr<wire::journal_member>(payload.status());
        if (reply.ok()) {
            identities_[at] = {*reply, context_.now()};
        } else {
            identities_.erase(at);
        }
    };
    calls_[at] = context_.rpc.call(member.node, *address, wire::journal_reset,
                                   wire::encode(replica_reset_message{shard, member}),
                                   question_timeout, std::move(callbacks));
}

void replica_repair::propose(const std::vector<config::shard_assignment>& changes) {
    const config::configuration_ptr configuration = configuration_.current();
    config::object map = *configuration->find(config::object_kind::shard_map, "default");
    auto& shards = std::get<config::shard_map_spec>(map.spec).shards;
    for (const config::shard_assignment& change : changes) {
        shards.at(change.shard.value()) = change;
    }
    config::change change;
    change.id = context_.random.hex_id();
    change.base_version = configuration->version();
    change.author = "repair";
    change.operations.emplace_back(config::put_object{std::move(map)});
    proposing_ = true;
    configuration_.propose(std::move(change),
                           [this, alive = std::weak_ptr<int>(alive_)](
                               const absl::StatusOr<base::config_version>& version) {
                               if (!alive.expired()) {
                                   proposed(version);
                               }
                           });
}

void replica_repair::proposed(const absl::StatusOr<base::config_version>& version) {
    proposing_ = false;
    if (version.ok()) {
        retry_.reset();
    } else {
        base::log(base::log_level::info, "replica_change_not_accepted",
                  base::log_fields(version.status()));
    }
    not_before_ = context_.now() + retry_.next(context_.random);
}

}  // namespace pearbarrow::node
