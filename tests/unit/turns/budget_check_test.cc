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

Test(budget_check, settled_entry_replaces_reserved_one) {
    reservation_union known;
    known.add({of("a", 50)});
    known.add({of("a", 20, true)});
    known.add({of("a", 50)});
    cr_assert(known.total_without(turn_id("b")) == 20);
    cr_assert(known.total_without(turn_id("a")) == 0);
}

Test(budget_check, doubt_about_a_settled_attempt_only_decreases) {
    const auto in_doubt = [](attempt_doubt doubt) {
        reservation value = of("a", 10, true);
        value.doubt = doubt;
        return value;
    };
    const std::vector<attempt_doubt> order{attempt_doubt::none, attempt_doubt::given_up,
                                           attempt_doubt::possible_end};
    for (std::size_t next = 0; next < order.size(); ++next) {
        for (std::size_t held = 0; held < order.size(); ++held) {
            cr_assert(supersedes(in_doubt(order[next]), in_doubt(order[held])) == (next < held));
        }
        cr_assert(supersedes(in_doubt(order[next]), of("a", 50)));
    }
}

Test(budget_check, other_reservations_with_the_same_content_are_found) {
    const auto with_content = [](const std::string& turn, std::uint64_t content) {
        reservation value = of(turn, 10);
        value.content = content;
        return value;
    };
    reservation_union known;
    known.add({with_content("a", 7), with_content("b", 8), with_content("c", 7), of("d", 10)});
    const auto others = known.others_with_content(with_content("c", 7));
    cr_assert(others.size() == 1 && others.front().turn == turn_id("a"));
    cr_assert(known.others_with_content(of("e", 10)).empty());
}

Test(budget_check, total_of_at_most_half_the_budget_needs_no_reread) {
    reservation_union known;
    known.add({of("a", 20)});
    cr_assert(check_reserved(known, of("b", 30), 100) == budget_verdict::fits);
    cr_assert(check_reserved(known, of("b", 31), 100) == budget_verdict::needs_reread);
    cr_assert(check_reserved(known, of("b", 81), 100) == budget_verdict::exceeded);
    cr_assert(check_reread(known, of("b", 80), 100) == budget_verdict::fits);
    cr_assert(check_reread(known, of("b", 81), 100) == budget_verdict::exceeded);
}

namespace {

/// State of one turn while it reserves and rereads at the members.
struct turn_progress {
    reservation wanted;
    reservation_union known;
    /// Members in the order of their replies to this turn.
    std::vector<std::size_t> order;
    std::size_t reserved = 0;
    std::size_t reread_replies = 0;
    bool is_rereading = false;
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

/// Processes the next reply of a member to the turn.
void advance(turn_progress& turn, member_reservations& members, std::uint64_t budget) {
    const std::size_t majority = members.size() / 2 + 1;
    if (turn.is_rereading) {
        turn.known.add(members[turn.order[turn.reread_replies++]]);
        turn.ended = turn.reread_replies == majority;
        turn.runs =
            turn.ended && check_reread(turn.known, turn.wanted, budget) == budget_verdict::fits;
        return;
    }
    auto& member = members[turn.order[turn.reserved++]];
    member.push_back(turn.wanted);
    turn.known.add(member);
    if (turn.reserved < majority) {
        return;
    }
    const auto verdict = check_reserved(turn.known, turn.wanted, budget);
    turn.is_rereading = verdict == budget_verdict::needs_reread;
    turn.ended = !turn.is_rereading;
    turn.runs = verdict == budget_verdict::fits;
}

/// Returns the tokens of all turns that may run after one random interleaving.
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

Test(budget_check, no_interleaving_of_reservations_exceeds_the_budget) {
    constexpr std::uint64_t interleavings = 50'000;
    for (std::uint64_t seed = 1; seed <= interleavings; ++seed) {
        base::random_source random(seed);
        const std::uint64_t budget = 10 + random.below(190);
        const std::uint64_t total = tokens_that_run(random, budget);
        cr_assert(total <= budget, "seed %lu: %lu tokens of %lu", seed, total, budget);
    }
}

Test(reservation_union, returns_back_end_that_executed_previous_turn) {
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
    cr_assert(known.backend_of(turn_id("4")) == 7, "not settled yet: the most frequent back end");
    cr_assert(known.backend_of(turn_id()) == 7);
}

namespace {

reservation at_version(const std::string& version, std::uint32_t choice, bool settled = false) {
    reservation value = of("a", 10, settled);
    value.software = stream_software{
        .service = "model", .version = {.name = version, .is_known = true}, .choice = choice};
    return value;
}

}  // namespace

Test(reservation_union, latest_choice_of_software_applies_in_any_order) {
    for (const bool is_reversed : {false, true}) {
        reservation_union known;
        known.add({at_version(is_reversed ? "v2" : "v1", is_reversed ? 2 : 1)});
        known.add({at_version(is_reversed ? "v1" : "v2", is_reversed ? 1 : 2)});
        cr_assert(known.find(turn_id("a"))->software->version.name == "v2");
    }
    cr_assert(reservation_union().find(turn_id("a")) == nullptr);
}

Test(reservation_union, choice_of_software_does_not_change_after_settlement) {
    reservation_union known;
    known.add({at_version("v1", 1, true)});
    known.add({at_version("v2", 2)});
    cr_assert(known.find(turn_id("a"))->software->version.name == "v1");
}
