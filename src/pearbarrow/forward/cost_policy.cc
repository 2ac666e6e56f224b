// The choice by expected time: reading, waiting, generating and the way there, in one unit.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/forward/choice_policy.h"

namespace pearbarrow::forward {
namespace {

class cost_policy final : public choice_policy {
  public:
    cost_policy(cost_policy_options options, std::unique_ptr<choice_policy> plain)
        : options(std::move(options)), plain(std::move(plain)) {}

    ranked_choice choose(std::span<const choice_candidate> candidates,
                         const choice_question& question) override;

  private:
    /// Places of the candidates in the key's order, each among those of its own zone.
    std::vector<std::size_t> ranks(std::span<const choice_candidate> candidates,
                                   const choice_question& question) const;
    /// How many of the own zone are weighed.
    std::size_t depth(std::span<const choice_candidate> candidates) const;
    double believed_tokens(const choice_candidate& item, std::size_t rank, bool is_told,
                           const choice_question& question) const;
    double distance_share(const choice_candidate& item) const;
    choice_cost cost_of(const choice_candidate& item, double believed,
                        const choice_question& question) const;

    cost_policy_options options;
    std::unique_ptr<choice_policy> plain;
};

std::vector<std::size_t> cost_policy::ranks(std::span<const choice_candidate> candidates,
                                            const choice_question& question) const {
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    std::vector<std::size_t> order;
    order.reserve(candidates.size());
    for (const choice_candidate& item : candidates) {
        weights.push_back(base::stable_hash(question.affinity_key, base::stable_hash(item.id)));
        order.push_back(order.size());
    }
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return std::tie(candidates[left].zone, weights[right]) <
               std::tie(candidates[right].zone, weights[left]);
    });
    std::vector<std::size_t> ranks(candidates.size());
    for (std::size_t place = 1; place < order.size(); ++place) {
        const bool same_zone = candidates[order[place]].zone == candidates[order[place - 1]].zone;
        ranks[order[place]] = same_zone ? ranks[order[place - 1]] + 1 : 0;
    }
    return ranks;
}

double cost_policy::distance_share(const choice_candidate& item) const {
    if (item.region != this->options.region) {
        return this->options.other_region_share;
    }
    return item.zone == this->options.zone ? 1.0 : this->options.other_zone_share;
}

double cost_policy::believed_tokens(const choice_candidate& item, std::size_t rank, bool is_told,
                                    const choice_question& question) const {
    const double most = static_cast<double>(question.prompt_tokens) * this->options.believed_share;
    if (is_told) {
        return item.ran_earlier ? most : 0;
    }
    if (question.affinity_key.empty()) {
        return 0;
    }
    const double by_order =
        most * std::exp2(-static_cast<double>(rank)) * this->distance_share(item);
    return question.begins ? by_order * this->options.first_share : by_order;
}

choice_cost cost_policy::cost_of(const choice_candidate& item, double believed,
                                 const choice_question& question) const {
    const double own = static_cast<double>(question.prompt_tokens) - believed;
    const double held_up = own * item.requests * this->options.others_share;
    const double opening = item.is_connected ? 0 : item.round_trip_us + this->options.connection_us;
    return {.reading = (item.unread_tokens + own + held_up) * question.read_us,
            .queue = item.queue_us,
            .generating = item.generating_us,
            .way = item.round_trip_us + opening};
}

/// All nodes hear late of what the others send. Each request weighs few back ends, and not those
/// that the next one weighs, so that they don't all go to the one that was idle a moment ago: with
/// all 54 of a simulated fleet weighed and reports a second late, under 0.01 of the programs of a
/// burst ended in time; with the first of each zone, and turns that move only where it saves a
/// third, 0.97 (worst zone, one seed).
std::size_t cost_policy::depth(std::span<const choice_candidate> candidates) const {
    std::set<std::string_view> zones;
    for (const choice_candidate& item : candidates) {
        zones.insert(item.zone);
    }
    const std::size_t others = zones.size() - zones.count(this->options.zone);
    return std::max<std::size_t>(
        1, this->options.least_weighed - std::min(this->options.least_weighed, others));
}

ranked_choice cost_policy::choose(std::span<const choice_candidate> candidates,
                                  const choice_question& question) {
    if (question.prompt_tokens == 0) {
        return this->plain->choose(candidates, question);
    }
    const std::vector<std::size_t> ranks = this->ranks(candidates, question);
    const std::size_t depth = this->depth(candidates);
    const bool is_told = std::any_of(candidates.begin(), candidates.end(),
                                     [](const choice_candidate& item) { return item.ran_earlier; });
    ranked_choice best;
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const choice_candidate& item = candidates[index];
        const bool is_weighed = item.ran_earlier || item.is_reused || ranks[index] == 0 ||
                                (item.zone == this->options.zone && ranks[index] < depth);
        if (!is_weighed) {
            continue;
        }
        const std::size_t rank = item.is_reused ? 0 : ranks[index];
        const double believed = this->believed_tokens(item, rank, is_told, question);
        const choice_cost cost = this->cost_of(item, believed, question);
        const double total =
            cost.total() * (is_told && !item.ran_earlier ? this->options.move_factor : 1);
        if (total < least) {
            least = total;
            // What a later turn will find is nothing that this one need not read.
            const double kept = question.begins ? 0 : believed;
            best = {.index = index,
                    .reason = choice_reason::least_cost,
                    .cost = cost,
                    .unread_tokens = static_cast<double>(question.prompt_tokens) - kept};
        }
    }
    return best;
}

}  // namespace

std::unique_ptr<choice_policy> make_cost_policy(cost_policy_options options,
                                                std::unique_ptr<choice_policy> plain) {
    return std::make_unique<cost_policy>(std::move(options), std::move(plain));
}

}  // namespace pearbarrow::forward
