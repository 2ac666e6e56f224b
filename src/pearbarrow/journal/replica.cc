#include "pearbarrow/journal/replica.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/journal/entry.h"

namespace pearbarrow::journal {

using wire::journal_outcome;
using wire::journal_reply;
using wire::journal_request;

class replica::state : public std::enable_shared_from_this<state> {
  public:
    state(base::node_id self, replica_store& store, replica_options options)
        : self_(std::move(self)), store_(store), options_(options) {}

    absl::Status open();
    void handle(const journal_request& request, reply_callback reply);
    void flush();
    wire::journal_member member(base::shard_id shard) const;
    std::vector<base::shard_id> shards() const;
    std::vector<base::shard_id> corrupt_shards() const;
    void reset_shard(base::shard_id shard, std::function<void(absl::Status)> done);

  private:
    struct queued_request {
        journal_request request;
        reply_callback callback;
    };
    struct queued_reset {
        base::shard_id shard;
        std::function<void(absl::Status)> done;
    };
    /// Runs once the write under way has ended, with its status.
    using completion = std::function<void(const absl::Status&)>;
    struct corrupt_shard {
        absl::Status fault;
        std::optional<shard_metadata> metadata;
    };

    absl::Status restore(const shard_metadata& metadata);
    replica_core& core_of(base::shard_id shard);
    bool refuse_unusable(const queued_request& queued) const;
    void answer_reads();
    void apply_writes();
    void apply(queued_request queued);
    void apply(queued_reset queued);
    void start_write();
    void on_written(absl::Status status);
    void mark_corrupt(base::shard_id shard, absl::Status fault);

    void complete_read(const journal_request& request, journal_reply& reply);
    absl::Status read_state(const wire::journal_read_request& request, journal_reply& reply);
    absl::Status read_log(const wire::journal_read_request& request, journal_reply& reply);
    absl::Status read_snapshot(const wire::journal_read_request& request, journal_reply& reply);
    absl::Status read_history(const wire::journal_read_retained_request& request,
                              journal_reply& reply);
    std::size_t page_bytes(std::uint64_t wanted) const {
        return std::min<std::size_t>(wanted, options_.max_reply_bytes);
    }

    base::node_id self_;
    replica_store& store_;
    replica_options options_;
    std::map<base::shard_id, replica_core> cores_;
    std::map<base::shard_id, corrupt_shard> corrupt_;
    std::vector<queued_request> queued_;
    std::vector<queued_reset> queued_resets_;
    /// The next write, while requests are applied.
    std::vector<store_operation> operations_;
    std::vector<completion> completions_;
    bool writing_ = false;
    absl::Status storage_failure_;
};

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

void replica::state::complete_read(const journal_request& request, journal_reply& reply) {
    const auto shard = wire::header_of(request).shard;
    const auto* read = std::get_if<wire::journal_read_request>(&request);
    auto status = read != nullptr
                      ? read_state(*read, reply)
                      : read_history(std::get<wire::journal_read_retained_request>(request), reply);
    if (!status.ok()) {
        reply.outcome = journal_outcome::failed;
        reply.reason = base::details_of(status).reason;
        reply.entries.clear();
        if (reply.reason == "journal_corrupt") {
            mark_corrupt(shard, std::move(status));
        }
    }
}

absl::Status replica::state::read_state(const wire::journal_read_request& request,
                                        journal_reply& reply) {
    const auto shard = request.header.shard;
    switch (request.part) {
        case wire::journal_read_part::entries:
            return read_log(request, reply);
        case wire::journal_read_part::snapshot:
            return read_snapshot(request, reply);
        case wire::journal_read_part::retained:
            break;
    }
    auto page = store_.read_retained(shard, cores_.at(shard).metadata().retained_copy, "",
                                     {request.after_key, request.after_index},
                                     page_bytes(request.max_bytes));
    if (page.ok()) {
        reply.entries = std::move(page->entries);
        reply.more = page->more;
    }
    return page.status();
}

absl::Status replica::state::read_log(const wire::journal_read_request& request,
                                      journal_reply& reply) {
    const auto shard = request.header.shard;
    const auto& core = cores_.at(shard);
    const auto before = core.ballot_at(previous_index(request.from));
    auto page = store_.read_entries(shard, request.from, core.metadata().last_index,
                                    page_bytes(request.max_bytes));
    if (!page.ok()) {
        return page.status();
    }
    const bool gap = request.from <= core.metadata().last_index &&
                     (page->entries.empty() || page->entries.front().index != request.from);
    if (!before || gap) {
        return base::make_error(absl::StatusCode::kOutOfRange, "not in the log",
                                {.step = "journal_read", .reason = "entries_unavailable"});
    }
    reply.previous_ballot = *before;
    reply.entries = std::move(page->entries);
    reply.more = page->more;
    return absl::OkStatus();
}

absl::Status replica::state::read_snapshot(const wire::journal_read_request& request,
                                           journal_reply& reply) {
    const auto found = store_.read_snapshot(request.header.shard);
    if (!found.ok()) {
        return found.status();
    }
    const auto& snapshot = found->has_value() ? **found : std::string();
    const auto offset = std::min<std::size_t>(request.offset, snapshot.size());
    reply.chunk = snapshot.substr(offset, std::max<std::size_t>(1, page_bytes(request.max_bytes)));
    reply.more = offset + reply.chunk.size() < snapshot.size();
    return absl::OkStatus();
}

absl::Status replica::state::read_history(const wire::journal_read_retained_request& request,
                                          journal_reply& reply) {
    const auto shard = request.header.shard;
    const auto& core = cores_.at(shard);
    const retained_cursor cursor{request.after_key, request.after_index};
    const auto limit = page_bytes(request.max_bytes);
    auto page = store_.read_retained(shard, core.metadata().retained_copy, request.key_prefix,
                                     cursor, limit);
    if (!page.ok()) {
        return page.status();
    }
    // Merge with what is still in the log; keys from the page's last on come with a later page.
    std::map<replica_core::keyed_position, std::optional<wire::journal_entry>> merged;
    for (const auto& position : core.live_keyed(request.key_prefix, cursor)) {
        if (!page->more || position.key < page->entries.back().retention_key) {
            merged.emplace(position, std::nullopt);
        }
    }
    for (auto& entry : page->entries) {
        replica_core::keyed_position position{entry.retention_key, entry.index};
        merged.emplace(std::move(position), std::move(entry));
    }
    std::size_t bytes = 0;
    reply.more = page->more;
    for (auto& [position, entry] : merged) {
        if (bytes > limit) {
            reply.more = true;
            break;
        }
        if (!entry) {
            auto live = store_.read_entries(shard, position.index, position.index, 0);
            if (!live.ok()) {
                return live.status();
            }
            entry = std::move(live->entries.at(0));
        }
        bytes += entry_bytes(*entry);
        reply.entries.push_back(*std::move(entry));
    }
    return absl::OkStatus();
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
