/// Replica store in memory with the failures of a disk, for simulations and tests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/journal/replica_store.h"

namespace pearbarrow::journal {

/// Holds one write under way until `finish_write`; `crash` loses it. What was finished stays, so
/// the store outlives the replica that used it.
class memory_replica_store final : public replica_store {
  public:
    /// `automatic`: each write is finished within `write`.
    explicit memory_replica_store(std::string identity, bool automatic = false)
        : identity_(std::move(identity)), automatic_(automatic) {}

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

    bool write_pending() const { return pending_.has_value(); }
    /// Makes the write under way durable and tells its caller.
    void finish_write();
    /// Loses the write under way; its caller never hears.
    void crash() { pending_.reset(); }
    /// Fails the next write with `status`.
    void fail_next_write(absl::Status status) { next_failure_ = std::move(status); }
    /// Flips a bit of a stored entry. False when there is no such entry with a payload.
    bool corrupt_entry(base::shard_id shard, base::log_index index);

  private:
    using retained_key = std::pair<std::string, base::log_index>;
    struct shard_data {
        std::optional<shard_metadata> metadata;
        std::map<base::log_index, wire::journal_entry> entries;
        std::optional<std::string> snapshot;
        std::map<std::uint64_t, std::map<retained_key, wire::journal_entry>> retained;
    };
    struct pending_write {
        std::vector<store_operation> operations;
        std::function<void(absl::Status)> done;
    };

    void carry_out(const put_metadata& operation);
    void carry_out(const put_entry& operation);
    void carry_out(const erase_entries& operation);
    void carry_out(const put_snapshot& operation);
    void carry_out(const retain_entries& operation);
    void carry_out(const put_retained& operation);
    void carry_out(const drop_retained& operation);
    void carry_out(const erase_shard& operation);

    std::string identity_;
    bool automatic_;
    std::map<base::shard_id, shard_data> shards_;
    std::optional<pending_write> pending_;
    absl::Status next_failure_;
};

}  // namespace pearbarrow::journal
