/// What the steps of a turn on the storage members have in common.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_report.h"
#include "pearbarrow/turns/preparation_window.h"
#include "pearbarrow/turns/turn_types.h"

namespace pearbarrow::turns {

struct admission_options {
    window_options window;
    /// Longest time that a turn waits before the members are asked. With the preparation's own
    /// bound it stays below the shortest time that callers give a turn.
    base::milliseconds longest_wait{1'000};
    /// The same once turns have waited without a break for `crowded_for`: then more come than the
    /// members can take, and a line as long as a program's slack makes everybody late.
    base::milliseconds wait_when_crowded{300};
    base::milliseconds crowded_for{1'000};
    /// How long that is held against those that come.
    base::milliseconds crowded_memory{1'000};
    /// Bounds of what a turn that is turned away is told.
    base::milliseconds least_retry_after{100};
    base::milliseconds most_retry_after{1'000};
};

struct client_options {
    /// Tells the members of this node's load, and takes what they know of the others'; null:
    /// neither.
    dispatch::load_exchange* loads = nullptr;
    std::string zone;
    /// Longest time for the members to confirm a reservation.
    base::milliseconds reserve_timeout{1'500};
    /// Before a member that failed is asked again.
    base::milliseconds retry_interval{150};
    /// Longest time of one question to one member: as long as a preparation may take, since the
    /// member may be behind, and each copy of a question is work for it. A turn that is stored is
    /// told again, each time with twice as long.
    base::milliseconds call_timeout{1'500};
    /// A member that does not give the chain within this time is helped by the others.
    base::milliseconds chain_patience{60};
    admission_options admission;
};

/// What a turn needs before it may run.
struct turn_request {
    reservation wanted;
    std::uint64_t budget = 0;
    /// Empty: the turn goes on from none, or its prompt is whole.
    turn_id previous;
    /// When the turn's program should be over: until then it can be in time.
    base::instant aim = base::instant::max();
};

/// How the preparation of a turn ended.
enum class turn_outcome {
    /// The reservation is confirmed, and `chain_text` is what the prompt begins with.
    may_run,
    budget_exceeded,
    /// The turn that this one goes on from does not exist, for certain.
    no_such_turn,
    /// Too few members answered in time.
    unavailable,
    /// The members have too much to do: they were not asked.
    overloaded,
};

std::string_view to_string(turn_outcome outcome);

struct prepared_turn {
    turn_outcome outcome = turn_outcome::unavailable;
    std::string chain_text;
    /// The chain's turns where another replica group holds them; stored with the turn, so that the
    /// program's own group has all that its turns go on from.
    std::vector<turn_record> copied;
    /// For logs: tokens of the program's other turns, and members that answered.
    std::uint64_t other_tokens = 0;
    /// The back end that ran the turn before this one; 0: not known.
    dispatch::backend_key earlier_backend = 0;
    std::size_t members_answered = 0;
    std::uint64_t view_revision = 0;
    /// Members were asked to reserve.
    bool was_asked = false;
    /// Before they were asked.
    base::microseconds waited{0};
    /// When a turn that was not asked for may come back; 0: not known.
    base::milliseconds retry_after{0};
};

/// A step under way. Destroying it ends it without a callback.
class turn_operation {
  public:
    virtual ~turn_operation() = default;
    /// Whether a member may have heard of it.
    virtual bool has_begun() const { return true; }
};

/// Members that count: those that are not about to leave.
std::vector<directory::storage_member> voters_of(const directory::storage_view& view);

}  // namespace pearbarrow::turns
