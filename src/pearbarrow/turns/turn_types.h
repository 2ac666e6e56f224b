/// Turns of agent programs as stored by the storage members, and the messages about them.
///
/// A turn is identified by the id of the request that created it and is immutable, so copies on
/// several members need no ordering: any copy is valid. A reservation only changes from reserved to
/// settled, its software to a later choice, and the doubt about its attempt to a lesser one, so two
/// copies merge without conflicts (`supersedes`).
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_report.h"

namespace pearbarrow::turns {

/// Id of the request that created the turn.
using turn_id = base::strong_id<struct turn_tag, std::string>;
/// Position of a change in one member's log; 0 is before the first change.
using change_number = base::strong_id<struct change_tag, std::uint64_t>;
/// Random id assigned when a member's disk is first written. A replaced disk has another id.
using disk_id = base::strong_id<struct disk_tag, std::string>;

/// Identifies the voters of a replica group that a sender relies on (`view_stamps.h`).
struct view_stamp {
    /// Revision of the storage view; 0 if unknown, as in messages of older nodes.
    std::uint64_t revision = 0;
    /// Digest of the names of the voters.
    std::uint64_t voters = 0;

    bool operator==(const view_stamp&) const = default;
    MSGPACK_DEFINE(revision, voters);
};

/// Input and output of one turn.
struct turn_record {
    turn_id turn;
    base::program_id program;
    /// The turn that this one continues; empty if there is none.
    turn_id previous;
    std::string input;
    std::string output;
    /// Retention in seconds from the time of storing.
    double retention_seconds = 0;

    MSGPACK_DEFINE(turn, program, previous, input, output, retention_seconds);
};

/// The software that a resumable stream may come from. It is stored before a back end receives the
/// request, so that every node knows it once the caller has an event.
struct stream_software {
    std::string service;
    directory::software_version version;
    /// Number of the choice. The node that serves the request may choose again while no event has
    /// been received; the latest choice applies.
    std::uint32_t choice = 0;
    /// The process that begins the stream may have another version than its directory entry. Once
    /// the reservation is settled, this states what the node that served the stream has found.
    /// Older nodes omit it and the next field.
    bool is_provisional = false;
    /// Age of the connection of a provisional stream when it was settled. Milliseconds.
    std::uint32_t connection_age_ms = 0;

    bool operator==(const stream_software&) const = default;
    MSGPACK_DEFINE(service, version, choice, is_provisional, connection_age_ms);
};

/// What the node that served an attempt knows of its back end when it settles the reservation.
enum class attempt_doubt : std::uint8_t {
    /// The back end has responded or has rejected the request, or nothing was sent.
    none,
    /// The back end may have ended under the attempt.
    possible_end,
    /// The attempt was given up while its back end went on.
    given_up,
};

/// Tokens reserved for a turn, or its actual cost once settled. It is confirmed before a back end
/// receives the request, so it is also the record of the attempt: an open reservation is an attempt
/// of which no result is known.
struct reservation {
    base::program_id program;
    turn_id turn;
    /// Maximum cost of the turn or, once settled, its actual cost.
    std::uint64_t tokens = 0;
    bool settled = false;
    /// Back end that executed the settled turn and may still cache its prompt; 0 if none. A hint
    /// for the next turn. In an open reservation of a provisional stream, the back end that the
    /// stream is sent to. Older nodes omit it.
    dispatch::backend_key backend = 0;
    /// Present if the turn is a resumable stream; older nodes omit it.
    std::optional<stream_software> software;
    /// The turn that this one continues, which is kept until the reservation is settled. Empty if
    /// there is none or the reservation is settled; older nodes omit it.
    turn_id previous;
    /// Hash of the content of the request, which all tries of one request share; 0 if unknown.
    /// Older nodes omit it and the next two fields.
    std::uint64_t content = 0;
    attempt_doubt doubt = attempt_doubt::none;
    /// Back end of an attempt in doubt; 0 if there is none.
    dispatch::backend_key doubted_backend = 0;

    MSGPACK_DEFINE(program, turn, tokens, settled, backend, software, previous, content, doubt,
                   doubted_backend);
};

/// Returns whether `next` replaces `held`, a reservation of the same turn.
bool supersedes(const reservation& next, const reservation& held);

/// Result of reading a chain of turns at a member.
enum class chain_result : std::uint8_t {
    not_requested,
    found,
    /// The turn is not stored at this member.
    absent,
    /// The turns are indexed, but currently cannot be read from disk.
    unreadable,
    /// The turn is stored at this member, but an earlier one of its chain is not. Older nodes
    /// report `absent`.
    partial,
};

/// Reserves tokens for a turn and reads the chain that it continues.
struct reserve_request {
    reservation wanted;
    turn_id previous;
    bool wants_chain = false;
    /// The requesting node's requests in flight at the back ends.
    dispatch::load_report load;
    view_stamp view;

    MSGPACK_DEFINE(wanted, previous, wants_chain, load, view);
};

/// Time for which a member has known a reservation.
struct reservation_age {
    turn_id turn;
    std::uint32_t milliseconds = 0;

    MSGPACK_DEFINE(turn, milliseconds);
};

struct reserve_reply {
    /// Whether the member knows everything that it has ever confirmed. A member with a new disk
    /// does not until it has caught up.
    bool is_complete = false;
    /// The program's reservations at this member, including the requested one.
    std::vector<reservation> reservations;
    chain_result chain = chain_result::not_requested;
    std::string chain_text;
    dispatch::load_totals load;
    /// Set if the request was rejected because it relies on voters of an older view. Contains the
    /// group's view as known to the member; without members if the member knows only that a newer
    /// view exists.
    std::optional<directory::storage_view> newer;
    /// Ages of the open reservations of provisional streams, and of the reservations with the
    /// content of the requested one; older nodes omit them.
    std::vector<reservation_age> ages;

    MSGPACK_DEFINE(is_complete, reservations, chain, chain_text, load, newer, ages);
};

struct read_request {
    turn_id turn;
    /// Requests the turns of the chain instead of their concatenated text.
    bool wants_records = false;
    view_stamp view;

    MSGPACK_DEFINE(turn, wants_records, view);
};

struct read_reply {
    bool is_complete = false;
    chain_result chain = chain_result::absent;
    std::string chain_text;
    /// The turns of the chain, oldest first, if the request wants records.
    std::vector<turn_record> records;
    /// As in `reserve_reply`; a chain that was found is returned nevertheless.
    std::optional<directory::storage_view> newer;

    MSGPACK_DEFINE(is_complete, chain, chain_text, records, newer);
};

/// Reads a program's reservations without adding one.
struct usage_request {
    base::program_id program;
    view_stamp view;

    MSGPACK_DEFINE(program, view);
};

struct usage_reply {
    bool is_complete = false;
    std::vector<reservation> reservations;
    /// As in `reserve_reply`.
    std::optional<directory::storage_view> newer;

    MSGPACK_DEFINE(is_complete, reservations, newer);
};

/// Settles a turn's reservation and stores the turn, if it has one to store.
struct finish_request {
    std::vector<reservation> settled;
    std::vector<turn_record> records;
    /// Load report of the sender; it requests no totals, so the reply contains none.
    dispatch::load_report load;
    view_stamp view;

    MSGPACK_DEFINE(settled, records, load, view);
};

struct finish_reply {
    bool is_complete = false;
    /// As in `reserve_reply`.
    std::optional<directory::storage_view> newer;

    MSGPACK_DEFINE(is_complete, newer);
};

/// Requests the changes that another member has stored after a position.
struct list_request {
    base::node_id requester;
    /// The disk that `after` refers to; on another disk the listing begins at 0.
    disk_id disk;
    change_number after;
    /// Whether the requesting member is complete; older nodes omit it.
    bool is_complete = true;

    MSGPACK_DEFINE(requester, disk, after, is_complete);
};

struct list_reply {
    disk_id disk;
    bool is_complete = false;
    std::vector<turn_id> turns;
    std::vector<reservation> reservations;
    /// Position for the next request.
    change_number through;
    bool more = false;
    /// The newest voters that the replying member has persisted. From now on it confirms nothing to
    /// senders that rely on older ones.
    view_stamp view;
    /// Whether the replying member may have confirmed writes which an earlier disk held. Older
    /// nodes omit it; it counts only while the member is not complete.
    bool replaces_lost_disk = true;

    MSGPACK_DEFINE(disk, is_complete, turns, reservations, through, more, view, replaces_lost_disk);
};

struct fetch_request {
    std::vector<turn_id> turns;
    /// Maximum number of earlier turns of their chains that the reply also contains; older nodes
    /// send none.
    std::uint32_t earlier_turns = 0;

    MSGPACK_DEFINE(turns, earlier_turns);
};

struct fetch_reply {
    std::vector<turn_record> records;

    MSGPACK_DEFINE(records);
};

/// Requests the load reports that a member of another replica group has received from nodes.
struct load_pull_request {
    /// Incarnation of the replying process that `after` refers to; for another incarnation the
    /// reply begins at 0.
    std::uint64_t incarnation = 0;
    std::uint64_t after = 0;

    MSGPACK_DEFINE(incarnation, after);
};

struct load_pull_reply {
    std::uint64_t incarnation = 0;
    /// Position for the next request.
    std::uint64_t through = 0;
    std::vector<dispatch::load_report> reports;

    MSGPACK_DEFINE(incarnation, through, reports);
};

}  // namespace pearbarrow::turns

MSGPACK_ADD_ENUM(pearbarrow::turns::attempt_doubt);
MSGPACK_ADD_ENUM(pearbarrow::turns::chain_result);
