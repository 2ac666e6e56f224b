/// What the steps of a turn on the storage members have in common.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_report.h"
#include "pearbarrow/turns/turn_types.h"

namespace pearbarrow::turns {

struct client_options {
    /// Tells the members of this node's load, and takes what they know of the others'; null:
    /// neither.
    dispatch::load_exchange* loads = nullptr;
    std::string zone;
    /// Longest time for the members to confirm a reservation.
    base::milliseconds reserve_timeout{1'500};
    /// Before a member that failed is asked again.
    base::milliseconds retry_interval{150};
    /// Longest time of one question to one member.
    base::milliseconds call_timeout{1'000};
    /// A member that does not give the chain within this time is helped by the others.
    base::milliseconds chain_patience{60};
};

/// What a turn needs before it may run.
struct turn_request {
    reservation wanted;
    std::uint64_t budget = 0;
    /// Empty: the turn goes on from none, or its prompt is whole.
    turn_id previous;
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
};

std::string_view to_string(turn_outcome outcome);

struct prepared_turn {
    turn_outcome outcome = turn_outcome::unavailable;
    std::string chain_text;
    /// For logs: tokens of the program's other turns, and members that answered.
    std::uint64_t other_tokens = 0;
    std::size_t members_answered = 0;
    std::uint64_t view_revision = 0;
};

/// A step under way. Destroying it ends it without a callback.
class turn_operation {
  public:
    virtual ~turn_operation() = default;
};

/// Members that count: those that are not about to leave.
std::vector<directory::storage_member> voters_of(const directory::storage_view& view);

}  // namespace pearbarrow::turns
