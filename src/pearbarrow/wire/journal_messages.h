/// Messages between the leader of a shard's journal and the journal's replicas.
///
/// Every request names the store that it is sent to (`journal_member`), the leader's ballot and the
/// epoch of the leader's replica set. See docs/design/journal.md.
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

/// Kind of a journal entry. Only records are delivered to the owner.
enum class journal_entry_kind : std::uint8_t { record = 0, ownership = 1, replica_set = 2 };

/// A replica of a shard's data: a node, the random identity of the node's store, and the number of
/// resets of this shard on it. A node that has lost its disk, or has reset the shard after
/// corruption, is a new member without a vote until it is added.
struct journal_member {
    base::node_id node;
    std::string store;
    std::uint32_t generation = 0;

    auto operator<=>(const journal_member&) const = default;
    MSGPACK_DEFINE(node, store, generation);
};

/// Replica set of a shard. Consecutive epochs differ by at most one member.
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
    /// If not empty, the entry remains readable by this key after truncation until it is dropped.
    std::string retention_key;
    /// The commit of this entry drops earlier entries whose key begins with one of these prefixes.
    std::vector<std::string> dropped_prefixes;
    /// xxHash of all preceding fields, set by the leader (`journal::entry_checksum`).
    std::uint64_t checksum = 0;

    bool operator==(const journal_entry&) const = default;
    MSGPACK_DEFINE(index, ballot, kind, payload, retention_key, dropped_prefixes, checksum);
};

/// Header of every request.
struct journal_header {
    base::shard_id shard;
    /// Random number of the leader, which the reply repeats.
    std::uint64_t request_id = 0;
    journal_member target;
    std::uint64_t epoch = 0;
    base::ballot ballot;

    MSGPACK_DEFINE(shard, request_id, target, epoch, ballot);
};

/// Requests the promise to reject lower ballots.
struct journal_prepare_request {
    journal_header header;
    /// Random number of this campaign. It distinguishes a repeated message from a restarted
    /// candidate.
    std::uint64_t campaign = 0;

    MSGPACK_DEFINE(header, campaign);
};

/// Appends entries after `previous_index`. Without entries it is a heartbeat.
struct journal_append_request {
    journal_header header;
    base::log_index previous_index;
    base::ballot previous_ballot;
    std::vector<journal_entry> entries;
    base::log_index commit_index;

    MSGPACK_DEFINE(header, previous_index, previous_ballot, entries, commit_index);
};

enum class journal_read_part : std::uint8_t { snapshot = 0, retained = 1, entries = 2 };

/// Reads a part of a replica's state, for recovery and for the catch-up of another replica.
struct journal_read_request {
    journal_header header;
    journal_read_part part = journal_read_part::entries;
    /// Snapshot: offset of the first byte.
    std::uint64_t offset = 0;
    /// Entries: first index.
    base::log_index from;
    /// Retained: the key and index after which to continue. Empty and 0 for the first page.
    std::string after_key;
    base::log_index after_index;
    std::uint64_t max_bytes = 0;

    MSGPACK_DEFINE(header, part, offset, from, after_key, after_index, max_bytes);
};

/// A chunk of the owner's snapshot at `index`. The last chunk truncates the log up to this index.
struct journal_snapshot_request {
    journal_header header;
    base::log_index index;
    base::ballot index_ballot;
    std::uint64_t offset = 0;
    std::string chunk;
    bool last = false;

    MSGPACK_DEFINE(header, index, index_ballot, offset, chunk, last);
};

/// A step of a transfer of another replica's snapshot and retained entries to a lagging replica.
/// Steps are numbered from 0. The last one installs the whole copy.
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

/// Reads committed entries whose retention key begins with `key_prefix`, ordered by key and index.
struct journal_read_retained_request {
    journal_header header;
    std::string key_prefix;
    std::string after_key;
    base::log_index after_index;
    /// The replica must know that this index is committed. Otherwise the reason is
    /// `replica_lagging`.
    base::log_index required_index;
    std::uint64_t max_bytes = 0;

    MSGPACK_DEFINE(header, key_prefix, after_key, after_index, required_index, max_bytes);
};

/// Requests the member identity and the state of a shard. Target, ballot and epoch are ignored.
struct journal_status_request {
    journal_header header;

    MSGPACK_DEFINE(header);
};

/// `refused`: the leader is no longer valid (reason `ballot_fenced`, `stale_epoch`). `mismatch`:
/// the previous entry does not exist, see `hint`. `failed`: this replica cannot serve the request,
/// with the reasons `store_mismatch`, `journal_corrupt`, `journal_storage_failed`,
/// `checksum_mismatch`, `install_out_of_order`, `entries_unavailable`, `replica_lagging`,
/// `malformed_message`.
enum class journal_outcome : std::uint8_t { accepted = 0, refused = 1, mismatch = 2, failed = 3 };

/// Reply to every journal request.
struct journal_reply {
    base::shard_id shard;
    std::uint64_t request_id = 0;
    journal_outcome outcome = journal_outcome::accepted;
    std::string reason;
    /// The replying member, with its actual store identity.
    journal_member member;
    base::ballot promised;
    std::uint64_t epoch = 0;
    base::log_index last_index;
    base::ballot last_ballot;
    base::log_index snapshot_index;
    base::ballot snapshot_ballot;
    base::log_index commit_index;
    /// Append: all entries up to this index match the request and are durable.
    base::log_index matched_index;
    /// Mismatch: the highest index that may match.
    base::log_index hint;
    /// Read of entries: ballot of the entry before the first returned one.
    base::ballot previous_ballot;
    std::string chunk;
    std::vector<journal_entry> entries;
    /// Read: whether more data follows this page.
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

/// Returns the peer method of `request`.
method_number method_of(const journal_request& request);

/// Encodes the request for `method_of(request)`.
std::string encode_journal_request(const journal_request& request);

/// Fails with kInvalidArgument (`malformed_message`) if the bytes are malformed or the method is
/// not a journal method.
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
