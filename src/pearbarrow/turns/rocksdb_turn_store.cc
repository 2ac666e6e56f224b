#include <condition_variable>
#include <deque>
#include <filesystem>
#include <mutex>
#include <thread>
#include <utility>

#include <rocksdb/cache.h>
#include <rocksdb/db.h>
#include <rocksdb/table.h>
#include <rocksdb/write_batch.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/turns/turn_store.h"
#include "pearbarrow/turns/turn_store_layout.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {
namespace {

/// Delay between attempts to reopen the database.
constexpr base::milliseconds reopen_interval{200};

absl::Status to_status(const rocksdb::Status& status) {
    if (status.ok()) {
        return absl::OkStatus();
    }
    absl::StatusCode code = absl::StatusCode::kUnavailable;
    if (status.IsNotFound()) {
        code = absl::StatusCode::kNotFound;
    } else if (status.IsCorruption()) {
        code = absl::StatusCode::kDataLoss;
    }
    return base::make_error(code, status.ToString(),
                            {.step = "turn_store", .reason = "turn_storage_failed"});
}

std::string_view as_string_view(const rocksdb::Slice& slice) {
    return {slice.data(), slice.size()};
}

rocksdb::Options database_options(const turn_store_options& options) {
    rocksdb::Options database;
    database.create_if_missing = true;
    // After a power loss, each write after the last sync may be present, absent or torn
    // independently. Nothing after the first damaged write was confirmed, so recovery stops there.
    database.wal_recovery_mode = rocksdb::WALRecoveryMode::kPointInTimeRecovery;
    database.write_buffer_size = options.write_buffer_bytes;
    database.max_write_buffer_number = 2;
    database.max_open_files = 64;
    database.keep_log_file_num = 1;
    database.info_log_level = rocksdb::InfoLogLevel::ERROR_LEVEL;
    database.stats_dump_period_sec = 0;
    database.stats_persist_period_sec = 0;
    database.max_background_jobs = 1;
    // A database that failed to write its log must be closed without further writes.
    database.avoid_flush_during_shutdown = true;
    database.compression = rocksdb::kNoCompression;
    rocksdb::BlockBasedTableOptions table;
    table.block_cache = rocksdb::NewLRUCache(options.block_cache_bytes, 0);
    table.cache_index_and_filter_blocks = true;
    database.table_factory.reset(rocksdb::NewBlockBasedTableFactory(table));
    return database;
}

absl::StatusOr<std::unique_ptr<rocksdb::DB>> open_database(const turn_store_options& options) {
    rocksdb::DB* raw = nullptr;
    const auto status = rocksdb::DB::Open(database_options(options), options.folder, &raw);
    std::unique_ptr<rocksdb::DB> database(raw);
    if (!status.ok()) {
        return to_status(status);
    }
    return database;
}

absl::Status closed_status() {
    return base::make_error(absl::StatusCode::kUnavailable, "the store is closed after a failure",
                            {.step = "turn_store", .reason = "turn_storage_closed"});
}

class rocksdb_turn_store final : public turn_store {
  public:
    rocksdb_turn_store(std::shared_ptr<rocksdb::DB> database, turn_store_options options)
        : options_(std::move(options)), database_(std::move(database)) {
        writer_ = std::thread([this] { run_writer(); });
    }
    rocksdb_turn_store(const rocksdb_turn_store&) = delete;
    rocksdb_turn_store& operator=(const rocksdb_turn_store&) = delete;
    ~rocksdb_turn_store() override {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_one();
        writer_.join();
    }

    absl::StatusOr<store_contents> load() override;
    void write(store_change change, std::function<void(absl::Status)> done) override;
    absl::StatusOr<turn_record> read(const turn_id& turn) const override;
    std::string read_directory() const override;
    std::vector<directory_entry> read_directory_entries() const override;
    std::vector<suspect_entry> read_suspects() const override;

  private:
    struct pending_write {
        store_change change;
        std::function<void(absl::Status)> done;
    };

    /// Returns an empty optional if the key does not exist.
    template <typename Value>
    absl::StatusOr<std::optional<Value>> read_value(const char* key) const;
    absl::Status read_identity(store_contents& contents);
    absl::Status read_progress(store_contents& contents) const;
    absl::Status read_all(store_contents& contents) const;
    /// Calls `add` with each key of the half-open range, without its prefix, and its value.
    template <typename Add>
    void read_range(const char* begin, const char* end, const Add& add) const;
    /// Returns the open database; null while it is closed after a failed write.
    std::shared_ptr<rocksdb::DB> database() const;
    absl::Status write_batch(rocksdb::WriteBatch& batch);
    void close_database();
    absl::Status reopen_database();
    void run_writer();

    turn_store_options options_;
    std::shared_ptr<rocksdb::DB> database_;
    base::instant closed_at_{};
    std::thread writer_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<pending_write> pending_;
    bool stopping_ = false;
};

std::shared_ptr<rocksdb::DB> rocksdb_turn_store::database() const {
    const std::lock_guard lock(mutex_);
    return database_;
}

template <typename Value>
absl::StatusOr<std::optional<Value>> rocksdb_turn_store::read_value(const char* key) const {
    std::string text;
    const auto status = database_->Get({}, key, &text);
    if (status.IsNotFound()) {
        return std::optional<Value>();
    }
    if (!status.ok()) {
        return to_status(status);
    }
    auto value = wire::decode<Value>(text);
    if (!value.ok()) {
        return value.status();
    }
    return std::optional<Value>(*std::move(value));
}

absl::Status rocksdb_turn_store::read_identity(store_contents& contents) {
    std::string identity;
    std::string complete;
    auto status = database_->Get({}, identity_key, &identity);
    if (status.ok()) {
        status = database_->Get({}, complete_key, &complete);
        contents.disk = disk_id(identity);
        contents.complete = complete == "1";
        return to_status(status);
    }
    if (!status.IsNotFound()) {
        return to_status(status);
    }
    contents.disk = options_.new_disk;
    contents.complete = options_.new_disk_is_complete;
    rocksdb::WriteBatch batch;
    batch.Put(identity_key, contents.disk.value());
    batch.Put(complete_key, contents.complete ? "1" : "0");
    return write_batch(batch);
}

/// Each value may be absent: nothing has been listed or dropped, or no group has been entered yet.
absl::Status rocksdb_turn_store::read_progress(store_contents& contents) const {
    auto positions = read_value<std::vector<peer_position>>(positions_key);
    auto last_number = read_value<change_number>(last_number_key);
    auto group = read_value<std::uint32_t>(group_key);
    auto view = read_value<view_stamp>(view_key);
    auto replaces_lost_disk = read_value<bool>(lost_disk_key);
    for (const absl::Status& status : {positions.status(), last_number.status(), group.status(),
                                       view.status(), replaces_lost_disk.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    contents.positions = std::move(*positions).value_or(std::vector<peer_position>());
    contents.last_number = last_number->value_or(change_number());
    contents.group = *group;
    contents.view = view->value_or(view_stamp());
    contents.replaces_lost_disk = *replaces_lost_disk;
    return absl::OkStatus();
}

absl::Status rocksdb_turn_store::read_all(store_contents& contents) const {
    const std::unique_ptr<rocksdb::Iterator> at(database_->NewIterator({}));
    for (at->Seek("r"); at->Valid(); at->Next()) {
        if (at->key().starts_with("r")) {
            auto entry = wire::decode<stored_reservation>(as_string_view(at->value()));
            if (!entry.ok()) {
                return entry.status();
            }
            contents.reservations.push_back(*std::move(entry));
        } else if (at->key().starts_with("t")) {
            const auto entry = wire::decode_in_place<turn_in_place>(as_string_view(at->value()));
            if (!entry.ok()) {
                return entry.status();
            }
            contents.turns.push_back(entry->without_texts());
        }
    }
    return to_status(at->status());
}

absl::StatusOr<store_contents> rocksdb_turn_store::load() {
    store_contents contents;
    if (auto status = read_identity(contents); !status.ok()) {
        return status;
    }
    if (auto status = read_progress(contents); !status.ok()) {
        return status;
    }
    if (auto status = read_all(contents); !status.ok()) {
        return status;
    }
    return contents;
}

void rocksdb_turn_store::write(store_change change, std::function<void(absl::Status)> done) {
    {
        const std::lock_guard lock(mutex_);
        pending_.push_back({std::move(change), std::move(done)});
    }
    wake_.notify_one();
}

absl::StatusOr<turn_record> rocksdb_turn_store::read(const turn_id& turn) const {
    std::string value;
    const auto open_db = database();
    if (open_db == nullptr) {
        return closed_status();
    }
    if (auto status = to_status(open_db->Get({}, turn_key(turn), &value)); !status.ok()) {
        return status;
    }
    auto entry = wire::decode<stored_turn>(value);
    if (!entry.ok()) {
        return entry.status();
    }
    return std::move(entry->record);
}

std::string rocksdb_turn_store::read_directory() const {
    std::string value;
    const auto open_db = database();
    if (open_db == nullptr || !open_db->Get({}, directory_key, &value).ok()) {
        return {};
    }
    return value;
}

template <typename Add>
void rocksdb_turn_store::read_range(const char* begin, const char* end, const Add& add) const {
    const auto open_db = database();
    if (open_db == nullptr) {
        return;
    }
    const rocksdb::Slice upper_bound = end;
    rocksdb::ReadOptions range;
    range.iterate_upper_bound = &upper_bound;
    const std::unique_ptr<rocksdb::Iterator> at(open_db->NewIterator(range));
    const std::size_t prefix_bytes = std::string_view(begin).size();
    for (at->Seek(begin); at->Valid(); at->Next()) {
        add(std::string(as_string_view(at->key()).substr(prefix_bytes)),
            std::string(as_string_view(at->value())));
    }
}

std::vector<directory_entry> rocksdb_turn_store::read_directory_entries() const {
    std::vector<directory_entry> entries;
    read_range(directory_entries_begin, directory_entries_end,
               [&entries](std::string key, std::string value) {
                   entries.push_back({.key = std::move(key), .value = std::move(value)});
               });
    return entries;
}

std::vector<suspect_entry> rocksdb_turn_store::read_suspects() const {
    std::vector<suspect_entry> entries;
    read_range(suspects_begin, suspects_end, [&entries](std::string digest, std::string value) {
        entries.push_back({.digest = std::move(digest), .value = std::move(value)});
    });
    return entries;
}

absl::Status rocksdb_turn_store::write_batch(rocksdb::WriteBatch& batch) {
    rocksdb::WriteOptions synced;
    synced.sync = true;
    const auto open_db = database();
    if (open_db == nullptr) {
        return closed_status();
    }
    return to_status(open_db->Write(synced, &batch));
}

void rocksdb_turn_store::close_database() {
    // After a failed write the database accepts no writes and serves reads only from its in-memory
    // state, so it is reopened from disk.
    std::shared_ptr<rocksdb::DB> closing;
    {
        const std::lock_guard lock(mutex_);
        closing = std::move(database_);
        database_ = nullptr;
    }
    closed_at_ = options_.clock->now();
}

absl::Status rocksdb_turn_store::reopen_database() {
    if (options_.clock->now() - closed_at_ < reopen_interval) {
        return closed_status();
    }
    closed_at_ = options_.clock->now();
    auto opened = open_database(options_);
    if (!opened.ok()) {
        return opened.status();
    }
    const std::lock_guard lock(mutex_);
    database_ = *std::move(opened);
    return absl::OkStatus();
}

void rocksdb_turn_store::run_writer() {
    for (;;) {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
        std::deque<pending_write> writes = std::exchange(pending_, {});
        if (writes.empty()) {
            return;
        }
        lock.unlock();
        rocksdb::WriteBatch batch;
        for (const pending_write& write : writes) {
            add_to_batch(batch, write.change);
        }
        const base::instant started_at = options_.clock->now();
        absl::Status status = database() == nullptr ? reopen_database() : absl::OkStatus();
        if (status.ok()) {
            status = write_batch(batch);
            if (!status.ok()) {
                close_database();
            }
        }
        const synced_batch batch_written{.changes = writes.size(),
                                         .took = options_.clock->now() - started_at};
        options_.post(
            [writes = std::move(writes), status, batch_written, on_synced = options_.on_synced] {
                if (on_synced) {
                    on_synced(batch_written);
                }
                for (const pending_write& write : writes) {
                    write.done(status);
                }
            });
    }
}

}  // namespace

absl::StatusOr<std::unique_ptr<turn_store>> open_rocksdb_turn_store(turn_store_options options) {
    std::error_code error;
    std::filesystem::create_directories(options.folder, error);
    if (error) {
        return base::make_error(absl::StatusCode::kUnavailable,
                                options.folder + ": " + error.message(),
                                {.step = "turn_store", .reason = "turn_storage_failed"});
    }
    auto database = open_database(options);
    if (!database.ok()) {
        return database.status();
    }
    return std::make_unique<rocksdb_turn_store>(*std::move(database), std::move(options));
}

}  // namespace pearbarrow::turns
