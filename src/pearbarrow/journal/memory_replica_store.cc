#include "pearbarrow/journal/memory_replica_store.h"

#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/journal/entry.h"

namespace pearbarrow::journal {

namespace {

absl::Status corrupt() {
    return base::make_error(absl::StatusCode::kDataLoss, "an entry's checksum doesn't hold",
                            {.step = "journal_read", .reason = "journal_corrupt"});
}

}  // namespace

absl::StatusOr<std::vector<loaded_shard>> memory_replica_store::load() const {
    std::vector<loaded_shard> loaded;
    for (const auto& [shard, data] : shards_) {
        if (data.metadata) {
            loaded.push_back({shard, *data.metadata});
        }
    }
    return loaded;
}

absl::StatusOr<entry_page> memory_replica_store::read_entries(base::shard_id shard,
                                                              base::log_index from,
                                                              base::log_index through,
                                                              std::size_t max_bytes) const {
    entry_page page;
    const auto data = shards_.find(shard);
    if (data == shards_.end()) {
        return page;
    }
    const auto& entries = data->second.entries;
    std::size_t bytes = 0;
    for (auto at = entries.lower_bound(from); at != entries.end() && at->first <= through; ++at) {
        bytes += entry_bytes(at->second);
        if (!page.entries.empty() && bytes > max_bytes) {
            page.more = true;
            break;
        }
        if (!checksum_holds(shard, at->second)) {
            return corrupt();
        }
        page.entries.push_back(at->second);
    }
    return page;
}

absl::StatusOr<std::optional<std::string>> memory_replica_store::read_snapshot(
    base::shard_id shard) const {
    const auto data = shards_.find(shard);
    return data == shards_.end() ? std::nullopt : data->second.snapshot;
}

absl::StatusOr<entry_page> memory_replica_store::read_retained(base::shard_id shard,
                                                               std::uint64_t copy,
                                                               std::string_view key_prefix,
                                                               const retained_cursor& cursor,
                                                               std::size_t max_bytes) const {
    entry_page page;
    const auto data = shards_.find(shard);
    if (data == shards_.end() || !data->second.retained.contains(copy)) {
        return page;
    }
    std::size_t bytes = 0;
    for (const auto& [key, entry] : data->second.retained.at(copy)) {
        if (key <= retained_key(cursor.after_key, cursor.after_index) ||
            !key.first.starts_with(key_prefix)) {
            continue;
        }
        bytes += entry_bytes(entry);
        if (!page.entries.empty() && bytes > max_bytes) {
            page.more = true;
            break;
        }
        if (!checksum_holds(shard, entry)) {
            return corrupt();
        }
        page.entries.push_back(entry);
    }
    return page;
}

void memory_replica_store::write(std::vector<store_operation> operations,
                                 std::function<void(absl::Status)> done) {
    pending_ = {std::move(operations), std::move(done)};
    if (automatic_) {
        finish_write();
    }
}

void memory_replica_store::finish_write() {
    auto write = std::exchange(pending_, std::nullopt);
    if (!write) {
        return;
    }
    auto status = std::exchange(next_failure_, absl::OkStatus());
    if (status.ok()) {
        for (const auto& operation : write->operations) {
            std::visit([this](const auto& body) { carry_out(body); }, operation);
        }
    }
    write->done(std::move(status));
}

bool memory_replica_store::corrupt_entry(base::shard_id shard, base::log_index index) {
    auto& entries = shards_[shard].entries;
    const auto found = entries.find(index);
    if (found == entries.end() || found->second.payload.empty()) {
        return false;
    }
    found->second.payload[0] = static_cast<char>(found->second.payload[0] ^ 1);
    return true;
}

void memory_replica_store::carry_out(const put_metadata& operation) {
    shards_[operation.metadata.shard].metadata = operation.metadata;
}

void memory_replica_store::carry_out(const put_entry& operation) {
    shards_[operation.shard].entries[operation.entry.index] = operation.entry;
}

void memory_replica_store::carry_out(const erase_entries& operation) {
    auto& entries = shards_[operation.shard].entries;
    if (operation.from <= operation.through) {
        entries.erase(entries.lower_bound(operation.from), entries.upper_bound(operation.through));
    }
}

void memory_replica_store::carry_out(const put_snapshot& operation) {
    shards_[operation.shard].snapshot = operation.payload;
}

void memory_replica_store::carry_out(const retain_entries& operation) {
    auto& data = shards_[operation.shard];
    for (const auto index : operation.indexes) {
        const auto& entry = data.entries.at(index);
        data.retained[operation.copy][{entry.retention_key, index}] = entry;
    }
}

void memory_replica_store::carry_out(const put_retained& operation) {
    const auto& entry = operation.entry;
    shards_[operation.shard].retained[operation.copy][{entry.retention_key, entry.index}] = entry;
}

void memory_replica_store::carry_out(const drop_retained& operation) {
    std::erase_if(shards_[operation.shard].retained[operation.copy], [&](const auto& item) {
        return item.first.first.starts_with(operation.key_prefix);
    });
}

void memory_replica_store::carry_out(const erase_shard& operation) {
    auto& data = shards_[operation.shard];
    data.entries.clear();
    data.snapshot.reset();
    data.retained.clear();
}

}  // namespace pearbarrow::journal
