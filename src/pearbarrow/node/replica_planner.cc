#include "pearbarrow/node/replica_planner.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/node/replica_name.h"

namespace pearbarrow::node {

namespace {

class planner {
  public:
    planner(const shard_repair_view& view, const replica_planner_options& options,
            std::vector<wire::journal_member> members)
        : view_(view), options_(options), members_(std::move(members)) {}

    repair_step next() const {
        if (!view_.established && !options_.faults.ignore_established) {
            return repair_nothing{};
        }
        if (members_.size() > options_.replicas) {
            return remove_one();
        }
        if (view_.assignment.joining.has_value()) {
            return follow_joining(*view_.assignment.joining);
        }
        return healthy().size() < options_.replicas ? find_newcomer() : repair_nothing{};
    }

  private:
    const repair_node* node_of(const wire::journal_member& member) const {
        const auto found =
            std::find_if(view_.nodes.begin(), view_.nodes.end(),
                         [&](const repair_node& each) { return each.node == member.node; });
        return found == view_.nodes.end() ? nullptr : &*found;
    }

    bool is_bad(const wire::journal_member& member) const {
        const repair_node* node = node_of(member);
        return view_.lost.contains(member) || (node != nullptr && node->gone);
    }

    std::vector<wire::journal_member> healthy() const {
        std::vector<wire::journal_member> result;
        std::copy_if(members_.begin(), members_.end(), std::back_inserter(result),
                     [this](const auto& member) { return !is_bad(member); });
        return result;
    }

    config::shard_assignment next_epoch() const {
        config::shard_assignment assignment = view_.assignment;
        ++assignment.epoch;
        assignment.joining.reset();
        return assignment;
    }

    /// The replica that is missed least: lost, gone, not usable now, second in its zone, first in
    /// the list.
    repair_step remove_one() const {
        const auto weakness = [this](const wire::journal_member& member) {
            const repair_node* node = node_of(member);
            const bool unusable = node == nullptr || !node->usable;
            return std::tuple(view_.lost.contains(member), node != nullptr && node->gone, unusable,
                              shares_zone(member));
        };
        const auto weakest = std::max_element(
            members_.begin(), members_.end(),
            [&](const auto& left, const auto& right) { return weakness(left) < weakness(right); });
        config::shard_assignment assignment = next_epoch();
        assignment.replicas.erase(assignment.replicas.begin() + (weakest - members_.begin()));
        return repair_propose{std::move(assignment), "replica_removed"};
    }

    bool shares_zone(const wire::journal_member& member) const {
        const repair_node* node = node_of(member);
        return node != nullptr &&
               std::any_of(members_.begin(), members_.end(), [&](const auto& other) {
                   const repair_node* its_node = node_of(other);
                   return other != member && its_node != nullptr && its_node->zone == node->zone;
               });
    }

    repair_step follow_joining(const base::node_id& name) const {
        const auto member = parse_replica_name(name.value());
        const repair_node* node = member.has_value() ? node_of(*member) : nullptr;
        const bool able = node != nullptr && node->usable && !view_.lost.contains(*member);
        if (!able || healthy().size() >= options_.replicas) {
            config::shard_assignment assignment = view_.assignment;
            assignment.joining.reset();
            return repair_propose{std::move(assignment), "joining_given_up"};
        }
        if (!view_.caught_up.contains(*member) && !options_.faults.ignore_catch_up) {
            return repair_nothing{};
        }
        config::shard_assignment assignment = next_epoch();
        assignment.replicas.push_back(name);
        return repair_propose{std::move(assignment), "replica_added"};
    }

    /// Nodes that can step in, best first: those in zones without a healthy replica, then in the
    /// shard's rendezvous order.
    std::vector<base::node_id> candidates() const {
        std::set<base::node_id> taken;
        std::set<base::zone_name> zones;
        for (const wire::journal_member& member : healthy()) {
            taken.insert(member.node);
            if (const repair_node* node = node_of(member)) {
                zones.insert(node->zone);
            }
        }
        const std::string key = fmt::format("repair/{}", view_.assignment.shard.value());
        std::vector<std::tuple<bool, double, base::node_id>> ranked;
        for (const repair_node& each : view_.nodes) {
            if (each.usable && !taken.contains(each.node)) {
                ranked.emplace_back(zones.contains(each.zone),
                                    -membership::rendezvous_score(key, each.node, 1.0), each.node);
            }
        }
        std::sort(ranked.begin(), ranked.end());
        std::vector<base::node_id> result;
        std::transform(ranked.begin(), ranked.end(), std::back_inserter(result),
                       [](const auto& item) { return std::get<2>(item); });
        return result;
    }

    /// A set grows only if it can reach its full size: two replicas are no safer to live with than
    /// one, since both must answer.
    repair_step find_newcomer() const {
        const std::vector<base::node_id> able = candidates();
        if (able.empty() || healthy().size() + able.size() < options_.replicas) {
            return repair_nothing{};
        }
        const auto identity = view_.identities.find(able.front());
        if (identity == view_.identities.end()) {
            return repair_ask{able.front()};
        }
        const wire::journal_member& member = identity->second;
        if (std::find(members_.begin(), members_.end(), member) != members_.end()) {
            return repair_reset{member};
        }
        config::shard_assignment assignment = view_.assignment;
        assignment.joining = replica_name(member);
        return repair_propose{std::move(assignment), "replica_joins"};
    }

    const shard_repair_view& view_;
    const replica_planner_options& options_;
    std::vector<wire::journal_member> members_;
};

}  // namespace

repair_step next_repair_step(const shard_repair_view& view,
                             const replica_planner_options& options) {
    auto set = replica_set_of(view.assignment);
    if (!set.has_value()) {
        return repair_nothing{};
    }
    return planner(view, options, std::move(set->members)).next();
}

}  // namespace pearbarrow::node
