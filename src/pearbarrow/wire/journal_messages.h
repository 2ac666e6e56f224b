/// Messages between the leader of a shard's journal and the journal's replicas.
///
/// Every request names the one store it is meant for (`journal_member`), the leader's ballot and
/// the epoch of the replica set that the leader works with. See docs/design/journal.md.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/wire/codec.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::wire {

/// What an entry is for. Only records reach the owner.
enum class journal_entry_kind : std::uint8_t { record = 0, ownership = 1, replica_set = 2 };

/// One place of a shard's data: a node, the identity that the node's store drew when it was
/// created, and how often this shard was reset on it. A node whose disk was lost, or whose shard
/// was reset after corruption, is another member and has no vote until it is added.
struct journal_member {
    base::node_id node;
    std::string store;
    std::uint32_t generation = 0;

    auto operator<=>(const journal_member&) const = default;
    MSGPACK_DEFINE(node, store, generation);
};

/// Replica set of a shard. Consecutive epochs differ by one member at most.
struct journal_replica_set {
    std::uint64_t epoch = 0;
    std::vector<journal_member> members;

    auto operator<=>(const journal_replica_set&) const = default;
    MSGPACK_DEFINE(epoch, members);
};

/// One entry of a shard's journal.
struct journal_entry {
    base::log_index index;
    base::ballot ballot;
    journal_entry_kind kind = journal_entry_kind::record;
    /// Opaque to the journal.
    std::string payload;
    /// When not empty, the entry stays readable by this key after truncation, until dropped.
    std::string retention_key;
    /// Once this entry is committed, earlier entries whose key begins so are dropped.
    std::vector<std::string> dropped_prefixes;
    /// xxHash of all the above, set by the leader (`journal::entry_checksum`).
    std::uint64_t checksum = 0;

    bool operator==(const journal_entry&) const = default;
    MSGPACK_DEFINE(index, ballot, kind, payload, retention_key, dropped_prefixes, checksum);
};

/// First part of every request.
struct journal_header {
    base::shard_id shard;
    /// Drawn by the leader, echoed in the reply.
    std::uint64_t request_id = 0;
    journal_member target;
    std::uint64_t epoch = 0;
    base::ballot ballot;

    MSGPACK_DEFINE(shard, request_id, target, epoch, ballot);
};

/// Asks for the promise to refuse lower ballots.
struct journal_prepare_request {
    journal_header header;
    /// Random number of this campaign: tells a repeated message from a restarted candidate.
    std::uint64_t campaign = 0;

    MSGPACK_DEFINE(header, campaign);
};

/// Stores entries after `previous_index`; without entries, a heartbeat.
struct journal_append_request {
    journal_header header;
    base::log_index previous_index;
    base::ballot previous_ballot;
    std::vector<journal_entry> entries;
    base::log_index commit_index;

    MSGPACK_DEFINE(header, previous_index, previous_ballot, entries, commit_index);
};

enum class journal_read_part : std::uint8_t { snapshot = 0, retained = 1, entries = 2 };

/// Reads part of a replica's state, for recovery and to catch another replica up.
struct journal_read_request {
    journal_header header;
    journal_read_part part = journal_read_part::entries;
    /// Snapshot: first byte.
    std::uint64_t offset = 0;
    /// Entries: first index.
    base::log_index from;
    /// Retained: the key and index after which to go on; empty and 0 to begin.
    std::string after_key;
    base::log_index after_index;
    std::uint64_t max_bytes = 0;

    MSGPACK_DEFINE(header, part, offset, from, after_key, after_index, max_bytes);
};

/// One chunk of the owner's snapshot at `index`; on the last chunk the log up to it is truncated.
struct journal_snapshot_request {
    journal_header header;
    base::log_index index;
    base::ballot index_ballot;
    std::uint64_t offset = 0;
    std::string chunk;
    bool last = false;

    MSGPACK_DEFINE(header, index, index_ballot, offset, chunk, last);
};

/// One step of copying another replica's snapshot and retained entries to a lagging replica. Steps
/// are numbered from 0; the last one makes the copy take effect as a whole.
struct journal_install_request {
    journal_header header;
    std::uint64_t transfer = 0;
    std::uint64_t step = 0;
    base::log_index index;
    base::ballot index_ballot;
    std::string chunk;
    std::vector<journal_entry> retained;
    bool last = false;

    MSGPACK_DEFINE(header, transfer, step, index, index_ballot, chunk, retained, last);
};

/// Reads committed entries whose retention key begins with `key_prefix`, in order of key and index.
struct journal_read_retained_request {
    journal_header header;
    std::string key_prefix;
    std::string after_key;
    base::log_index after_index;
    /// The replica must have learnt that this index is committed, else reason `replica_lagging`.
    base::log_index required_index;
    std::uint64_t max_bytes = 0;

    MSGPACK_DEFINE(header, key_prefix, after_key, after_index, required_index, max_bytes);
};

/// Asks for the member identity and state of a shard. The target, ballot and epoch don't matter.
struct journal_status_request {
    journal_header header;

    MSGPACK_DEFINE(header);
};

/// `refused`: the leader has lost its right (reason `ballot_fenced`, `stale_epoch`). `mismatch`:
/// the previous entry isn't there, see `hint`. `failed`: this replica can't serve the request;
/// reasons `store_mismatch`, `journal_corrupt`, `journal_storage_failed`, `checksum_mismatch`,
/// `install_out_of_order`, `entries_unavailable`, `replica_lagging`, `malformed_message`.
enum class journal_outcome : std::uint8_t { accepted = 0, refused = 1, mismatch = 2, failed = 3 };

/// Reply to every journal request.
struct journal_reply {
    base::shard_id shard;
    std::uint64_t request_id = 0;
    journal_outcome outcome = journal_outcome::accepted;
    std::string reason;
    /// Who answers, with its real store identity.
    journal_member member;
    base::ballot promised;
    std::uint64_t epoch = 0;
    base::log_index last_index;
    base::ballot last_ballot;
    base::log_index snapshot_index;
    base::ballot snapshot_ballot;
    base::log_index commit_index;
    /// Append: all entries up to here are as in the request and durable.
    base::log_index matched_index;
    /// Mismatch: the last index that may match.
    base::log_index hint;
    /// Read of entries: ballot of the entry before the first one.
    base::ballot previous_ballot;
    std::string chunk;
    std::vector<journal_entry> entries;
    /// Read: there is more after this page.
    bool more = false;

    MSGPACK_DEFINE(shard, request_id, outcome, reason, member, promised, epoch, last_index,
                   last_ballot, snapshot_index, snapshot_ballot, commit_index, matched_index, hint,
                   previous_ballot, chunk, entries, more);
};

using journal_request =
    std::variant<journal_prepare_request, journal_append_request, journal_read_request,
                 journal_snapshot_request, journal_install_request, journal_read_retained_request,
                 journal_status_request>;

inline const journal_header& header_of(const journal_request& request) {
    return std::visit([](const auto& body) -> const journal_header& { return body.header; },
                      request);
}

/// The peer method that carries `request`.
method_number method_of(const journal_request& request);

/// Packs the request that goes with `method_of(request)`.
std::string encode_journal_request(const journal_request& request);

/// Fails with kInvalidArgument (`malformed_message`) on bad bytes or a method that isn't the
/// journal's.
absl::StatusOr<journal_request> decode_journal_request(method_number method,
                                                       std::string_view bytes);

inline method_number method_of(const journal_request& request) {
    static constexpr method_number methods[] = {
        journal_prepare, journal_append,        journal_read,  journal_snapshot,
        journal_install, journal_read_retained, journal_status};
    return methods[request.index()];
}

inline std::string encode_journal_request(const journal_request& request) {
    return std::visit([](const auto& body) { return encode(body); }, request);
}

namespace journal_detail {

template <typename Body>
absl::StatusOr<journal_request> decode_as(std::string_view bytes) {
    auto body = decode<Body>(bytes);
    if (!body.ok()) {
        return body.status();
    }
    return journal_request(*std::move(body));
}

}  // namespace journal_detail

inline absl::StatusOr<journal_request> decode_journal_request(method_number method,
                                                              std::string_view bytes) {
    switch (method) {
        case journal_prepare:
            return journal_detail::decode_as<journal_prepare_request>(bytes);
        case journal_append:
            return journal_detail::decode_as<journal_append_request>(bytes);
        case journal_read:
            return journal_detail::decode_as<journal_read_request>(bytes);
        case journal_snapshot:
            return journal_detail::decode_as<journal_snapshot_request>(bytes);
        case journal_install:
            return journal_detail::decode_as<journal_install_request>(bytes);
        case journal_read_retained:
            return journal_detail::decode_as<journal_read_retained_request>(bytes);
        case journal_status:
            return journal_detail::decode_as<journal_status_request>(bytes);
        default:
            return base::make_error(absl::StatusCode::kInvalidArgument, "not a journal method",
                                    {.step = "decode", .reason = "malformed_message"});
    }
}

}  // namespace pearbarrow::wire

MSGPACK_ADD_ENUM(pearbarrow::wire::journal_entry_kind);
MSGPACK_ADD_ENUM(pearbarrow::wire::journal_read_part);
MSGPACK_ADD_ENUM(pearbarrow::wire::journal_outcome);
