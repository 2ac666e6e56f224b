/// Appends in a pipeline, backtracking, and the commit rule.
#include <algorithm>
#include <utility>

#include "pearbarrow/journal/leader_state.h"

namespace pearbarrow::journal {

using wire::journal_outcome;

/// Gives a new entry (index 0) its place under this ballot; takes a recovered one as it is.
void leader_core::state::add_entry(wire::journal_entry entry) {
    if (entry.index.value() == 0) {
        entry.index = next_index(last_);
        entry.ballot = ballot_;
        entry.checksum = entry_checksum(shard_, entry);
    }
    last_ = entry.index;
    if (runs_.empty() || runs_.back().ballot != entry.ballot) {
        runs_.push_back({entry.index, entry.ballot});
    }
    window_bytes_ += entry_bytes(entry);
    uncommitted_bytes_ += entry_bytes(entry);
    window_.push_back(std::move(entry));
}

void leader_core::state::replicate_all() {
    for (auto& [member, replica] : followers_) {
        replicate(replica);
    }
}

void leader_core::state::replicate(follower& replica) {
    if (replica.lost) {
        probe_lost(replica);
        return;
    }
    if (replica.copying) {
        const auto patience = 6 * options_.request_timeout;
        if (now_ - replica.copying->last_progress > patience) {
            end_transfer(replica);  // Begins again with the next tick, perhaps from elsewhere.
        }
        return;
    }
    const std::size_t allowed = replica.probing ? 1 : options_.max_requests_in_flight;
    const bool needs_transfer = replica.next < window_first_;
    const bool heard = now_ - replica.last_contact <= 2 * options_.request_timeout;
    if (needs_transfer && heard && replica.appends_in_flight == 0) {
        start_transfer(replica);
        return;
    }
    while (!needs_transfer && replica.appends_in_flight < allowed && replica.next <= last_) {
        send_append(replica);
    }
    const bool idle =
        replica.appends_in_flight == 0 && now_ - replica.last_sent >= options_.heartbeat_interval;
    if (idle) {
        send_append(replica);
    }
}

/// A lost replica hears now and then, in case its old disk comes back.
void leader_core::state::probe_lost(follower& replica) {
    constexpr int slower = 10;
    if (now_ - replica.last_sent >= slower * options_.heartbeat_interval) {
        replica.next = next_index(last_);
        replica.probe_from = replica.next;
        send_append(replica);
    }
}

/// One request with what comes next, or a heartbeat when there is nothing or the entries are gone
/// from memory.
void leader_core::state::send_append(follower& replica) {
    wire::journal_append_request request;
    if (replica.next < window_first_) {
        request.previous_index = previous_index(window_first_);
    } else {
        request.previous_index = previous_index(replica.next);
        std::size_t bytes = 0;
        auto at = window_.begin() +
                  static_cast<std::ptrdiff_t>(replica.next.value() - window_first_.value());
        const bool may_send = replica.appends_in_flight < options_.max_requests_in_flight;
        for (; may_send && at != window_.end() &&
               request.entries.size() < options_.max_append_entries;
             ++at) {
            bytes += entry_bytes(*at);
            if (!request.entries.empty() && bytes > options_.max_append_bytes) {
                break;
            }
            request.entries.push_back(*at);
        }
        replica.next = log_index(replica.next.value() + request.entries.size());
    }
    request.previous_ballot = ballot_at(request.previous_index);
    request.commit_index = commit_;
    request.header = make_header(replica.member);
    outstanding_[request.header.request_id] = {.why = purpose::append,
                                               .to = replica.member,
                                               .subject = replica.member,
                                               .first_sent = now_,
                                               .sent = now_};
    ++replica.appends_in_flight;
    replica.last_sent = now_;
    actions_.emplace_back(send_request{replica.member, std::move(request)});
}

void leader_core::state::on_append_reply(follower& replica, const outstanding_request& request,
                                         const wire::journal_reply& reply) {
    if (reply.outcome == journal_outcome::failed) {
        expire_appends(replica);
        return;
    }
    if (reply.outcome == journal_outcome::mismatch) {
        if (!request.expired) {
            expire_appends(replica);
            probe_after(replica, reply.hint);
            replicate(replica);
        }
        return;
    }
    replica.matched = std::max(replica.matched, std::min(reply.matched_index, last_));
    replica.next = std::max(replica.next, next_index(replica.matched));
    replica.probing = replica.probing && request.expired;
    advance_commit();
    if (!in_reign()) {
        return;
    }
    if (replica.is_learner && !replica.caught_up_reported && phase_ == phase::leading &&
        replica.matched >= commit_) {
        replica.caught_up_reported = true;
        actions_.emplace_back(learner_caught_up{replica.member});
    }
    replicate(replica);
    truncate_replica(replica);
}

/// Goes on after the last index at which the replica's log may match.
void leader_core::state::probe_after(follower& replica, log_index hint) {
    replica.next = next_index(std::min(std::max(hint, replica.matched), last_));
    replica.probe_from = replica.next;
}

void leader_core::state::expire_appends(follower& replica) {
    for (auto& [id, request] : outstanding_) {
        if (request.why == purpose::append && request.to == replica.member) {
            request.expired = true;
        }
    }
    replica.appends_in_flight = 0;
    replica.probing = true;
    replica.next = replica.matched.value() == 0 ? replica.probe_from : next_index(replica.matched);
}

/// An entry is committed when a majority of the set holds it and it, or one after it that the
/// majority holds, has this leader's ballot.
void leader_core::state::advance_commit() {
    if (!in_reign()) {
        return;
    }
    std::vector<log_index> matched;
    for (const auto& member : set_.members) {
        matched.push_back(followers_.at(member).matched);
    }
    std::sort(matched.rbegin(), matched.rend());
    const auto through =
        options_.faults.commit_without_majority ? matched.front() : matched[majority() - 1];
    if (through < ownership_index_ || (through <= commit_ && phase_ == phase::leading)) {
        return;
    }
    for (auto index = std::max(next_index(commit_), window_first_); index <= through;
         index = next_index(index)) {
        uncommitted_bytes_ -=
            entry_bytes(window_[static_cast<std::size_t>(index.value() - window_first_.value())]);
    }
    commit_ = through;
    if (phase_ == phase::opening) {
        become_leading();
    } else {
        actions_.emplace_back(committed{commit_});
    }
    if (establishing_index_.value() != 0 && commit_ >= establishing_index_) {
        establishing_index_ = log_index(0);
        actions_.emplace_back(epoch_established{set_.epoch});
    }
    trim_window();
}

void leader_core::state::report_confirms() {
    std::erase_if(confirms_, [this](const waiting_confirm& waiting) {
        const auto acknowledged =
            std::count_if(set_.members.begin(), set_.members.end(), [&](const auto& member) {
                return followers_.at(member).last_acked_request >= waiting.first_request;
            });
        const bool done = static_cast<std::size_t>(acknowledged) >= majority();
        if (done) {
            actions_.emplace_back(confirmed{waiting.token});
        }
        return done;
    });
}

void leader_core::state::trim_window() {
    while (window_bytes_ > options_.window_bytes && !window_.empty() &&
           window_.front().index <= commit_) {
        window_bytes_ -= entry_bytes(window_.front());
        window_.pop_front();
        window_first_ = next_index(window_first_);
    }
}

/// Ballot of the entry at `index`, from the recovered snapshot's index on.
base::ballot leader_core::state::ballot_at(log_index index) const {
    const auto after =
        std::upper_bound(runs_.begin(), runs_.end(), index,
                         [](log_index at, const ballot_run& run) { return at < run.first; });
    return after == runs_.begin() ? base::ballot{} : std::prev(after)->ballot;
}

}  // namespace pearbarrow::journal
