#include "pearbarrow/turns/budget_check.h"

#include <numeric>

#include "pearbarrow/base/random.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;

namespace {

reservation of(const std::string& turn, std::uint64_t tokens, bool settled = false) {
    return {base::program_id("p"), turn_id(turn), tokens, settled};
}

}  // namespace

Test(budget_check, a_settled_entry_goes_before_a_reserved_one) {
    reservation_union known;
    known.add({of("a", 50)});
    known.add({of("a", 20, true)});
    known.add({of("a", 50)});
    cr_assert(known.total_without(turn_id("b")) == 20);
    cr_assert(known.total_without(turn_id("a")) == 0);
}

Test(budget_check, far_from_the_bound_one_look_is_enough) {
    reservation_union known;
    known.add({of("a", 20)});
    cr_assert(judge_first(known, of("b", 30), 100) == budget_verdict::fits);
    cr_assert(judge_first(known, of("b", 31), 100) == budget_verdict::look_again);
    cr_assert(judge_first(known, of("b", 81), 100) == budget_verdict::exceeded);
    cr_assert(judge_again(known, of("b", 80), 100) == budget_verdict::fits);
    cr_assert(judge_again(known, of("b", 81), 100) == budget_verdict::exceeded);
}

namespace {

/// One turn on its way through the members.
struct turn_progress {
    reservation wanted;
    reservation_union known;
    /// Members in the order in which they answer this turn.
    std::vector<std::size_t> order;
    std::size_t reserved = 0;
    std::size_t looked = 0;
    bool looking = false;
    bool ended = false;
    bool runs = false;
};

using member_reservations = std::vector<std::vector<reservation>>;

std::vector<std::size_t> shuffled(std::size_t count, base::random_source& random) {
    std::vector<std::size_t> order(count);
    std::iota(order.begin(), order.end(), 0);
    for (std::size_t place = count; place > 1; --place) {
        std::swap(order[place - 1], order[random.below(place)]);
    }
    return order;
}

/// The turn's next answer of a member.
void advance(turn_progress& turn, member_reservations& members, std::uint64_t budget) {
    const std::size_t majority = members.size() / 2 + 1;
    if (turn.looking) {
        turn.known.add(members[turn.order[turn.looked++]]);
        turn.ended = turn.looked == majority;
        turn.runs =
            turn.ended && judge_again(turn.known, turn.wanted, budget) == budget_verdict::fits;
        return;
    }
    auto& member = members[turn.order[turn.reserved++]];
    member.push_back(turn.wanted);
    turn.known.add(member);
    if (turn.reserved < majority) {
        return;
    }
    const auto verdict = judge_first(turn.known, turn.wanted, budget);
    turn.looking = verdict == budget_verdict::look_again;
    turn.ended = !turn.looking;
    turn.runs = verdict == budget_verdict::fits;
}

/// Tokens of all turns that may run, after one random interleaving.
std::uint64_t tokens_that_run(base::random_source& random, std::uint64_t budget) {
    member_reservations members(1 + random.below(5));
    std::vector<turn_progress> turns(2 + random.below(7));
    for (std::size_t index = 0; index < turns.size(); ++index) {
        turns[index].wanted = of("t" + std::to_string(index), 1 + random.below(60));
        turns[index].order = shuffled(members.size(), random);
    }
    std::size_t open = turns.size();
    while (open > 0) {
        turn_progress& turn = turns[random.below(turns.size())];
        if (!turn.ended) {
            advance(turn, members, budget);
            open -= turn.ended ? 1 : 0;
        }
    }
    std::uint64_t total = 0;
    for (const turn_progress& turn : turns) {
        total += turn.runs ? turn.wanted.tokens : 0;
    }
    return total;
}

}  // namespace

Test(budget_check, no_interleaving_of_reservations_passes_the_budget) {
    constexpr std::uint64_t interleavings = 50'000;
    for (std::uint64_t seed = 1; seed <= interleavings; ++seed) {
        base::random_source random(seed);
        const std::uint64_t budget = 10 + random.below(190);
        const std::uint64_t total = tokens_that_run(random, budget);
        cr_assert(total <= budget, "seed %lu: %lu tokens of %lu", seed, total, budget);
    }
}

Test(reservation_union, tells_which_back_end_ran_the_turn_before) {
    const auto ran = [](const std::string& turn, dispatch::backend_key backend) {
        return reservation{.program = base::program_id("p"),
                           .turn = turn_id(turn),
                           .tokens = 1,
                           .settled = backend != 0,
                           .backend = backend};
    };
    reservation_union known;
    cr_assert(known.backend_of(turn_id("1")) == 0);
    known.add({ran("1", 7), ran("2", 7), ran("3", 9), ran("4", 0)});
    cr_assert(known.backend_of(turn_id("3")) == 9);
    cr_assert(known.backend_of(turn_id("4")) == 7, "not settled yet: where most ran");
    cr_assert(known.backend_of(turn_id()) == 7);
}
