/// Internal state of `replica`; only the replica's own files include this.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "pearbarrow/journal/replica.h"

namespace pearbarrow::journal {

class replica::state : public std::enable_shared_from_this<state> {
  public:
    state(base::node_id self, replica_store& store, replica_options options)
        : self_(std::move(self)), store_(store), options_(options) {}

    absl::Status open();
    void handle(const wire::journal_request& request, reply_callback reply);
    void flush();
    wire::journal_member member(base::shard_id shard) const;
    std::vector<base::shard_id> shards() const;
    std::vector<base::shard_id> corrupt_shards() const;
    void reset_shard(base::shard_id shard, std::function<void(absl::Status)> done);

  private:
    struct queued_request {
        wire::journal_request request;
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

    void complete_read(const wire::journal_request& request, wire::journal_reply& reply);
    absl::Status read_state(const wire::journal_read_request& request, wire::journal_reply& reply);
    absl::Status read_log(const wire::journal_read_request& request, wire::journal_reply& reply);
    absl::Status read_snapshot(const wire::journal_read_request& request,
                               wire::journal_reply& reply);
    absl::Status read_history(const wire::journal_read_retained_request& request,
                              wire::journal_reply& reply);
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

}  // namespace pearbarrow::journal
