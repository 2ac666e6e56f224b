/// One replica over a store in memory, and shorthand for requests to it.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/journal/entry.h"
#include "pearbarrow/journal/memory_replica_store.h"
#include "pearbarrow/journal/replica.h"

namespace pearbarrow::journal::testing {

inline const base::shard_id shard(3);

inline base::ballot ballot(std::uint64_t round, const std::string& node = "n1") {
    return {round, base::node_id(node)};
}

inline wire::journal_entry make_entry(std::uint64_t index, const base::ballot& by,
                                      std::string payload, std::string key = "",
                                      std::vector<std::string> drops = {}) {
    wire::journal_entry entry;
    entry.index = base::log_index(index);
    entry.ballot = by;
    entry.payload = std::move(payload);
    entry.retention_key = std::move(key);
    entry.dropped_prefixes = std::move(drops);
    entry.checksum = entry_checksum(shard, entry);
    return entry;
}

/// Requests are answered within the call (the store finishes writes at once, unless told not to).
class replica_fixture {
  public:
    explicit replica_fixture(replica_store& store) : store_(store) { restart(); }

    void restart() {
        replica_ = std::make_unique<replica>(base::node_id("r1"), store_);
        opened_ = replica_->open();
    }

    wire::journal_reply ask(const wire::journal_request& request) {
        wire::journal_reply answer;
        answer.reason = "no answer";
        answer.outcome = wire::journal_outcome::failed;
        replica_->handle(request, [&answer](const auto& reply) { answer = reply; });
        replica_->flush();
        return answer;
    }

    wire::journal_header header(const base::ballot& by, std::uint64_t epoch = 1) {
        return {.shard = shard,
                .request_id = ++requests_,
                .target = replica_->member(shard),
                .epoch = epoch,
                .ballot = by};
    }

    wire::journal_reply prepare(const base::ballot& by, std::uint64_t campaign = 1,
                                std::uint64_t epoch = 1) {
        return ask(wire::journal_prepare_request{header(by, epoch), campaign});
    }

    /// Entries follow each other; the previous one is `previous` with `previous_ballot`.
    wire::journal_reply append(const base::ballot& by, std::uint64_t previous,
                               const base::ballot& previous_ballot,
                               std::vector<wire::journal_entry> entries, std::uint64_t commit = 0) {
        return ask(wire::journal_append_request{header(by), base::log_index(previous),
                                                previous_ballot, std::move(entries),
                                                base::log_index(commit)});
    }

    wire::journal_reply snapshot(const base::ballot& by, std::uint64_t index,
                                 const base::ballot& index_ballot, std::string payload) {
        return ask(wire::journal_snapshot_request{header(by), base::log_index(index), index_ballot,
                                                  0, std::move(payload), true});
    }

    /// Payloads of the retained entries under the prefix, read page by page.
    std::vector<std::string> history(const base::ballot& by, const std::string& prefix,
                                     std::uint64_t page_bytes = 1) {
        std::vector<std::string> payloads;
        wire::journal_read_retained_request request;
        request.key_prefix = prefix;
        request.max_bytes = page_bytes;
        for (bool more = true; more;) {
            request.header = header(by);
            const auto reply = ask(request);
            for (const auto& entry : reply.entries) {
                payloads.push_back(entry.payload);
                request.after_key = entry.retention_key;
                request.after_index = entry.index;
            }
            more = reply.more && !reply.entries.empty();
        }
        return payloads;
    }

    replica& get() { return *replica_; }
    const absl::Status& opened() const { return opened_; }

  private:
    replica_store& store_;
    std::unique_ptr<replica> replica_;
    absl::Status opened_;
    std::uint64_t requests_ = 0;
};

}  // namespace pearbarrow::journal::testing
