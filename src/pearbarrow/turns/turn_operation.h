/// Types shared by the steps of a turn at the storage members.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_report.h"
#include "pearbarrow/turns/preparation_window.h"
#include "pearbarrow/turns/turn_types.h"

namespace pearbarrow::turns {

struct admission_options {
    window_options window;
    /// Maximum time that a turn is queued before its preparation begins. Together with the timeout
    /// of the preparation it is below the shortest timeout that callers give a turn.
    base::milliseconds max_queue_time{1'000};
    /// Maximum queue time once the queue has been non-empty for `overload_threshold`. More turns
    /// then arrive than the members can handle, and a queue as long as a program's slack would make
    /// every program late.
    base::milliseconds max_queue_time_when_overloaded{300};
    base::milliseconds overload_threshold{1'000};
    /// Time for which the reduced limit stays in effect.
    base::milliseconds overload_memory{1'000};
    /// Bounds of the retry delay returned with a rejected turn.
    base::milliseconds min_retry_after{100};
    base::milliseconds max_retry_after{1'000};
};

struct client_options {
    /// Sends this node's load to the members and receives the load of other nodes. Null disables
    /// both.
    dispatch::load_exchange* loads = nullptr;
    std::string zone;
    /// Timeout for the members to confirm a reservation.
    base::milliseconds reserve_timeout{1'500};
    /// Delay before a request to a member is retried after a failure.
    base::milliseconds retry_interval{150};
    /// Timeout of one request to one member. It equals the timeout of a preparation because a
    /// member may be overloaded and each retransmission adds work for it. Requests that store a
    /// turn are retransmitted with exponentially increasing timeouts.
    base::milliseconds call_timeout{1'500};
    /// How long a write that a majority has confirmed continues for the other members.
    base::milliseconds minority_timeout{4'000};
    /// If a member has not returned the chain after this time, the other members are queried too.
    base::milliseconds chain_patience{60};
    admission_options admission;
};

/// Parameters of the preparation of a turn.
struct turn_request {
    reservation wanted;
    std::uint64_t budget = 0;
    /// The turn that this one continues; empty if there is none or the prompt is complete.
    turn_id previous;
    /// The request whose stream this one resumes; empty if there is none.
    turn_id resumed;
    /// Deadline of the turn's program.
    base::instant deadline = base::instant::max();
};

/// Result of the preparation of a turn.
enum class turn_outcome {
    /// The reservation is confirmed, and `chain_text` is the beginning of the prompt.
    may_run,
    budget_exceeded,
    /// The previous turn certainly does not exist.
    no_such_turn,
    /// Too few members replied in time.
    unavailable,
    /// The members are overloaded; no request was sent to them.
    overloaded,
};

std::string_view to_string(turn_outcome outcome);

inline constexpr char no_reply_reason[] = "no_reply";
/// Returns the reason of an error for logs; its code if it has none.
std::string failure_reason(const absl::Status& status);

/// What one member had done when an operation ended without enough replies.
struct member_progress {
    base::node_id member;
    /// `done`, `incomplete` (the member lacks data), `no_reply` to the last request, or the reason
    /// of its last error. Empty if the member was not asked to reserve tokens.
    std::string reservation;
    /// `found`, `absent`, `partial`, `unreadable`, `incomplete`, `no_reply` or the reason of the
    /// last error. Empty if the member was not asked for the chain.
    std::string chain;
    /// Time for which the member has replied to none of this node's calls; empty if unknown or if
    /// it has replied to the last one.
    std::optional<base::milliseconds> silence;
};

/// An earlier attempt of a request, as the storage members know it.
struct recorded_attempt {
    reservation reserved;
    /// Time since it was reserved; 0 if the members do not know it.
    base::milliseconds age{0};
};

struct prepared_turn {
    turn_outcome outcome = turn_outcome::unavailable;
    std::string chain_text;
    /// The turns of the chain, if another replica group stores them. They are stored together with
    /// the new turn, so that the program's own group has its whole chain.
    std::vector<turn_record> copied_records;
    /// Tokens of the program's other turns, for logs.
    std::uint64_t other_tokens = 0;
    /// The back end that executed the previous turn; 0 if unknown.
    dispatch::backend_key previous_backend = 0;
    /// Reservation of the request whose stream this one resumes. If the turn may run and this is
    /// empty, no such request of the program exists.
    std::optional<reservation> resumed;
    /// Time since that request was reserved, if its reservation is open and provisional; 0 if the
    /// members do not know it.
    base::milliseconds resumed_age{0};
    /// The other reservations of the program with the content of this one.
    std::vector<recorded_attempt> same_content;
    std::size_t members_answered = 0;
    /// What each member had done. Set only if the outcome is `unavailable`.
    std::vector<member_progress> progress;
    /// Number of members that lack an earlier turn of the chain.
    std::size_t partial_chains = 0;
    std::uint64_t view_revision = 0;
    /// Whether reservations were sent to the members.
    bool was_sent = false;
    /// Time spent in the queue before the preparation began.
    base::microseconds queue_time{0};
    /// Retry delay of a rejected turn; 0 if unknown.
    base::milliseconds retry_after{0};
};

/// An operation in progress. Destroying it cancels it without running its callback.
class turn_operation {
  public:
    virtual ~turn_operation() = default;
    /// Returns whether a member may have received a request of this operation.
    virtual bool has_begun() const { return true; }
};

/// Returns the members that are not retiring.
std::vector<directory::storage_member> voters_of(const directory::storage_view& view);

}  // namespace pearbarrow::turns
