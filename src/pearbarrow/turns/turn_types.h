/// Turns of agent programs as the storage members keep them, and the messages about them.
///
/// A turn is named by the id of the request that made it and never changes, so copies on several
/// members need no order among them: a copy found anywhere is the truth. A reservation only ever
/// goes from reserved to settled, so two copies of it merge without a conflict.
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

/// The request id of the turn.
using turn_id = base::strong_id<struct turn_tag, std::string>;
/// Position of a change in one member's own log; 0: before the first.
using change_number = base::strong_id<struct change_tag, std::uint64_t>;
/// Drawn when a member's disk is first written; a lost disk comes back with another.
using disk_id = base::strong_id<struct disk_tag, std::string>;

/// Which voters of a replica group somebody counts on (`view_stamps.h`).
struct view_stamp {
    /// Revision of the storage view; 0: not told, as by older nodes.
    std::uint64_t revision = 0;
    /// Digest of the voters' names.
    std::uint64_t voters = 0;

    bool operator==(const view_stamp&) const = default;
    MSGPACK_DEFINE(revision, voters);
};

/// What was said in one turn.
struct turn_record {
    turn_id turn;
    base::program_id program;
    /// The turn that this one goes on from; empty: none.
    turn_id previous;
    std::string input;
    std::string output;
    /// How long the turn is kept from its storing on. Seconds.
    double retention_seconds = 0;

    MSGPACK_DEFINE(turn, program, previous, input, output, retention_seconds);
};

/// Tokens that a turn may have cost.
struct reservation {
    base::program_id program;
    turn_id turn;
    /// The most that the turn can cost; once settled, what it did cost.
    std::uint64_t tokens = 0;
    bool settled = false;
    /// Once settled: the back end that ran the turn, whose memory may hold its prompt; 0: none. A
    /// hint for the next turn; older nodes leave it out.
    dispatch::backend_key backend = 0;

    MSGPACK_DEFINE(program, turn, tokens, settled, backend);
};

/// Whether a chain of turns could be read at a member.
enum class chain_result : std::uint8_t {
    not_asked,
    found,
    /// Some turn of the chain is not at this member.
    absent,
    /// The turns are here, but the disk does not give them now.
    unreadable,
};

/// Reserves tokens for a turn, and reads what it goes on from.
struct reserve_request {
    reservation wanted;
    turn_id previous;
    bool wants_chain = false;
    /// What the asking node has under way at the back ends.
    dispatch::load_report load;
    view_stamp view;

    MSGPACK_DEFINE(wanted, previous, wants_chain, load, view);
};

struct reserve_reply {
    /// The member knows all that it has ever confirmed; a member with a new disk does not yet.
    bool is_complete = false;
    /// The program's reservations at this member, the asked one among them.
    std::vector<reservation> reservations;
    chain_result chain = chain_result::not_asked;
    std::string chain_text;
    dispatch::load_totals load;
    /// Nothing was done: the asker counts on voters of an older view. The group as the member knows
    /// it; without members where it knows only that there is a newer one.
    std::optional<directory::storage_view> newer;

    MSGPACK_DEFINE(is_complete, reservations, chain, chain_text, load, newer);
};

struct read_request {
    turn_id turn;
    /// Asks for the turns of the chain in place of their text.
    bool wants_records = false;
    view_stamp view;

    MSGPACK_DEFINE(turn, wants_records, view);
};

struct read_reply {
    bool is_complete = false;
    chain_result chain = chain_result::absent;
    std::string chain_text;
    /// The chain, oldest first, where the question asked for it.
    std::vector<turn_record> records;
    /// As in `reserve_reply`; a chain that is here is given all the same.
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
    /// Asks for no totals: the answer has none.
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

/// Asks another member for what it has stored after a point.
struct list_request {
    base::node_id asker;
    /// The disk that `after` belongs to; on another disk the listing begins at 0.
    disk_id disk;
    change_number after;

    MSGPACK_DEFINE(asker, disk, after);
};

struct list_reply {
    disk_id disk;
    bool is_complete = false;
    std::vector<turn_id> turns;
    std::vector<reservation> reservations;
    /// Ask again from here.
    change_number through;
    bool more = false;
    /// The newest voters that the answering member knows and has on its disk: from here on it
    /// confirms nothing to whoever counts on older ones.
    view_stamp view;

    MSGPACK_DEFINE(disk, is_complete, turns, reservations, through, more, view);
};

struct fetch_request {
    std::vector<turn_id> turns;

    MSGPACK_DEFINE(turns);
};

struct fetch_reply {
    std::vector<turn_record> records;

    MSGPACK_DEFINE(records);
};

/// Asks a member of another replica group what nodes have reported of their load.
struct load_pull_request {
    /// The answering process's life that `after` belongs to; of another life it begins at 0.
    std::uint64_t life = 0;
    std::uint64_t after = 0;

    MSGPACK_DEFINE(life, after);
};

struct load_pull_reply {
    std::uint64_t life = 0;
    /// Ask again from here.
    std::uint64_t through = 0;
    std::vector<dispatch::load_report> reports;

    MSGPACK_DEFINE(life, through, reports);
};

}  // namespace pearbarrow::turns

MSGPACK_ADD_ENUM(pearbarrow::turns::chain_result);
