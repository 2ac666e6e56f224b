/// Decides whether a turn fits into its program's token budget, based on the reservations that
/// storage members have confirmed.
///
/// Every turn first reserves its maximum cost on a majority of members, and is then checked against
/// the union of the reservations that complete members know. Any two majorities share a member, so
/// of two turns that reserve concurrently at least one sees the other, and among several turns one
/// sees at least half of the others. A total of at most half of the budget therefore needs no
/// second check. Above that, the turn reads the reservations again: the turn that reserved last
/// then sees all others.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "pearbarrow/turns/turn_types.h"

namespace pearbarrow::turns {

enum class budget_verdict {
    fits,
    /// The total is too close to the budget: read the reservations again and call `check_reread`.
    needs_reread,
    exceeded,
};

/// Union of the reservations known to several members, merged by `supersedes`.
class reservation_union {
  public:
    void add(const std::vector<reservation>& reservations);
    /// Returns the reservation of the turn, or null if no member knows one.
    const reservation* find(const turn_id& turn) const;
    /// Returns the reservations of other turns with the same content, if that is known.
    std::vector<reservation> others_with_content(const reservation& wanted) const;
    /// Returns the sum of tokens over all turns except `except`.
    std::uint64_t total_without(const turn_id& except) const;
    /// Returns the back end that executed the turn or, if that is unknown, the one that executed
    /// most of the program's turns; 0 if none is known.
    dispatch::backend_key backend_of(const turn_id& turn) const;

  private:
    std::map<turn_id, reservation> entries_;
};

budget_verdict check_reserved(const reservation_union& known, const reservation& wanted,
                              std::uint64_t budget);
/// Checks the budget after the reservations were read again; never returns `needs_reread`.
budget_verdict check_reread(const reservation_union& known, const reservation& wanted,
                            std::uint64_t budget);

}  // namespace pearbarrow::turns
