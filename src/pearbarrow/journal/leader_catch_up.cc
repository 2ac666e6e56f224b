/// Catching up lagging replicas from others, truncation by snapshots, reads of retained entries.
#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/journal/leader_state.h"

namespace pearbarrow::journal {

using wire::journal_outcome;
using wire::journal_read_part;

namespace {

/// A history read without an answer for this many request timeouts fails.
constexpr int history_read_patience = 10;

}  // namespace

/// The most recently heard replica that holds the log as far as `at_least`.
const leader_core::state::follower* leader_core::state::choose_source(
    const wire::journal_member& target, log_index at_least) const {
    const follower* best = nullptr;
    for (const auto& [member, replica] : followers_) {
        const bool usable = !(member == target) && !replica.lost && !replica.copying &&
                            !replica.truncating && replica.matched >= at_least;
        if (usable && (best == nullptr || replica.last_contact > best->last_contact)) {
            best = &replica;
        }
    }
    return best;
}

bool leader_core::state::is_source(const wire::journal_member& member) const {
    return std::any_of(followers_.begin(), followers_.end(), [&](const auto& item) {
        return item.second.copying && item.second.copying->source == member;
    });
}

void leader_core::state::start_transfer(follower& replica) {
    const auto* source = choose_source(replica.member, previous_index(window_first_));
    if (source == nullptr) {
        return;
    }
    transfer copying{.source = source->member, .id = next_request_, .last_progress = now_};
    copying.at =
        replica.next > source->snapshot ? transfer::stage::entries : transfer::stage::snapshot;
    replica.copying = copying;
    read_for_transfer(replica);
}

void leader_core::state::read_for_transfer(follower& replica) {
    auto& copying = *replica.copying;
    wire::journal_read_request request;
    request.header = make_header(copying.source);
    request.max_bytes = options_.chunk_bytes;
    switch (copying.at) {
        case transfer::stage::entries:
            request.part = journal_read_part::entries;
            request.from = replica.next;
            break;
        case transfer::stage::snapshot:
            request.part = journal_read_part::snapshot;
            request.offset = copying.offset;
            break;
        case transfer::stage::retained:
            request.part = journal_read_part::retained;
            request.after_key = copying.after_key;
            request.after_index = copying.after_index;
            break;
    }
    send_until_answered(purpose::transfer_read, replica.member, std::move(request));
}

void leader_core::state::on_transfer_read(follower& replica, const wire::journal_reply& reply) {
    auto& copying = *replica.copying;
    if (reply.outcome != journal_outcome::accepted) {
        if (reply.reason == "entries_unavailable" && copying.at == transfer::stage::entries) {
            copying.at = transfer::stage::snapshot;
            read_for_transfer(replica);
        } else {
            end_transfer(replica);
        }
        return;
    }
    copying.last_progress = now_;
    if (copying.at == transfer::stage::entries) {
        pass_entries_on(replica, reply);
    } else {
        pass_state_on(replica, reply);
    }
}

void leader_core::state::pass_entries_on(follower& replica, const wire::journal_reply& reply) {
    const auto* source = find(replica.copying->source);
    if (source == nullptr) {
        end_transfer(replica);
        return;
    }
    wire::journal_append_request request;
    request.header = make_header(replica.member);
    request.previous_index = previous_index(replica.next);
    request.previous_ballot = reply.previous_ballot;
    request.commit_index = commit_;
    for (const auto& entry : reply.entries) {
        // Beyond its match the source may hold entries that are not this leader's.
        if (entry.index <= source->matched) {
            request.entries.push_back(entry);
        }
    }
    if (request.entries.empty()) {
        end_transfer(replica);
        return;
    }
    send_until_answered(purpose::transfer_write, replica.member, std::move(request));
}

void leader_core::state::pass_state_on(follower& replica, const wire::journal_reply& reply) {
    auto& copying = *replica.copying;
    if (copying.step == 0) {
        copying.index = reply.snapshot_index;
        copying.index_ballot = reply.snapshot_ballot;
    }
    if (reply.snapshot_index != copying.index || copying.index.value() == 0) {
        end_transfer(replica);
        return;
    }
    wire::journal_install_request request;
    request.header = make_header(replica.member);
    request.transfer = copying.id;
    request.step = copying.step++;
    request.index = copying.index;
    request.index_ballot = copying.index_ballot;
    if (copying.at == transfer::stage::snapshot) {
        request.chunk = reply.chunk;
        copying.offset += reply.chunk.size();
        if (!reply.more) {
            copying.at = transfer::stage::retained;
        }
    } else {
        request.retained = reply.entries;
        request.last = !reply.more;
        if (!reply.entries.empty()) {
            copying.after_key = reply.entries.back().retention_key;
            copying.after_index = reply.entries.back().index;
        }
    }
    copying.is_last_step = request.last;
    send_until_answered(purpose::transfer_write, replica.member, std::move(request));
}

void leader_core::state::on_transfer_write(follower& replica, const wire::journal_reply& reply) {
    auto& copying = *replica.copying;
    if (reply.outcome == journal_outcome::mismatch) {
        probe_after(replica, reply.hint);
        end_transfer(replica);
        return;
    }
    if (reply.outcome != journal_outcome::accepted) {
        end_transfer(replica);
        return;
    }
    copying.last_progress = now_;
    replica.matched = std::max(replica.matched, std::min(reply.matched_index, last_));
    replica.next = std::max(replica.next, next_index(replica.matched));
    const bool has_snapshot = copying.step > 0 && replica.matched >= copying.index;
    if (copying.is_last_step || has_snapshot || replica.next >= window_first_) {
        replica.next = next_index(replica.matched);
        end_transfer(replica);
        advance_commit();
        if (in_reign()) {
            replicate(replica);
        }
        return;
    }
    read_for_transfer(replica);
}

void leader_core::state::end_transfer(follower& replica) {
    replica.copying.reset();
    replica.probing = true;
    forget_requests(replica.member, purpose::transfer_read);
    forget_requests(replica.member, purpose::transfer_write);
}

/// Sends the newest owner's snapshot once the replica's log reaches it. Not while another replica
/// is being caught up from this one: that copy needs the snapshot it began with.
void leader_core::state::truncate_replica(follower& replica) {
    const bool wanted =
        snapshot_ && replica.matched >= snapshot_->index && replica.snapshot < snapshot_->index;
    if (!wanted || replica.truncating || replica.copying || replica.lost ||
        is_source(replica.member)) {
        return;
    }
    replica.truncating = truncation{.index = snapshot_->index};
    on_truncation_reply(replica, {});
}

/// Sends the next chunk; `reply` is the answer to the one before.
void leader_core::state::on_truncation_reply(follower& replica, const wire::journal_reply& reply) {
    if (!replica.truncating) {
        return;
    }
    auto& sending = *replica.truncating;
    const bool done = replica.snapshot >= sending.index;
    if (reply.outcome != journal_outcome::accepted || done || !snapshot_ ||
        snapshot_->index != sending.index) {
        replica.truncating.reset();
        return;  // Begun again, if need be, with the next tick.
    }
    wire::journal_snapshot_request request;
    request.header = make_header(replica.member);
    request.index = snapshot_->index;
    request.index_ballot = snapshot_->ballot;
    request.offset = sending.offset;
    request.chunk = snapshot_->payload.substr(sending.offset, options_.chunk_bytes);
    sending.offset += request.chunk.size();
    request.last = sending.offset == snapshot_->payload.size();
    send_until_answered(purpose::truncation, replica.member, std::move(request));
}

void leader_core::state::on(const read_retained& event) {
    if (phase_ != phase::leading) {
        actions_.emplace_back(retained_read{
            event.token, base::make_error(absl::StatusCode::kUnavailable, "not the leader",
                                          {.step = "read_retained", .reason = "not_leading"})});
        return;
    }
    history_reads_.push_back(
        {.token = event.token, .key_prefix = event.key_prefix, .required = commit_, .began = now_});
    read_history(history_reads_.back());
}

void leader_core::state::read_history(history_read& read) {
    std::vector<follower*> candidates;
    for (auto& [member, replica] : followers_) {
        if (!replica.lost && !replica.copying && replica.matched >= read.required) {
            candidates.push_back(&replica);
        }
    }
    if (candidates.empty()) {
        return;  // Tried again with the next tick.
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto* a, const auto* b) {
        return a->known_commit > b->known_commit;
    });
    auto* replica = candidates[read.attempts++ % candidates.size()];
    if (replica->known_commit < read.required && replica->appends_in_flight == 0) {
        send_append(*replica);  // Tells it what is committed.
    }
    wire::journal_read_retained_request request;
    request.header = make_header(replica->member);
    request.key_prefix = read.key_prefix;
    request.required_index = read.required;
    request.max_bytes = options_.chunk_bytes;
    if (!read.entries.empty()) {
        request.after_key = read.entries.back().retention_key;
        request.after_index = read.entries.back().index;
    }
    read.request_id = request.header.request_id;
    outstanding_[read.request_id] = {.why = purpose::history_read,
                                     .to = replica->member,
                                     .subject = replica->member,
                                     .first_sent = now_,
                                     .sent = now_};
    actions_.emplace_back(send_request{replica->member, std::move(request)});
}

void leader_core::state::on_history_reply(const wire::journal_reply& reply) {
    const auto read =
        std::find_if(history_reads_.begin(), history_reads_.end(),
                     [&](const history_read& one) { return one.request_id == reply.request_id; });
    if (read == history_reads_.end()) {
        return;
    }
    read->request_id = 0;
    if (reply.outcome != journal_outcome::accepted) {
        return;  // Tried at another replica with the next tick.
    }
    read->entries.insert(read->entries.end(), reply.entries.begin(), reply.entries.end());
    if (reply.more && !reply.entries.empty()) {
        --read->attempts;  // The next page from the same replica.
        read_history(*read);
        return;
    }
    actions_.emplace_back(retained_read{read->token, absl::OkStatus(), std::move(read->entries)});
    history_reads_.erase(read);
}

void leader_core::state::watch_history_reads() {
    for (auto& read : history_reads_) {
        const auto request = outstanding_.find(read.request_id);
        const bool silent =
            request != outstanding_.end() && now_ - request->second.sent > options_.request_timeout;
        if (silent) {
            outstanding_.erase(request);
        }
        if (silent || read.request_id == 0) {
            read_history(read);
        }
    }
    std::erase_if(history_reads_, [this](const history_read& read) {
        const bool hopeless = now_ - read.began > history_read_patience * options_.request_timeout;
        if (hopeless) {
            actions_.emplace_back(retained_read{
                read.token, base::make_error(absl::StatusCode::kUnavailable,
                                             "no replica gave the retained entries",
                                             {.step = "read_retained", .reason = "no_quorum"})});
        }
        return hopeless;
    });
}

void leader_core::state::fail_history_reads(std::string_view reason) {
    for (const auto& read : std::exchange(history_reads_, {})) {
        actions_.emplace_back(retained_read{
            read.token,
            base::make_error(absl::StatusCode::kUnavailable, "the reign ended",
                             {.step = "read_retained", .reason = std::string(reason)})});
    }
}

}  // namespace pearbarrow::journal
