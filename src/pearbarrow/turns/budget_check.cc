#include "pearbarrow/turns/budget_check.h"

#include <algorithm>

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

std::size_t reservation_union::turns_without(const turn_id& except) const {
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [&](const auto& item) { return item.first != except && item.second.tokens > 0; }));
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
