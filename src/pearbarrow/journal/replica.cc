#include "pearbarrow/journal/replica.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/journal/entry.h"
#include "pearbarrow/journal/replica_state.h"

namespace pearbarrow::journal {

using wire::journal_outcome;
using wire::journal_reply;
using wire::journal_request;

absl::Status replica::state::open() {
    auto loaded = store_.load();
    if (!loaded.ok()) {
        return loaded.status();
    }
    for (const auto& shard : *loaded) {
        if (!shard.metadata.ok()) {
            mark_corrupt(shard.shard, shard.metadata.status());
            continue;
        }
        if (auto status = restore(*shard.metadata); !status.ok()) {
            mark_corrupt(shard.shard, status);
            corrupt_.at(shard.shard).metadata = *shard.metadata;
        }
    }
    return absl::OkStatus();
}

absl::Status replica::state::restore(const shard_metadata& metadata) {
    const auto shard = metadata.shard;
    replica_core core({self_, store_.identity(), metadata.generation}, metadata,
                      options_.faults.core);
    const auto snapshot = store_.read_snapshot(shard);
    if (!snapshot.ok()) {
        return snapshot.status();
    }
    if (metadata.snapshot_index.value() != 0 && !snapshot->has_value()) {
        return base::make_error(absl::StatusCode::kDataLoss, "the snapshot is missing",
                                {.step = "journal_open", .reason = "journal_corrupt"});
    }
    auto from = next_index(metadata.snapshot_index);
    while (from <= metadata.last_index) {
        auto page = store_.read_entries(shard, from, metadata.last_index, options_.max_reply_bytes);
        if (!page.ok()) {
            return page.status();
        }
        if (page->entries.empty()) {
            break;
        }
        if (auto status = core.restore(page->entries); !status.ok()) {
            return status;
        }
        from = next_index(page->entries.back().index);
    }
    auto status = core.finish_restore();
    if (status.ok()) {
        cores_.emplace(shard, std::move(core));
    }
    return status;
}

void replica::state::mark_corrupt(base::shard_id shard, absl::Status fault) {
    auto fields = base::log_fields(fault);
    fields["shard"] = shard.value();
    base::log(base::log_level::error, "journal_shard_corrupt", std::move(fields));
    corrupt_shard damaged{.fault = std::move(fault)};
    if (const auto core = cores_.find(shard); core != cores_.end()) {
        damaged.metadata = core->second.metadata();
        cores_.erase(core);
    }
    corrupt_.insert_or_assign(shard, std::move(damaged));
}

replica_core& replica::state::core_of(base::shard_id shard) {
    const auto found = cores_.find(shard);
    if (found != cores_.end()) {
        return found->second;
    }
    shard_metadata metadata;
    metadata.shard = shard;
    return cores_
        .emplace(shard, replica_core({self_, store_.identity(), 0}, metadata, options_.faults.core))
        .first->second;
}

bool replica::state::refuse_unusable(const queued_request& queued) const {
    const auto& header = wire::header_of(queued.request);
    const auto damaged = corrupt_.find(header.shard);
    if (storage_failure_.ok() && damaged == corrupt_.end()) {
        return false;
    }
    journal_reply refusal;
    refusal.shard = header.shard;
    refusal.request_id = header.request_id;
    refusal.outcome = journal_outcome::failed;
    refusal.reason = storage_failure_.ok() ? "journal_corrupt" : "journal_storage_failed";
    refusal.member = member(header.shard);
    queued.callback(refusal);
    return true;
}

void replica::state::handle(const journal_request& request, reply_callback reply) {
    queued_request queued{request, std::move(reply)};
    if (!refuse_unusable(queued)) {
        queued_.push_back(std::move(queued));
    }
}

void replica::state::flush() {
    if (writing_) {
        return;
    }
    answer_reads();
    apply_writes();
    start_write();
}

/// Runs while no write is under way and before the next one is made up: what the cores have in
/// memory is exactly what the store holds.
void replica::state::answer_reads() {
    std::vector<queued_request> others;
    for (auto& queued : std::exchange(queued_, {})) {
        const bool is_read =
            std::holds_alternative<wire::journal_read_request>(queued.request) ||
            std::holds_alternative<wire::journal_read_retained_request>(queued.request);
        if (!is_read) {
            others.push_back(std::move(queued));
        } else if (!refuse_unusable(queued)) {
            auto step = core_of(wire::header_of(queued.request).shard).apply(queued.request);
            if (step.reads) {
                complete_read(queued.request, step.reply);
            }
            queued.callback(step.reply);
        }
    }
    // Callbacks may have queued more.
    std::move(queued_.begin(), queued_.end(), std::back_inserter(others));
    queued_ = std::move(others);
}

void replica::state::apply_writes() {
    for (auto& reset : std::exchange(queued_resets_, {})) {
        apply(std::move(reset));
    }
    std::vector<queued_request> late_reads;
    for (auto& queued : std::exchange(queued_, {})) {
        if (std::holds_alternative<wire::journal_read_request>(queued.request) ||
            std::holds_alternative<wire::journal_read_retained_request>(queued.request)) {
            late_reads.push_back(std::move(queued));
        } else if (!refuse_unusable(queued)) {
            apply(std::move(queued));
        }
    }
    std::move(queued_.begin(), queued_.end(), std::back_inserter(late_reads));
    queued_ = std::move(late_reads);
}

void replica::state::apply(queued_request queued) {
    auto step = core_of(wire::header_of(queued.request).shard).apply(queued.request);
    std::move(step.operations.begin(), step.operations.end(), std::back_inserter(operations_));
    if (options_.faults.reply_before_sync) {
        queued.callback(step.reply);
        return;
    }
    completions_.emplace_back(
        [reply = std::move(step.reply),
         callback = std::move(queued.callback)](const absl::Status& status) mutable {
            if (!status.ok()) {
                reply.outcome = journal_outcome::failed;
                reply.reason = "journal_storage_failed";
            }
            callback(reply);
        });
}

void replica::state::apply(queued_reset queued) {
    const auto damaged = corrupt_.find(queued.shard);
    if (damaged == corrupt_.end() || !damaged->second.metadata) {
        queued.done(base::make_error(absl::StatusCode::kFailedPrecondition,
                                     "only a corrupt shard with readable metadata can be reset; "
                                     "else replace the whole store",
                                     {.step = "journal_reset", .reason = "journal_corrupt"}));
        return;
    }
    shard_metadata fresh;
    fresh.shard = queued.shard;
    fresh.generation = damaged->second.metadata->generation + 1;
    corrupt_.erase(damaged);
    cores_.emplace(queued.shard, replica_core({self_, store_.identity(), fresh.generation}, fresh,
                                              options_.faults.core));
    operations_.emplace_back(erase_shard{queued.shard});
    operations_.emplace_back(put_metadata{fresh});
    completions_.emplace_back(
        [done = std::move(queued.done)](const absl::Status& status) { done(status); });
}

void replica::state::start_write() {
    if (operations_.empty()) {
        for (auto& complete : std::exchange(completions_, {})) {
            complete(absl::OkStatus());
        }
        return;
    }
    writing_ = true;
    store_.write(std::exchange(operations_, {}), [weak = weak_from_this()](absl::Status status) {
        if (auto self = weak.lock()) {
            self->on_written(std::move(status));
        }
    });
}

void replica::state::on_written(absl::Status status) {
    writing_ = false;
    if (!status.ok()) {
        // What is in memory is ahead of the disk: nothing here can be relied on any more.
        base::log(base::log_level::error, "journal_write_failed", base::log_fields(status));
        storage_failure_ = status;
    }
    for (auto& complete : std::exchange(completions_, {})) {
        complete(status);
    }
    if (!queued_.empty() || !queued_resets_.empty()) {
        flush();
    }
}

wire::journal_member replica::state::member(base::shard_id shard) const {
    if (const auto core = cores_.find(shard); core != cores_.end()) {
        return core->second.member();
    }
    const auto damaged = corrupt_.find(shard);
    const bool known = damaged != corrupt_.end() && damaged->second.metadata;
    return {self_, store_.identity(), known ? damaged->second.metadata->generation : 0};
}

std::vector<base::shard_id> replica::state::shards() const {
    std::vector<base::shard_id> found;
    for (const auto& [shard, core] : cores_) {
        if (core.metadata() != shard_metadata{.shard = shard}) {
            found.push_back(shard);
        }
    }
    return found;
}

std::vector<base::shard_id> replica::state::corrupt_shards() const {
    std::vector<base::shard_id> found;
    for (const auto& [shard, damaged] : corrupt_) {
        found.push_back(shard);
    }
    return found;
}

void replica::state::reset_shard(base::shard_id shard, std::function<void(absl::Status)> done) {
    queued_resets_.push_back({shard, std::move(done)});
    flush();
}

replica::replica(base::node_id self, replica_store& store, replica_options options)
    : state_(std::make_shared<state>(std::move(self), store, options)) {}
replica::~replica() = default;
absl::Status replica::open() {
    return state_->open();
}
void replica::handle(const journal_request& request, reply_callback reply) {
    state_->handle(request, std::move(reply));
}
void replica::flush() {
    state_->flush();
}
wire::journal_member replica::member(base::shard_id shard) const {
    return state_->member(shard);
}
std::vector<base::shard_id> replica::shards() const {
    return state_->shards();
}
std::vector<base::shard_id> replica::corrupt_shards() const {
    return state_->corrupt_shards();
}
void replica::reset_shard(base::shard_id shard, std::function<void(absl::Status)> done) {
    state_->reset_shard(shard, std::move(done));
}

}  // namespace pearbarrow::journal
