// Retries can't multiply the load, however many requests fail at once.
#include <functional>
#include <queue>
#include <vector>

#include "pearbarrow/node/retry_budget.h"

#include <criterion/criterion.h>

namespace pearbarrow::node {

namespace {

const base::instant start = base::instant{} + base::seconds(100);
const base::instant end = start + base::seconds(10);

/// Retries sent within ten seconds when all requests fail all the time and each is repeated 50 ms
/// after its last try, or when the budget lets it.
std::uint64_t storm(retry_budget_options options, std::uint64_t requests) {
    retry_budget budget(start, options);
    std::priority_queue<base::instant, std::vector<base::instant>, std::greater<>> tries;
    for (std::uint64_t request = 0; request < requests; ++request) {
        budget.first_try();
        tries.push(start);
    }
    std::uint64_t sent = 0;
    while (!tries.empty()) {
        const base::instant tried = tries.top();
        tries.pop();
        const base::instant next = tried + base::milliseconds(50) + budget.take(tried);
        if (next < end) {
            ++sent;
            tries.push(next);
        }
    }
    return sent;
}

}  // namespace

Test(retry_budget, a_storm_of_failures_adds_a_bounded_load) {
    constexpr std::uint64_t requests = 2'000;
    const std::uint64_t unbounded =
        storm({.for_each_first = 1e9, .each_second = 1e9, .most = 1e9}, requests);
    const std::uint64_t bounded =
        storm({.for_each_first = 0.2, .each_second = 20.0, .most = 200.0}, requests);
    cr_assert(unbounded > 100 * requests, "without a budget %lu retries",
              static_cast<unsigned long>(unbounded));
    cr_assert(bounded <= 200 + 10 * 20, "with it %lu", static_cast<unsigned long>(bounded));
    cr_assert(bounded >= 200, "what the budget allows must go out");
}

Test(retry_budget, a_few_retries_go_at_once_and_the_rest_in_line) {
    retry_budget budget(start, {.for_each_first = 0.5, .each_second = 10.0, .most = 2.0});
    cr_assert(budget.take(start).count() == 0 && budget.take(start).count() == 0);
    cr_assert(budget.take(start) == base::milliseconds(100));
    cr_assert(budget.take(start) == base::milliseconds(200));
    cr_assert(budget.delayed() == 2);
    cr_assert(budget.take(start + base::seconds(1)).count() == 0);
}

Test(retry_budget, first_tries_pay_for_retries) {
    retry_budget budget(start, {.for_each_first = 0.5, .each_second = 10.0, .most = 2.0});
    budget.take(start);
    budget.take(start);
    budget.first_try();
    budget.first_try();
    cr_assert(budget.take(start).count() == 0);
    cr_assert(budget.take(start).count() > 0);
}

}  // namespace pearbarrow::node
