#include "pearbarrow/turns/budget_check.h"

#include <algorithm>

namespace pearbarrow::turns {

namespace {

int rank_of(attempt_doubt doubt) {
    switch (doubt) {
        case attempt_doubt::none:
            return 0;
        case attempt_doubt::given_up:
            return 1;
        case attempt_doubt::possible_end:
            return 2;
    }
    return 0;
}

}  // namespace

bool supersedes(const reservation& next, const reservation& held) {
    if (next.settled != held.settled) {
        return next.settled;
    }
    if (next.settled) {
        return rank_of(next.doubt) < rank_of(held.doubt);
    }
    const auto choice_of = [](const reservation& value) {
        return value.software.has_value() ? value.software->choice : 0;
    };
    return choice_of(next) > choice_of(held);
}

void reservation_union::add(const std::vector<reservation>& reservations) {
    for (const reservation& value : reservations) {
        const auto [existing, inserted] = entries_.emplace(value.turn, value);
        if (!inserted && supersedes(value, existing->second)) {
            existing->second = value;
        }
    }
}

const reservation* reservation_union::find(const turn_id& turn) const {
    const auto found = entries_.find(turn);
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<reservation> reservation_union::others_with_content(const reservation& wanted) const {
    std::vector<reservation> others;
    for (const auto& [turn, value] : entries_) {
        if (wanted.content != 0 && value.content == wanted.content && turn != wanted.turn) {
            others.push_back(value);
        }
    }
    return others;
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

dispatch::backend_key reservation_union::backend_of(const turn_id& turn) const {
    if (const auto found = entries_.find(turn); found != entries_.end()) {
        if (found->second.backend != 0) {
            return found->second.backend;
        }
    }
    std::map<dispatch::backend_key, std::size_t> counts;
    for (const auto& [other, value] : entries_) {
        if (value.backend != 0) {
            ++counts[value.backend];
        }
    }
    const auto most_frequent = std::max_element(
        counts.begin(), counts.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    return most_frequent == counts.end() ? 0 : most_frequent->first;
}

budget_verdict check_reserved(const reservation_union& known, const reservation& wanted,
                              std::uint64_t budget) {
    const std::uint64_t total = known.total_without(wanted.turn) + wanted.tokens;
    if (total > budget) {
        return budget_verdict::exceeded;
    }
    return total * 2 > budget ? budget_verdict::needs_reread : budget_verdict::fits;
}

budget_verdict check_reread(const reservation_union& known, const reservation& wanted,
                            std::uint64_t budget) {
    const std::uint64_t total = known.total_without(wanted.turn) + wanted.tokens;
    return total > budget ? budget_verdict::exceeded : budget_verdict::fits;
}

}  // namespace pearbarrow::turns
