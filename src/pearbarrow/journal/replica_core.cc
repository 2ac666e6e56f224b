#include "pearbarrow/journal/replica_core.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/journal/entry.h"

namespace pearbarrow::journal {

using wire::journal_outcome;

namespace {

absl::Status corrupt(std::string_view message) {
    return base::make_error(absl::StatusCode::kDataLoss, message,
                            {.step = "journal_open", .reason = "journal_corrupt"});
}

}  // namespace

replica_core::replica_core(wire::journal_member self, shard_metadata metadata,
                           replica_core_faults faults)
    : self_(std::move(self)),
      metadata_(std::move(metadata)),
      faults_(faults),
      restored_through_(metadata_.snapshot_index) {}

absl::Status replica_core::restore(const std::vector<wire::journal_entry>& entries) {
    for (const auto& entry : entries) {
        if (entry.index != next_index(restored_through_) || entry.index > metadata_.last_index) {
            return corrupt("an entry is missing from the log");
        }
        if (!checksum_holds(metadata_.shard, entry)) {
            return corrupt("an entry's checksum doesn't hold");
        }
        restored_through_ = entry.index;
        note_entry(entry);
        if (entry.index <= metadata_.commit_index) {
            // The drops themselves were stored together with this commit index.
            std::vector<store_operation> done_before;
            advance_commit(entry.index, done_before);
        }
    }
    return absl::OkStatus();
}

absl::Status replica_core::finish_restore() const {
    return restored_through_ == metadata_.last_index ? absl::OkStatus()
                                                     : corrupt("the log ends too early");
}

wire::journal_reply replica_core::make_reply(const wire::journal_header& header) const {
    wire::journal_reply reply;
    reply.shard = metadata_.shard;
    reply.request_id = header.request_id;
    reply.member = faults_.amnesiac_votes ? header.target : self_;
    reply.promised = metadata_.promised;
    reply.epoch = metadata_.epoch;
    reply.last_index = metadata_.last_index;
    reply.last_ballot = ballot_at(metadata_.last_index).value_or(base::ballot{});
    reply.snapshot_index = metadata_.snapshot_index;
    reply.snapshot_ballot = metadata_.snapshot_ballot;
    reply.commit_index = metadata_.commit_index;
    return reply;
}

replica_step replica_core::fail(const wire::journal_header& header, std::string reason) const {
    replica_step step{.reply = make_reply(header)};
    step.reply.outcome = journal_outcome::failed;
    step.reply.reason = std::move(reason);
    return step;
}

std::optional<replica_step> replica_core::check_header(const wire::journal_header& header) const {
    if (header.target != self_ && !faults_.amnesiac_votes) {
        return fail(header, "store_mismatch");
    }
    if (header.epoch < metadata_.epoch && !faults_.skip_epoch_check) {
        auto step = fail(header, "stale_epoch");
        step.reply.outcome = journal_outcome::refused;
        return step;
    }
    return std::nullopt;
}

std::optional<replica_step> replica_core::check_ballot(const wire::journal_header& header) const {
    if (auto refusal = check_header(header)) {
        return refusal;
    }
    if (header.ballot < metadata_.promised) {
        auto step = fail(header, "ballot_fenced");
        step.reply.outcome = journal_outcome::refused;
        return step;
    }
    return std::nullopt;
}

replica_step replica_core::apply(const wire::journal_request& request) {
    auto step = std::visit([this](const auto& body) { return apply_body(body); }, request);
    // Also after a failure: an accepted ballot must be durable before any later reply rests on it.
    if (metadata_unsaved_ || !step.operations.empty()) {
        step.operations.emplace_back(stored_metadata());
        metadata_unsaved_ = false;
    }
    return step;
}

replica_step replica_core::apply_body(const wire::journal_status_request& request) {
    return {.reply = make_reply(request.header)};
}

replica_step replica_core::apply_body(const wire::journal_prepare_request& request) {
    const auto& header = request.header;
    if (auto refusal = check_ballot(header)) {
        return *std::move(refusal);
    }
    const bool repeated = header.ballot == metadata_.promised && request.campaign != 0 &&
                          request.campaign == metadata_.promised_campaign;
    if (header.ballot == metadata_.promised && !repeated) {
        auto step = fail(header, "ballot_fenced");
        step.reply.outcome = journal_outcome::refused;
        return step;
    }
    replica_step step;
    metadata_.promised = header.ballot;
    metadata_.promised_campaign = request.campaign;
    metadata_.epoch = std::max(metadata_.epoch, header.epoch);
    metadata_unsaved_ = true;
    step.reply = make_reply(header);
    return step;
}

std::optional<replica_step> replica_core::check_entries(
    const wire::journal_append_request& request) const {
    base::log_index expected = request.previous_index;
    for (const auto& entry : request.entries) {
        expected = next_index(expected);
        if (entry.index != expected || entry.ballot > request.header.ballot) {
            return fail(request.header, "malformed_message");
        }
        if (!checksum_holds(metadata_.shard, entry)) {
            return fail(request.header, "checksum_mismatch");
        }
        // An empty prefix would mean everything; leaders never send one.
        if (std::find(entry.dropped_prefixes.begin(), entry.dropped_prefixes.end(), "") !=
            entry.dropped_prefixes.end()) {
            return fail(request.header, "malformed_message");
        }
    }
    return std::nullopt;
}

std::optional<replica_step> replica_core::check_previous(
    const wire::journal_append_request& request) const {
    const auto previous = request.previous_index;
    base::log_index hint;
    if (previous > metadata_.last_index) {
        hint = metadata_.last_index;
    } else if (previous < metadata_.snapshot_index || faults_.skip_previous_check ||
               ballot_at(previous) == request.previous_ballot) {
        return std::nullopt;
    } else {
        // The whole run of this ballot is in doubt, but never what is committed.
        const auto run =
            std::find_if(runs_.rbegin(), runs_.rend(),
                         [&](const ballot_run& candidate) { return candidate.first <= previous; });
        hint = run == runs_.rend() ? metadata_.snapshot_index : previous_index(run->first);
        hint = std::max(hint, metadata_.commit_index);
    }
    replica_step step{.reply = make_reply(request.header)};
    step.reply.outcome = journal_outcome::mismatch;
    step.reply.hint = hint;
    return step;
}

replica_step replica_core::apply_body(const wire::journal_append_request& request) {
    if (auto refusal = check_ballot(request.header)) {
        return *std::move(refusal);
    }
    if (auto refusal = check_entries(request)) {
        return *std::move(refusal);
    }
    replica_step step;
    accept_leader(request.header);
    if (auto mismatch = check_previous(request)) {
        return *std::move(mismatch);
    }
    if (!store_entries(request.entries, step.operations)) {
        return fail(request.header, "journal_corrupt");
    }
    const base::log_index matched(request.previous_index.value() + request.entries.size());
    advance_commit(std::min(request.commit_index, matched), step.operations);
    step.reply = make_reply(request.header);
    step.reply.matched_index = matched;
    return step;
}

replica_step replica_core::apply_body(const wire::journal_read_request& request) {
    if (auto refusal = check_ballot(request.header)) {
        return *std::move(refusal);
    }
    return {.reply = make_reply(request.header), .reads = true};
}

replica_step replica_core::apply_body(const wire::journal_read_retained_request& request) {
    if (auto refusal = check_ballot(request.header)) {
        return *std::move(refusal);
    }
    if (metadata_.commit_index < request.required_index) {
        return fail(request.header, "replica_lagging");
    }
    return {.reply = make_reply(request.header), .reads = true};
}

void replica_core::accept_leader(const wire::journal_header& header) {
    if (header.ballot > metadata_.promised) {
        metadata_.promised = header.ballot;
        metadata_.promised_campaign = 0;
        metadata_unsaved_ = true;
    }
    if (header.epoch > metadata_.epoch) {
        metadata_.epoch = header.epoch;
        metadata_unsaved_ = true;
    }
}

bool replica_core::store_entries(const std::vector<wire::journal_entry>& entries,
                                 std::vector<store_operation>& operations) {
    for (const auto& entry : entries) {
        if (entry.index <= metadata_.snapshot_index) {
            continue;
        }
        const auto present = ballot_at(entry.index);
        if (present == entry.ballot) {
            continue;
        }
        if (present) {
            if (entry.index <= metadata_.commit_index) {
                return false;
            }
            truncate_from(entry.index, operations);
        }
        note_entry(entry);
        metadata_.last_index = entry.index;
        operations.emplace_back(put_entry{metadata_.shard, entry});
    }
    return true;
}

void replica_core::note_entry(const wire::journal_entry& entry) {
    if (runs_.empty() || runs_.back().ballot != entry.ballot) {
        runs_.push_back({entry.index, entry.ballot});
    }
    if (!entry.retention_key.empty()) {
        keyed_[entry.index] = entry.retention_key;
    }
    if (!entry.dropped_prefixes.empty()) {
        pending_drops_[entry.index] = entry.dropped_prefixes;
    }
}

void replica_core::truncate_from(base::log_index from, std::vector<store_operation>& operations) {
    if (from > metadata_.last_index) {
        return;
    }
    operations.emplace_back(erase_entries{metadata_.shard, from, metadata_.last_index});
    while (!runs_.empty() && runs_.back().first >= from) {
        runs_.pop_back();
    }
    keyed_.erase(keyed_.lower_bound(from), keyed_.end());
    pending_drops_.erase(pending_drops_.lower_bound(from), pending_drops_.end());
    metadata_.last_index = previous_index(from);
}

void replica_core::advance_commit(base::log_index to, std::vector<store_operation>& operations) {
    metadata_.commit_index = std::max(metadata_.commit_index, to);
    while (!pending_drops_.empty() && pending_drops_.begin()->first <= to) {
        const auto [index, prefixes] = *pending_drops_.begin();
        pending_drops_.erase(pending_drops_.begin());
        for (const auto& prefix : prefixes) {
            std::erase_if(keyed_, [&, at = index](const auto& keyed) {
                return keyed.first < at && keyed.second.starts_with(prefix);
            });
            operations.emplace_back(
                drop_retained{metadata_.shard, metadata_.retained_copy, prefix});
        }
    }
}

void replica_core::forget_runs_through(base::log_index index) {
    const auto after = next_index(index);
    auto kept = std::find_if(runs_.begin(), runs_.end(),
                             [&](const ballot_run& run) { return run.first > after; });
    if (kept != runs_.begin()) {
        --kept;  // The run that holds `after`, if the log goes so far.
        runs_.erase(runs_.begin(), kept);
        runs_.front().first = std::max(runs_.front().first, after);
    }
    if (metadata_.last_index <= index) {
        runs_.clear();
    }
}

std::optional<base::ballot> replica_core::ballot_at(base::log_index index) const {
    if (index == metadata_.snapshot_index) {
        return metadata_.snapshot_ballot;
    }
    if (index < metadata_.snapshot_index || index > metadata_.last_index) {
        return std::nullopt;
    }
    const auto after =
        std::upper_bound(runs_.begin(), runs_.end(), index,
                         [](base::log_index at, const ballot_run& run) { return at < run.first; });
    return after == runs_.begin() ? std::nullopt : std::optional(std::prev(after)->ballot);
}

std::vector<replica_core::keyed_position> replica_core::live_keyed(
    std::string_view key_prefix, const retained_cursor& cursor) const {
    const keyed_position after{cursor.after_key, cursor.after_index};
    std::vector<keyed_position> found;
    for (const auto& [index, key] : keyed_) {
        keyed_position position{key, index};
        if (index <= metadata_.commit_index && key.starts_with(key_prefix) && position > after) {
            found.push_back(std::move(position));
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

put_metadata replica_core::stored_metadata() const {
    put_metadata stored{metadata_};
    if (faults_.forget_promise) {
        stored.metadata.promised = {};
        stored.metadata.promised_campaign = 0;
    }
    return stored;
}

}  // namespace pearbarrow::journal
