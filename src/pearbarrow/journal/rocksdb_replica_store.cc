#include <algorithm>
#include <condition_variable>
#include <filesystem>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include <rocksdb/cache.h>
#include <rocksdb/db.h>
#include <rocksdb/filter_policy.h>
#include <rocksdb/table.h>
#include <rocksdb/write_batch.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/journal/entry.h"
#include "pearbarrow/journal/replica_store.h"
#include "pearbarrow/journal/rocksdb_format.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::journal {

using namespace rocksdb_format;

namespace {

class rocksdb_replica_store final : public replica_store {
  public:
    rocksdb_replica_store(std::unique_ptr<rocksdb::DB> database, std::string identity,
                          loop_poster post)
        : database_(std::move(database)), identity_(std::move(identity)), post_(std::move(post)) {
        if (post_) {
            writer_ = std::thread([this] { run_writer(); });
        }
    }
    ~rocksdb_replica_store() override {
        if (writer_.joinable()) {
            {
                const std::lock_guard lock(mutex_);
                stopping_ = true;
            }
            wake_.notify_one();
            writer_.join();
        }
    }

    std::string identity() const override { return identity_; }
    absl::StatusOr<std::vector<loaded_shard>> load() const override;
    absl::StatusOr<entry_page> read_entries(base::shard_id shard, base::log_index from,
                                            base::log_index through,
                                            std::size_t max_bytes) const override;
    absl::StatusOr<std::optional<std::string>> read_snapshot(base::shard_id shard) const override;
    absl::StatusOr<entry_page> read_retained(base::shard_id shard, std::uint64_t copy,
                                             std::string_view key_prefix,
                                             const retained_cursor& cursor,
                                             std::size_t max_bytes) const override;
    void write(std::vector<store_operation> operations,
               std::function<void(absl::Status)> done) override;

  private:
    struct pending_write {
        std::vector<store_operation> operations;
        std::function<void(absl::Status)> done;
    };

    absl::StatusOr<entry_page> read_range(const std::string& from, const std::string& end,
                                          std::size_t max_bytes) const;
    absl::Status add_shards_without_metadata(std::vector<loaded_shard>& loaded) const;
    absl::Status write_now(const std::vector<store_operation>& operations);
    absl::Status write_batch(rocksdb::WriteBatch& batch, bool sync);
    void run_writer();

    absl::Status add(rocksdb::WriteBatch& batch, const put_metadata& operation);
    absl::Status add(rocksdb::WriteBatch& batch, const put_entry& operation);
    absl::Status add(rocksdb::WriteBatch& batch, const erase_entries& operation);
    absl::Status add(rocksdb::WriteBatch& batch, const put_snapshot& operation);
    absl::Status add(rocksdb::WriteBatch& batch, const retain_entries& operation);
    absl::Status add(rocksdb::WriteBatch& batch, const put_retained& operation);
    absl::Status add(rocksdb::WriteBatch& batch, const drop_retained& operation);
    absl::Status add(rocksdb::WriteBatch& batch, const erase_shard& operation);

    std::unique_ptr<rocksdb::DB> database_;
    std::string identity_;
    loop_poster post_;
    std::thread writer_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<pending_write> pending_;
    bool stopping_ = false;
};

absl::Status put_sealed(rocksdb::WriteBatch& batch, const std::string& key,
                        std::string_view bytes) {
    return to_status(batch.Put(key, seal(key, bytes)));
}

absl::StatusOr<std::vector<loaded_shard>> rocksdb_replica_store::load() const {
    std::vector<loaded_shard> loaded;
    const std::unique_ptr<rocksdb::Iterator> at(database_->NewIterator({}));
    for (at->Seek("m"); at->Valid() && at->key().starts_with("m"); at->Next()) {
        const auto key = view_of(at->key());
        const base::shard_id shard(static_cast<std::uint32_t>(get_number(key.substr(1))));
        loaded.push_back({shard, open_sealed<shard_metadata>(key, view_of(at->value()))});
    }
    if (!at->status().ok()) {
        return to_status(at->status());
    }
    if (auto status = add_shards_without_metadata(loaded); !status.ok()) {
        return status;
    }
    return loaded;
}

absl::Status rocksdb_replica_store::add_shards_without_metadata(
    std::vector<loaded_shard>& loaded) const {
    const std::unique_ptr<rocksdb::Iterator> at(database_->NewIterator({}));
    const std::size_t known = loaded.size();
    for (const char letter : {'e', 'r', 's'}) {
        for (at->Seek(std::string(1, letter)); at->Valid() && at->key()[0] == letter;) {
            const auto key = view_of(at->key());
            const base::shard_id shard(static_cast<std::uint32_t>(get_number(key.substr(1, 4))));
            const auto found =
                std::find_if(loaded.begin(), loaded.end(),
                             [&](const loaded_shard& one) { return one.shard == shard; });
            if (found == loaded.end()) {
                loaded.push_back({shard, corrupt("a shard's metadata is missing")});
            }
            at->Seek(after_prefix(shard_key(letter, shard)));
        }
    }
    std::stable_sort(loaded.begin() + static_cast<std::ptrdiff_t>(known), loaded.end(),
                     [](const auto& a, const auto& b) { return a.shard < b.shard; });
    return to_status(at->status());
}

absl::StatusOr<entry_page> rocksdb_replica_store::read_range(const std::string& from,
                                                             const std::string& end,
                                                             std::size_t max_bytes) const {
    rocksdb::ReadOptions options;
    const rocksdb::Slice bound(end);
    options.iterate_upper_bound = &bound;
    const std::unique_ptr<rocksdb::Iterator> at(database_->NewIterator(options));
    entry_page page;
    std::size_t bytes = 0;
    for (at->Seek(from); at->Valid(); at->Next()) {
        bytes += at->value().size();
        if (!page.entries.empty() && bytes > max_bytes) {
            page.more = true;
            break;
        }
        auto entry = open_sealed<wire::journal_entry>(view_of(at->key()), view_of(at->value()));
        if (!entry.ok()) {
            return entry.status();
        }
        page.entries.push_back(*std::move(entry));
    }
    if (!at->status().ok()) {
        return to_status(at->status());
    }
    return page;
}

absl::StatusOr<entry_page> rocksdb_replica_store::read_entries(base::shard_id shard,
                                                               base::log_index from,
                                                               base::log_index through,
                                                               std::size_t max_bytes) const {
    if (from > through) {
        return entry_page{};
    }
    return read_range(entry_key(shard, from), entry_key(shard, next_index(through)), max_bytes);
}

absl::StatusOr<std::optional<std::string>> rocksdb_replica_store::read_snapshot(
    base::shard_id shard) const {
    const auto key = shard_key('s', shard);
    std::string value;
    const auto status = database_->Get({}, key, &value);
    if (status.IsNotFound()) {
        return std::nullopt;
    }
    if (!status.ok()) {
        return to_status(status);
    }
    const auto bytes = unseal(key, value);
    if (!bytes.ok()) {
        return bytes.status();
    }
    return std::string(*bytes);
}

absl::StatusOr<entry_page> rocksdb_replica_store::read_retained(base::shard_id shard,
                                                                std::uint64_t copy,
                                                                std::string_view key_prefix,
                                                                const retained_cursor& cursor,
                                                                std::size_t max_bytes) const {
    const auto prefix = retained_prefix(shard, copy, key_prefix);
    auto from = prefix;
    if (!cursor.after_key.empty() || cursor.after_index.value() != 0) {
        from = std::max(
            from, retained_key(shard, copy, cursor.after_key, next_index(cursor.after_index)));
    }
    return read_range(from, after_prefix(prefix), max_bytes);
}

absl::Status rocksdb_replica_store::add(rocksdb::WriteBatch& batch, const put_metadata& operation) {
    return put_sealed(batch, shard_key('m', operation.metadata.shard),
                      wire::encode(operation.metadata));
}

absl::Status rocksdb_replica_store::add(rocksdb::WriteBatch& batch, const put_entry& operation) {
    return put_sealed(batch, entry_key(operation.shard, operation.entry.index),
                      wire::encode(operation.entry));
}

absl::Status rocksdb_replica_store::add(rocksdb::WriteBatch& batch,
                                        const erase_entries& operation) {
    if (operation.from > operation.through) {
        return absl::OkStatus();
    }
    return to_status(batch.DeleteRange(entry_key(operation.shard, operation.from),
                                       entry_key(operation.shard, next_index(operation.through))));
}

absl::Status rocksdb_replica_store::add(rocksdb::WriteBatch& batch, const put_snapshot& operation) {
    return put_sealed(batch, shard_key('s', operation.shard), operation.payload);
}

absl::Status rocksdb_replica_store::add(rocksdb::WriteBatch& batch,
                                        const retain_entries& operation) {
    for (const auto index : operation.indexes) {
        const auto page = read_entries(operation.shard, index, index, 0);
        if (!page.ok()) {
            return page.status();
        }
        if (page->entries.empty()) {
            return corrupt("an entry to retain is missing");
        }
        if (auto status =
                add(batch, put_retained{operation.shard, operation.copy, page->entries.front()});
            !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status rocksdb_replica_store::add(rocksdb::WriteBatch& batch, const put_retained& operation) {
    const auto& entry = operation.entry;
    return put_sealed(
        batch, retained_key(operation.shard, operation.copy, entry.retention_key, entry.index),
        wire::encode(entry));
}

absl::Status rocksdb_replica_store::add(rocksdb::WriteBatch& batch,
                                        const drop_retained& operation) {
    const auto prefix = retained_prefix(operation.shard, operation.copy, operation.key_prefix);
    return to_status(batch.DeleteRange(prefix, after_prefix(prefix)));
}

absl::Status rocksdb_replica_store::add(rocksdb::WriteBatch& batch, const erase_shard& operation) {
    for (const char letter : {'e', 'r', 's'}) {
        const auto prefix = shard_key(letter, operation.shard);
        if (auto status = to_status(batch.DeleteRange(prefix, after_prefix(prefix)));
            !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status rocksdb_replica_store::write_batch(rocksdb::WriteBatch& batch, bool sync) {
    rocksdb::WriteOptions options;
    options.sync = sync;
    auto status = to_status(database_->Write(options, &batch));
    batch.Clear();
    return status;
}

absl::Status rocksdb_replica_store::write_now(const std::vector<store_operation>& operations) {
    rocksdb::WriteBatch batch;
    for (const auto& operation : operations) {
        if (std::holds_alternative<retain_entries>(operation) && batch.Count() > 0) {
            // It reads what was put before it. The log keeps the order, so the sync at the end
            // covers this part too; a crash between leaves whole earlier requests.
            if (auto status = write_batch(batch, false); !status.ok()) {
                return status;
            }
        }
        auto status = std::visit([&](const auto& body) { return add(batch, body); }, operation);
        if (!status.ok()) {
            return status;
        }
    }
    return write_batch(batch, true);
}

void rocksdb_replica_store::write(std::vector<store_operation> operations,
                                  std::function<void(absl::Status)> done) {
    if (!post_) {
        done(write_now(operations));
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        pending_ = {std::move(operations), std::move(done)};
    }
    wake_.notify_one();
}

void rocksdb_replica_store::run_writer() {
    for (;;) {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return stopping_ || pending_.has_value(); });
        auto write = std::exchange(pending_, std::nullopt);
        if (!write) {
            return;
        }
        lock.unlock();
        auto status = write_now(write->operations);
        post_([status = std::move(status), done = std::move(write->done)] { done(status); });
    }
}

rocksdb::Options database_options(const rocksdb_store_options& options) {
    rocksdb::Options database;
    database.create_if_missing = true;
    database.paranoid_checks = true;
    // A torn record at the very end was never acknowledged; damage anywhere else refuses to open.
    database.wal_recovery_mode = rocksdb::WALRecoveryMode::kTolerateCorruptedTailRecords;
    database.write_buffer_size = options.write_buffer_bytes;
    database.max_open_files = 256;
    database.keep_log_file_num = 2;
    rocksdb::BlockBasedTableOptions table;
    table.block_cache = rocksdb::NewLRUCache(options.block_cache_bytes);
    table.cache_index_and_filter_blocks = true;
    database.table_factory.reset(rocksdb::NewBlockBasedTableFactory(table));
    return database;
}

absl::StatusOr<std::string> read_or_create_identity(rocksdb::DB& database,
                                                    const std::string& new_identity) {
    const std::string key = "i";
    std::string value;
    const auto status = database.Get({}, key, &value);
    if (status.ok()) {
        const auto bytes = unseal(key, value);
        return bytes.ok() ? absl::StatusOr<std::string>(*bytes) : bytes.status();
    }
    if (!status.IsNotFound()) {
        return to_status(status);
    }
    const std::unique_ptr<rocksdb::Iterator> any(database.NewIterator({}));
    any->SeekToFirst();
    if (any->Valid() || !any->status().ok()) {
        return corrupt("the store holds data but no identity");
    }
    rocksdb::WriteOptions synced;
    synced.sync = true;
    if (auto written = database.Put(synced, key, seal(key, new_identity)); !written.ok()) {
        return to_status(written);
    }
    return new_identity;
}

}  // namespace

absl::StatusOr<std::unique_ptr<replica_store>> open_rocksdb_replica_store(
    rocksdb_store_options options) {
    std::error_code error;
    std::filesystem::create_directories(options.folder, error);
    if (error) {
        return base::make_error(absl::StatusCode::kUnavailable,
                                options.folder + ": " + error.message(),
                                {.step = "journal_store", .reason = "journal_storage_failed"});
    }
    rocksdb::DB* raw = nullptr;
    const auto status = rocksdb::DB::Open(database_options(options), options.folder, &raw);
    std::unique_ptr<rocksdb::DB> database(raw);
    if (!status.ok()) {
        return to_status(status);
    }
    auto identity = read_or_create_identity(*database, options.new_identity);
    if (!identity.ok()) {
        return identity.status();
    }
    return std::make_unique<rocksdb_replica_store>(std::move(database), *std::move(identity),
                                                   std::move(options.post));
}

}  // namespace pearbarrow::journal
