#include "pearbarrow/node/replica_planner.h"

#include <algorithm>
#include <set>

#include "pearbarrow/node/change_budget.h"
#include "pearbarrow/node/replica_name.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::node;

namespace {

wire::journal_member member(const std::string& node, const std::string& store = "s") {
    return {base::node_id(node), store, 0};
}

repair_node alive(const std::string& node, const std::string& zone) {
    return {base::node_id(node), base::zone_name(zone), true, false};
}

/// Replicas on a, b and c, one a zone; d in c's zone.
shard_repair_view whole_set() {
    shard_repair_view view;
    view.assignment.region = base::region_name("r");
    for (const char* node : {"a", "b", "c"}) {
        view.assignment.replicas.push_back(replica_name(member(node)));
        view.nodes.push_back(alive(node, std::string("zone-") + node));
    }
    view.nodes.push_back(alive("d", "zone-c"));
    view.established = true;
    return view;
}

repair_node& node_named(shard_repair_view& view, const std::string& name) {
    return *std::find_if(view.nodes.begin(), view.nodes.end(),
                         [&](const auto& each) { return each.node.value() == name; });
}

void lose_node(shard_repair_view& view, const std::string& name) {
    node_named(view, name).usable = false;
    node_named(view, name).gone = true;
}

const repair_propose* proposal(const repair_step& step) {
    return std::get_if<repair_propose>(&step);
}

std::set<std::string> names(const config::shard_assignment& assignment) {
    std::set<std::string> result;
    for (const auto& replica : assignment.replicas) {
        result.insert(replica.value());
    }
    return result;
}

struct walk_result {
    std::vector<std::string> reasons;
    bool kept_the_rules = true;
    config::shard_assignment end;
};

/// Carries steps out until none is due. The owner crashes before step `crash_at`: what it knew
/// besides the configuration is lost, and the next owner has nothing established at first.
walk_result walk(shard_repair_view view, int crash_at,
                 const replica_planner_options& options = {}) {
    walk_result result;
    for (int count = 0; count < 20; ++count) {
        if (count == crash_at) {
            view.established = false;
            view.caught_up.clear();
            view.identities.clear();
        }
        const repair_step step = next_repair_step(view, options);
        if (const auto* question = std::get_if<repair_ask>(&step)) {
            view.identities[question->node] = member(question->node.value(), "new");
        } else if (const auto* next = proposal(step)) {
            const auto before = names(view.assignment);
            const auto after = names(next->assignment);
            std::vector<std::string> moved;
            std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(),
                                          std::back_inserter(moved));
            const bool added = after.size() > before.size();
            result.kept_the_rules =
                result.kept_the_rules && moved.size() <= 1 && (moved.empty() || view.established) &&
                (!added || view.caught_up.contains(*parse_replica_name(moved.front()))) &&
                next->assignment.epoch == view.assignment.epoch + moved.size();
            result.reasons.push_back(next->reason);
            view.established = moved.empty() && view.established;
            view.assignment = next->assignment;
        } else if (!view.established) {
            view.established = true;
        } else if (view.assignment.joining.has_value()) {
            view.caught_up.insert(*parse_replica_name(view.assignment.joining->value()));
        } else {
            break;
        }
    }
    result.end = view.assignment;
    return result;
}

const std::vector<std::string> replacement = {"replica_joins", "replica_added", "replica_removed"};

}  // namespace

Test(replica_planner, leaves_a_whole_set_alone) {
    cr_assert(next_repair_step(whole_set()) == repair_step(repair_nothing{}));
    auto view = whole_set();
    node_named(view, "c").usable = false;  // Dead, but not for long.
    cr_assert(next_repair_step(view) == repair_step(repair_nothing{}));
}

Test(replica_planner, replaces_a_node_that_is_gone_whatever_step_its_owner_dies_at) {
    auto view = whole_set();
    lose_node(view, "c");
    for (int crash_at = -1; crash_at < 12; ++crash_at) {
        const walk_result result = walk(view, crash_at);
        cr_assert(result.kept_the_rules, "crash before step %d", crash_at);
        cr_assert(result.reasons == replacement, "crash before step %d", crash_at);
        cr_assert((names(result.end) == std::set<std::string>{"a@s", "b@s", "d@new"}));
        cr_assert_eq(result.end.epoch, 3);
        cr_assert(!result.end.joining.has_value());
    }
}

Test(replica_planner, replaces_an_emptied_store_by_the_new_one_of_the_same_node) {
    auto view = whole_set();
    view.lost.insert(member("b"));
    const walk_result result = walk(view, -1);
    cr_assert(result.reasons == replacement);
    cr_assert((names(result.end) == std::set<std::string>{"a@s", "b@new", "c@s"}));
}

Test(replica_planner, has_a_corrupt_replica_reset_before_it_joins_again) {
    auto view = whole_set();
    view.lost.insert(member("b"));
    view.identities[base::node_id("b")] = member("b");
    cr_assert(next_repair_step(view) == repair_step(repair_reset{member("b")}));
}

Test(replica_planner, the_checks_see_a_planner_that_does_not_wait) {
    auto view = whole_set();
    lose_node(view, "c");
    replica_planner_options hasty;
    hasty.faults.ignore_catch_up = true;
    cr_assert(!walk(view, -1, hasty).kept_the_rules);
    replica_planner_options unestablished;
    unestablished.faults.ignore_established = true;
    cr_assert(!walk(view, -1, unestablished).kept_the_rules);
}

Test(replica_planner, prefers_a_zone_without_a_replica) {
    auto view = whole_set();
    lose_node(view, "c");
    for (int index = 0; index < 20; ++index) {
        view.nodes.push_back(alive("x" + std::to_string(index), "zone-a"));
    }
    cr_assert(next_repair_step(view) == repair_step(repair_ask{base::node_id("d")}));
    lose_node(view, "d");
    const repair_step step = next_repair_step(view);
    cr_assert(std::holds_alternative<repair_ask>(step));
}

Test(replica_planner, gives_a_newcomer_up_that_dies_or_is_not_needed_any_more) {
    auto view = whole_set();
    view.assignment.joining = replica_name(member("d"));
    repair_step step = next_repair_step(view);
    cr_assert(proposal(step) != nullptr && proposal(step)->reason == "joining_given_up");
    cr_assert_eq(proposal(step)->assignment.epoch, view.assignment.epoch);
    lose_node(view, "c");
    cr_assert(next_repair_step(view) == repair_step(repair_nothing{}));
    node_named(view, "d").usable = false;
    step = next_repair_step(view);
    cr_assert(proposal(step) != nullptr && proposal(step)->reason == "joining_given_up");
}

Test(replica_planner, grows_to_three_only_when_three_disks_are_there) {
    auto view = whole_set();
    view.assignment.replicas.resize(1);
    view.nodes.resize(2);
    cr_assert(next_repair_step(view) == repair_step(repair_nothing{}));
    view.nodes.push_back(alive("c", "zone-c"));
    const walk_result result = walk(view, -1);
    cr_assert(result.kept_the_rules);
    cr_assert((names(result.end) == std::set<std::string>{"a@s", "b@new", "c@new"}));
}

Test(change_budget, refills_one_at_a_time) {
    change_budget budget(2, base::milliseconds(100));
    base::instant now{};
    now += base::milliseconds(1'000);
    cr_assert(budget.take(now) && budget.take(now) && !budget.take(now));
    now += base::milliseconds(150);
    cr_assert(budget.take(now) && !budget.take(now));
    now += base::milliseconds(50);
    cr_assert(budget.take(now) && !budget.take(now));
    now += base::milliseconds(10'000);
    cr_assert(budget.take(now) && budget.take(now) && !budget.take(now));
}
