#include "pearbarrow/turns/budget_check.h"

namespace pearbarrow::turns {

void reservation_union::add(const std::vector<reservation>& reservations) {
    for (const reservation& value : reservations) {
        const auto [held, inserted] = entries_.emplace(value.turn, value);
        if (!inserted && value.settled && !held->second.settled) {
            held->second = value;
        }
    }
}

std::uint64_t reservation_union::total_without(const turn_id& except) const {
    std::uint64_t total = 0;
    for (const auto& [turn, value] : entries_) {
        if (turn != except) {
            total += value.tokens;
        }
    }
    return total;
}

budget_verdict judge_first(const reservation_union& known, const reservation& wanted,
                           std::uint64_t budget) {
    const std::uint64_t total = known.total_without(wanted.turn) + wanted.tokens;
    if (total > budget) {
        return budget_verdict::exceeded;
    }
    return total * 2 > budget ? budget_verdict::look_again : budget_verdict::fits;
}

budget_verdict judge_again(const reservation_union& known, const reservation& wanted,
                           std::uint64_t budget) {
    const std::uint64_t total = known.total_without(wanted.turn) + wanted.tokens;
    return total > budget ? budget_verdict::exceeded : budget_verdict::fits;
}

}  // namespace pearbarrow::turns
