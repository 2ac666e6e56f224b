#include "pearbarrow/journal/leader.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/journal/leader_state.h"

namespace pearbarrow::journal {

using wire::journal_outcome;

leader_core::state::state(base::shard_id shard, base::node_id self, leader_options options)
    : shard_(shard), self_(std::move(self)), options_(options) {}

std::vector<leader_action> leader_core::state::apply(const leader_event& event, instant now) {
    now_ = now;
    std::visit([this](const auto& body) { on(body); }, event);
    return std::exchange(actions_, {});
}

void leader_core::state::on(const campaign& event) {
    stop();
    set_ = event.set;
    campaign_number_ = event.campaign_number;
    start_campaign();
}

void leader_core::state::on(const resign& event) {
    stop();
}

void leader_core::state::on(const replica_replied& event) {
    const auto& reply = event.reply;
    highest_round_ = std::max(highest_round_, reply.promised.round);
    const auto found = outstanding_.find(reply.request_id);
    if (found == outstanding_.end()) {
        return;
    }
    const auto request = std::move(found->second);
    outstanding_.erase(found);
    auto* replica = find(request.to);
    if (replica != nullptr && request.why == purpose::append && !request.expired) {
        --replica->appends_in_flight;
    }
    if (reply.outcome == journal_outcome::refused) {
        fence(reply.promised, reply.epoch, reply.reason);
        return;
    }
    if (reply.outcome == journal_outcome::failed) {
        note_loss(request.to, reply);
    } else if (replica != nullptr) {
        note_contact(*replica, reply.request_id, request.sent, reply);
    }
    dispatch(request, reply);
}

void leader_core::state::dispatch(const outstanding_request& request,
                                  const wire::journal_reply& reply) {
    switch (request.why) {
        case purpose::prepare:
            on_promise(request, reply);
            break;
        case purpose::recovery_read:
            on_recovery_read(reply);
            break;
        case purpose::append:
            if (auto* replica = find(request.to); replica != nullptr) {
                on_append_reply(*replica, request, reply);
            }
            break;
        case purpose::history_read:
            on_history_reply(reply);
            break;
        default:
            dispatch_catch_up(request, reply);
            break;
    }
}

void leader_core::state::dispatch_catch_up(const outstanding_request& request,
                                           const wire::journal_reply& reply) {
    auto* replica = find(request.subject);
    if (replica == nullptr) {
        return;
    }
    if (request.why == purpose::truncation) {
        on_truncation_reply(*replica, reply);
    } else if (replica->copying && request.why == purpose::transfer_read) {
        on_transfer_read(*replica, reply);
    } else if (replica->copying && request.why == purpose::transfer_write) {
        on_transfer_write(*replica, reply);
    }
}

void leader_core::state::on(const request_failed& event) {
    const auto found = outstanding_.find(event.request_id);
    if (found == outstanding_.end() || found->second.why != purpose::append ||
        found->second.expired) {
        return;  // The others are repeated after their timeout.
    }
    if (auto* replica = find(found->second.to); replica != nullptr) {
        expire_appends(*replica);
    }
}

void leader_core::state::on(const append& event) {
    const bool bad_key = event.retention_key.find('\0') != std::string::npos ||
                         std::find(event.dropped_prefixes.begin(), event.dropped_prefixes.end(),
                                   "") != event.dropped_prefixes.end();
    if (phase_ != phase::leading) {
        actions_.emplace_back(append_refused{event.token, "not_leading"});
        return;
    }
    if (bad_key || uncommitted_bytes_ > options_.max_uncommitted_bytes) {
        actions_.emplace_back(
            append_refused{event.token, bad_key ? "bad_retention_key" : "journal_queue_full"});
        return;
    }
    wire::journal_entry entry;
    entry.payload = event.payload;
    entry.retention_key = event.retention_key;
    entry.dropped_prefixes = event.dropped_prefixes;
    add_entry(std::move(entry));
    actions_.emplace_back(appended{event.token, last_});
    replicate_all();
}

void leader_core::state::on(const snapshot_taken& event) {
    const bool newer = !snapshot_ || event.index > snapshot_->index;
    if (phase_ != phase::leading || event.index > commit_ || event.index.value() == 0 || !newer) {
        return;
    }
    snapshot_ = owner_snapshot{event.index, ballot_at(event.index), event.payload};
    for (auto& [member, replica] : followers_) {
        truncate_replica(replica);
    }
}

void leader_core::state::on(const replica_set_changed& event) {
    if (phase_ == phase::idle || event.set.epoch <= set_.epoch) {
        return;
    }
    if (!in_reign()) {
        set_ = event.set;
        start_campaign();
        return;
    }
    if (event.set.epoch > set_.epoch + 1) {
        // The epoch between was established by another leader, so this one is fenced already.
        fence(ballot_, event.set.epoch, "stale_epoch");
        return;
    }
    set_ = event.set;
    for (const auto& member : set_.members) {
        auto [at, is_new] = followers_.try_emplace(member);
        at->second.member = member;
        at->second.is_learner = false;
        if (is_new) {
            at->second.next = next_index(last_);
            at->second.probe_from = at->second.next;
            at->second.last_contact = now_;
        }
    }
    std::vector<wire::journal_member> removed;
    for (const auto& [member, replica] : followers_) {
        const auto at = std::find(set_.members.begin(), set_.members.end(), member);
        if (!replica.is_learner && at == set_.members.end()) {
            removed.push_back(member);
        }
    }
    for (const auto& member : removed) {
        drop_follower(member);
    }
    add_entry({.kind = wire::journal_entry_kind::replica_set, .payload = wire::encode(set_)});
    establishing_index_ = last_;
    replicate_all();
    advance_commit();
}

void leader_core::state::on(const learner_added& event) {
    if (!in_reign() || followers_.contains(event.member)) {
        return;
    }
    follower learner{.member = event.member, .is_learner = true};
    learner.next = next_index(last_);
    learner.probe_from = learner.next;
    learner.last_contact = now_;
    replicate(followers_.emplace(event.member, std::move(learner)).first->second);
}

void leader_core::state::on(const learner_removed& event) {
    const auto found = followers_.find(event.member);
    if (found != followers_.end() && found->second.is_learner) {
        drop_follower(event.member);
    }
}

void leader_core::state::on(const confirm& event) {
    if (phase_ != phase::leading) {
        return;  // `fenced` was reported, or nothing was ever led.
    }
    confirms_.push_back({event.token, next_request_});
    for (auto& [member, replica] : followers_) {
        if (!replica.lost) {
            send_append(replica);
        }
    }
}

void leader_core::state::on(const tick& event) {
    if (phase_ == phase::idle) {
        return;
    }
    expire_requests();
    if (in_reign()) {
        for (auto& [member, replica] : followers_) {
            replicate(replica);
            truncate_replica(replica);
        }
        watch_history_reads();
    }
    watch_availability();
}

void leader_core::state::fence(const base::ballot& by, std::uint64_t epoch, std::string reason) {
    const bool campaigning = !in_reign();
    highest_round_ = std::max(highest_round_, by.round);
    stop();
    actions_.emplace_back(fenced{by, epoch, std::move(reason), campaigning});
}

void leader_core::state::stop() {
    fail_history_reads("not_leading");
    phase_ = phase::idle;
    outstanding_.clear();
    followers_.clear();
    promises_.clear();
    recovered_snapshot_.clear();
    window_.clear();
    window_bytes_ = 0;
    uncommitted_bytes_ = 0;
    runs_.clear();
    snapshot_.reset();
    confirms_.clear();
    unavailable_reported_ = false;
}

void leader_core::state::note_loss(const wire::journal_member& member,
                                   const wire::journal_reply& reply) {
    if (reply.reason != "store_mismatch" && reply.reason != "journal_corrupt") {
        return;
    }
    auto* replica = find(member);
    if (replica == nullptr || replica->lost) {
        return;
    }
    replica->lost = true;
    end_transfer(*replica);
    replica->truncating.reset();
    forget_requests(member, purpose::truncation);
    expire_appends(*replica);
    actions_.emplace_back(replica_lost{member, reply.member, reply.reason});
}

void leader_core::state::note_contact(follower& replica, std::uint64_t request_id, instant sent,
                                      const wire::journal_reply& reply) {
    replica.lost = false;
    replica.last_contact = std::max(replica.last_contact, sent);
    replica.last_acked_request = std::max(replica.last_acked_request, request_id);
    replica.snapshot = std::max(replica.snapshot, reply.snapshot_index);
    replica.known_commit = std::max(replica.known_commit, reply.commit_index);
    report_confirms();
    watch_availability();
}

void leader_core::state::watch_availability() {
    if (phase_ == phase::idle || set_.members.empty()) {
        return;
    }
    std::vector<instant> contacts;
    for (const auto& member : set_.members) {
        contacts.push_back(followers_.at(member).last_contact);
    }
    std::sort(contacts.rbegin(), contacts.rend());
    const instant since = contacts[majority() - 1];
    const bool is_unavailable = now_ - since > options_.unavailable_after;
    if (is_unavailable != unavailable_reported_) {
        unavailable_reported_ = is_unavailable;
        if (is_unavailable) {
            actions_.emplace_back(unavailable{since});
        } else {
            actions_.emplace_back(available_again{});
        }
    }
}

std::vector<replica_progress> leader_core::state::progress() const {
    std::vector<replica_progress> all;
    for (const auto& [member, replica] : followers_) {
        all.push_back({member, replica.is_learner, replica.matched, replica.snapshot,
                       replica.last_contact, replica.lost});
    }
    return all;
}

wire::journal_header leader_core::state::make_header(const wire::journal_member& to) {
    return {.shard = shard_,
            .request_id = next_request_++,
            .target = to,
            .epoch = set_.epoch,
            .ballot = ballot_};
}

std::uint64_t leader_core::state::send_until_answered(purpose why,
                                                      const wire::journal_member& subject,
                                                      wire::journal_request request) {
    const auto& header = wire::header_of(request);
    const auto id = header.request_id;
    const auto to = header.target;
    outstanding_[id] = {.why = why,
                        .to = to,
                        .subject = subject,
                        .first_sent = now_,
                        .sent = now_,
                        .repeat = request};
    actions_.emplace_back(send_request{to, std::move(request)});
    return id;
}

void leader_core::state::forget_requests(const wire::journal_member& subject, purpose why) {
    std::erase_if(outstanding_, [&](const auto& item) {
        return item.second.subject == subject && item.second.why == why;
    });
}

void leader_core::state::drop_follower(const wire::journal_member& member) {
    followers_.erase(member);
    std::erase_if(outstanding_, [&](const auto& item) {
        return item.second.subject == member || item.second.to == member;
    });
}

leader_core::state::follower* leader_core::state::find(const wire::journal_member& member) {
    const auto found = followers_.find(member);
    return found == followers_.end() ? nullptr : &found->second;
}

leader_core::leader_core(base::shard_id shard, base::node_id self, leader_options options)
    : state_(std::make_unique<state>(shard, std::move(self), options)) {}
leader_core::~leader_core() = default;
leader_core::leader_core(leader_core&&) noexcept = default;
leader_core& leader_core::operator=(leader_core&&) noexcept = default;
std::vector<leader_action> leader_core::apply(const leader_event& event, instant now) {
    return state_->apply(event, now);
}
bool leader_core::is_leading() const {
    return state_->is_leading();
}
base::ballot leader_core::current_ballot() const {
    return state_->current_ballot();
}
log_index leader_core::commit_index() const {
    return state_->commit_index();
}
log_index leader_core::last_index() const {
    return state_->last_index();
}
const wire::journal_replica_set& leader_core::replica_set() const {
    return state_->replica_set();
}
std::vector<replica_progress> leader_core::progress() const {
    return state_->progress();
}

}  // namespace pearbarrow::journal
