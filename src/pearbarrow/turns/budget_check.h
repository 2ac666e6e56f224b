/// Whether a turn may be run within its program's budget, judged from what members confirmed.
///
/// Every turn first reserves the most that it can cost on a majority of members, then judges by the
/// union of what complete members know. Of two turns that reserved at the same time at least one
/// sees the other, as their majorities meet in a member; among several, one sees at least half of
/// the others. So a total of at most half of the budget needs no second look. Above that the turn
/// reads the reservations again: whichever turn was the last to reserve then sees all others.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "pearbarrow/turns/turn_types.h"

namespace pearbarrow::turns {

enum class budget_verdict {
    fits,
    /// Close to the bound: read the reservations again, then judge by `judge_again`.
    look_again,
    exceeded,
};

/// Joins what members know: a settled entry goes before one that is not.
class reservation_union {
  public:
    void add(const std::vector<reservation>& reservations);
    /// Tokens of all turns but `except`.
    std::uint64_t total_without(const turn_id& except) const;
    /// The back end that ran the turn, or, where that isn't known, most of the turns; 0: none is.
    dispatch::backend_key backend_of(const turn_id& turn) const;

  private:
    std::map<turn_id, reservation> entries_;
};

budget_verdict judge_first(const reservation_union& known, const reservation& wanted,
                           std::uint64_t budget);
/// After the second look; never `look_again`.
budget_verdict judge_again(const reservation_union& known, const reservation& wanted,
                           std::uint64_t budget);

}  // namespace pearbarrow::turns
