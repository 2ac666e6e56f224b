/// Which of some back ends a request goes to.
///
/// A decision of its own: the pool says which back ends are fit and how loaded they are, a policy
/// chooses. Behind an interface, since there are several ways to weigh load, memory and distance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "pearbarrow/base/random.h"

namespace pearbarrow::forward {

/// A back end that is fit for a request, as the choosing node knows it now.
struct choice_candidate {
    std::string_view id;
    std::string_view zone;
    /// Requests that it works on at once; 1 or more.
    std::uint32_t slots = 1;
    /// Requests of this node there.
    std::uint32_t in_flight = 0;
    /// Requests of all nodes for each place, one more included; those at a slow back end count for
    /// as much more.
    double load = 0;
    /// Among those that this node works with first.
    bool is_near = true;
};

/// What is asked for.
struct choice_question {
    /// Requests of the same key find their prompts where the earlier ones went; empty: any.
    std::string_view affinity_key;
    /// Whether the loads count the requests of other nodes.
    bool knows_others = false;
};

/// Why a back end was chosen.
enum class choice_reason {
    /// The key's own, which isn't overloaded: its memory may hold the program's prompt.
    affinity,
    /// The least loaded.
    least_load,
};

std::string_view to_string(choice_reason reason);

struct ranked_choice {
    /// Of the candidates.
    std::size_t index = 0;
    choice_reason reason = choice_reason::least_load;
};

class choice_policy {
  public:
    virtual ~choice_policy() = default;
    /// Needs a candidate at least.
    virtual ranked_choice choose(std::span<const choice_candidate> candidates,
                                 const choice_question& question) = 0;
};

/// The options of the same names in `pool_options` say what they are for.
struct load_policy_options {
    std::string zone;
    std::size_t least_in_zone = 8;
    double beyond_load = 1.0;
    std::uint32_t affinity_bound = 4;
    double affinity_factor = 1.2;
    double affinity_slack = 3;
};

/// The key's own back end while it isn't much fuller than the others, else the least loaded.
std::unique_ptr<choice_policy> make_load_policy(load_policy_options options,
                                                base::random_source& random);

}  // namespace pearbarrow::forward
