/// Campaign (prepare at a majority), reading of the most up-to-date log, opening of the reign.
#include <algorithm>
#include <tuple>
#include <utility>

#include "pearbarrow/journal/leader_state.h"

namespace pearbarrow::journal {

using wire::journal_outcome;

namespace {

/// A recovery read unanswered for this many request timeouts begins the campaign again, so that
/// another replica may serve as the source.
constexpr int recovery_read_patience = 3;

}  // namespace

void leader_core::state::start_campaign() {
    const auto set = set_;
    stop();
    set_ = set;
    phase_ = phase::preparing;
    ballot_ = {++highest_round_, self_};
    commit_ = log_index(0);
    last_ = log_index(0);
    ownership_index_ = log_index(0);
    establishing_index_ = log_index(0);
    for (const auto& member : set_.members) {
        follower replica{.member = member};
        replica.last_contact = now_;
        followers_.emplace(member, std::move(replica));
    }
    for (const auto& member : set_.members) {
        send_until_answered(purpose::prepare, member,
                            wire::journal_prepare_request{make_header(member), campaign_number_});
    }
}

void leader_core::state::on_promise(const outstanding_request& request,
                                    const wire::journal_reply& reply) {
    if (phase_ != phase::preparing) {
        return;
    }
    if (reply.outcome == journal_outcome::failed) {
        // The replica may get well again: ask once more after a while.
        auto& again = outstanding_[reply.request_id] = request;
        again.sent = now_;
        return;
    }
    if (reply.promised != ballot_) {
        return;
    }
    promises_.insert_or_assign(request.to, reply);
    if (promises_.size() >= majority()) {
        start_reading();
    }
}

void leader_core::state::start_reading() {
    const auto newer = [](const auto& a, const auto& b) {
        return std::tie(a.second.last_ballot, a.second.last_index) <
               std::tie(b.second.last_ballot, b.second.last_index);
    };
    const auto best = options_.faults.adopt_any_promise
                          ? promises_.begin()
                          : std::max_element(promises_.begin(), promises_.end(), newer);
    phase_ = phase::reading;
    // A late prepare would be refused by a replica that has had an append of this ballot.
    std::erase_if(outstanding_,
                  [](const auto& item) { return item.second.why == purpose::prepare; });
    recovery_source_ = best->first;
    recovery_promise_ = best->second;
    recovered_snapshot_.clear();
    snapshot_read_ = recovery_promise_.snapshot_index.value() == 0;
    window_.clear();
    window_first_ = next_index(recovery_promise_.snapshot_index);
    last_ = recovery_promise_.snapshot_index;
    runs_ = {{recovery_promise_.snapshot_index, recovery_promise_.snapshot_ballot}};
    read_on();
}

void leader_core::state::read_on() {
    if (snapshot_read_ && last_ == recovery_promise_.last_index) {
        open_reign();
        return;
    }
    wire::journal_read_request request;
    request.header = make_header(recovery_source_);
    request.max_bytes = options_.chunk_bytes;
    if (snapshot_read_) {
        request.part = wire::journal_read_part::entries;
        request.from = next_index(last_);
    } else {
        request.part = wire::journal_read_part::snapshot;
        request.offset = recovered_snapshot_.size();
    }
    send_until_answered(purpose::recovery_read, recovery_source_, std::move(request));
}

void leader_core::state::on_recovery_read(const wire::journal_reply& reply) {
    if (phase_ != phase::reading) {
        return;
    }
    const bool changed = reply.snapshot_index != recovery_promise_.snapshot_index ||
                         reply.last_index != recovery_promise_.last_index;
    if (reply.outcome != journal_outcome::accepted || changed) {
        start_campaign();
        return;
    }
    if (!snapshot_read_) {
        recovered_snapshot_ += reply.chunk;
        snapshot_read_ = !reply.more;
        read_on();
        return;
    }
    for (const auto& entry : reply.entries) {
        if (entry.index != next_index(last_) || !checksum_holds(shard_, entry)) {
            start_campaign();
            return;
        }
        add_entry(entry);
    }
    if (reply.entries.empty()) {
        start_campaign();
        return;
    }
    read_on();
}

void leader_core::state::open_reign() {
    phase_ = phase::opening;
    commit_ = log_index(0);
    for (auto& [member, replica] : followers_) {
        replica.next = next_index(last_);
        replica.probe_from = replica.next;
        replica.probing = true;
    }
    if (options_.faults.commit_old_ballots) {
        ownership_index_ = last_;
        replicate_all();
        advance_commit();
        return;
    }
    add_entry({.kind = wire::journal_entry_kind::ownership, .payload = self_.value()});
    ownership_index_ = last_;
    establishing_index_ = last_;
    replicate_all();
}

void leader_core::state::become_leading() {
    phase_ = phase::leading;
    recovered done{.ballot = ballot_,
                   .snapshot_index = recovery_promise_.snapshot_index,
                   .snapshot = std::move(recovered_snapshot_),
                   .committed_through = commit_};
    recovered_snapshot_.clear();
    for (const auto& entry : window_) {
        if (entry.index <= commit_ && entry.kind == wire::journal_entry_kind::record) {
            done.records.push_back(entry);
        }
    }
    actions_.emplace_back(std::move(done));
    if (options_.faults.commit_old_ballots) {
        add_entry({.kind = wire::journal_entry_kind::ownership, .payload = self_.value()});
        establishing_index_ = last_;
        replicate_all();
    }
}

/// Repeats what has had no reply. Appends are not repeated but taken for lost: their replica is
/// probed from its last known match.
void leader_core::state::expire_requests() {
    constexpr int late_reply_patience = 20;
    std::vector<wire::journal_member> silent;
    for (auto at = outstanding_.begin(); at != outstanding_.end();) {
        auto& request = at->second;
        const auto age = now_ - request.sent;
        if (request.why == purpose::append &&
            age > late_reply_patience * options_.request_timeout) {
            at = outstanding_.erase(at);
            continue;
        }
        if (age > options_.request_timeout && !request.expired) {
            if (request.why == purpose::append) {
                silent.push_back(request.to);
            } else if (request.repeat) {
                request.sent = now_;
                actions_.emplace_back(send_request{request.to, *request.repeat});
            }
        }
        ++at;
    }
    for (const auto& member : silent) {
        if (auto* replica = find(member); replica != nullptr) {
            expire_appends(*replica);
        }
    }
    const bool stuck =
        std::any_of(outstanding_.begin(), outstanding_.end(), [this](const auto& item) {
            return item.second.why == purpose::recovery_read &&
                   now_ - item.second.first_sent >
                       recovery_read_patience * options_.request_timeout;
        });
    if (phase_ == phase::reading && stuck) {
        start_campaign();
    }
}

}  // namespace pearbarrow::journal
