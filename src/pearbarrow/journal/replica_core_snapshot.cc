/// Snapshots of the owner and copies from other replicas.
#include <utility>

#include "pearbarrow/journal/entry.h"
#include "pearbarrow/journal/replica_core.h"

namespace pearbarrow::journal {

namespace {

/// Largest snapshot that a replica collects in memory.
constexpr std::size_t max_snapshot_bytes = 256 << 20;

}  // namespace

replica_step replica_core::apply_body(const wire::journal_snapshot_request& request) {
    if (auto refusal = check_ballot(request.header)) {
        return *std::move(refusal);
    }
    replica_step step;
    accept_leader(request.header);
    if (request.index > metadata_.snapshot_index) {
        if (ballot_at(request.index) != request.index_ballot) {
            return fail(request.header, "entries_unavailable");
        }
        auto& staging = snapshot_staging_;
        const bool begun =
            staging && staging->ballot == request.header.ballot && staging->index == request.index;
        if (begun && !request.chunk.empty() &&
            request.offset + request.chunk.size() == staging->payload.size()) {
            return {.reply = make_reply(request.header)};  // A repeated chunk.
        }
        if (request.offset == 0) {
            staging = {.ballot = request.header.ballot, .index = request.index};
        } else if (!begun || request.offset != staging->payload.size() ||
                   request.offset + request.chunk.size() > max_snapshot_bytes) {
            return fail(request.header, "install_out_of_order");
        }
        staging->payload += request.chunk;
        if (request.last) {
            adopt_snapshot(request, step.operations);
        }
    }
    step.reply = make_reply(request.header);
    return step;
}

void replica_core::adopt_snapshot(const wire::journal_snapshot_request& request,
                                  std::vector<store_operation>& operations) {
    advance_commit(request.index, operations);
    retain_entries retained{.shard = metadata_.shard, .copy = metadata_.retained_copy};
    const auto end = keyed_.upper_bound(request.index);
    for (auto position = keyed_.begin(); position != end; ++position) {
        retained.indexes.push_back(position->first);
    }
    keyed_.erase(keyed_.begin(), end);
    if (!retained.indexes.empty()) {
        operations.emplace_back(std::move(retained));
    }
    operations.emplace_back(put_snapshot{metadata_.shard, std::move(snapshot_staging_->payload)});
    operations.emplace_back(
        erase_entries{metadata_.shard, next_index(metadata_.snapshot_index), request.index});
    snapshot_staging_.reset();
    forget_runs_through(request.index);
    metadata_.snapshot_index = request.index;
    metadata_.snapshot_ballot = request.index_ballot;
}

replica_step replica_core::apply_body(const wire::journal_install_request& request) {
    if (auto refusal = check_ballot(request.header)) {
        return *std::move(refusal);
    }
    replica_step step;
    accept_leader(request.header);
    if (request.index <= metadata_.commit_index) {
        // Nothing to copy: the log reaches as far.
        install_staging_.reset();
        step.reply = make_reply(request.header);
        step.reply.matched_index = metadata_.commit_index;
        return step;
    }
    const std::uint64_t copy = metadata_.retained_copy + 1;
    const bool repeated_first = install_staging_ &&
                                install_staging_->transfer == request.transfer &&
                                install_staging_->ballot == request.header.ballot;
    if (request.step == 0 && !repeated_first) {
        install_staging_ = {.ballot = request.header.ballot, .transfer = request.transfer};
        step.operations.emplace_back(drop_retained{metadata_.shard, copy, ""});
    }
    auto& staging = install_staging_;
    if (staging && staging->transfer == request.transfer &&
        staging->ballot == request.header.ballot && staging->next_step == request.step + 1) {
        step.reply = make_reply(request.header);  // A repeated step.
        step.reply.matched_index = metadata_.commit_index;
        return step;
    }
    if (!staging || staging->ballot != request.header.ballot ||
        staging->transfer != request.transfer || staging->next_step != request.step ||
        staging->payload.size() + request.chunk.size() > max_snapshot_bytes) {
        return fail(request.header, "install_out_of_order");
    }
    ++staging->next_step;
    staging->payload += request.chunk;
    for (const auto& entry : request.retained) {
        if (!checksum_holds(metadata_.shard, entry)) {
            install_staging_.reset();
            return fail(request.header, "checksum_mismatch");
        }
        step.operations.emplace_back(put_retained{metadata_.shard, copy, entry});
    }
    if (request.last) {
        adopt_install(request, step.operations);
    }
    step.reply = make_reply(request.header);
    step.reply.matched_index = metadata_.commit_index;
    return step;
}

void replica_core::adopt_install(const wire::journal_install_request& request,
                                 std::vector<store_operation>& operations) {
    const bool keeps_suffix = ballot_at(request.index) == request.index_ballot;
    if (!keeps_suffix) {
        truncate_from(next_index(metadata_.snapshot_index), operations);
        metadata_.last_index = request.index;
    } else {
        operations.emplace_back(
            erase_entries{metadata_.shard, next_index(metadata_.snapshot_index), request.index});
    }
    keyed_.erase(keyed_.begin(), keyed_.upper_bound(request.index));
    pending_drops_.erase(pending_drops_.begin(), pending_drops_.upper_bound(request.index));
    forget_runs_through(request.index);
    operations.emplace_back(put_snapshot{metadata_.shard, std::move(install_staging_->payload)});
    operations.emplace_back(drop_retained{metadata_.shard, metadata_.retained_copy, ""});
    install_staging_.reset();
    snapshot_staging_.reset();
    metadata_.snapshot_index = request.index;
    metadata_.snapshot_ballot = request.index_ballot;
    metadata_.commit_index = request.index;
    ++metadata_.retained_copy;
}

}  // namespace pearbarrow::journal
