/// Journal replicas of one node: every shard that the node's store holds.
///
/// Replies go out only after what they say is durable. Requests handled while a write is under way
/// collect into the next one, so all shards share synced writes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/journal/replica_core.h"
#include "pearbarrow/journal/replica_store.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::journal {

struct replica_options {
    /// Largest page or chunk in a reply, in bytes.
    std::size_t max_reply_bytes = 4 << 20;

    /// Mechanisms that tests switch off to see the checker fail. Never set elsewhere.
    struct test_faults {
        /// Replies before the write is durable.
        bool reply_before_sync = false;
        replica_core_faults core;
    } faults;
};

class replica {
  public:
    using reply_callback = std::function<void(const wire::journal_reply&)>;

    /// `store` must live longer than the replica.
    replica(base::node_id self, replica_store& store, replica_options options = {});
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Reads and checks everything in the store. Corrupt shards are refused later, one by one.
    absl::Status open();

    /// Queues the request; `reply` runs once, within a later `flush` or when its write is durable.
    void handle(const wire::journal_request& request, reply_callback reply);

    /// Answers reads, decides on all other queued requests and starts one write for them. Call it
    /// once a turn of the event loop in which `handle` was called. While a write is under way,
    /// requests queue and the next flush runs by itself at its end.
    void flush();

    /// Identity of this node's replica of `shard`, as a replica set must name it. It is known
    /// before the shard's first request.
    wire::journal_member member(base::shard_id shard) const;
    /// Shards that hold data here.
    std::vector<base::shard_id> shards() const;
    /// Shards refused as `journal_corrupt`.
    std::vector<base::shard_id> corrupt_shards() const;
    /// Gives up a corrupt shard's data: the shard becomes a new, empty member (`member(shard)`).
    /// For the node's repair, after a person or the repair logic decided so. `done` runs when
    /// durable.
    void reset_shard(base::shard_id shard, std::function<void(absl::Status)> done);

  private:
    class state;
    std::shared_ptr<state> state_;
};

}  // namespace pearbarrow::journal
