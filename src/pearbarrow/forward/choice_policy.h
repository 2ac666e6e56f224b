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
    /// An open connection is believed to be free.
    bool is_connected = true;
    /// Weighed since such a connection is there: what it ran for this node a moment ago began with
    /// the parts that this prompt may share.
    bool is_reused = false;

    // What the choice by cost weighs; times in microseconds.
    std::string_view region;
    /// Prompt tokens that were sent there by all nodes and have no first event yet.
    double unread_tokens = 0;
    /// Requests of all nodes there.
    double requests = 0;
    /// It ran the key's earlier request.
    bool ran_earlier = false;
    /// Until one of its places is free.
    double queue_us = 0;
    /// For the events of one answer, at the back end's present pace.
    double generating_us = 0;
    /// There and back.
    double round_trip_us = 0;
};

/// What is asked for.
struct choice_question {
    /// Requests of the same key find their prompts where the earlier ones went; empty: any.
    std::string_view affinity_key;
    /// Whether the loads count the requests of other nodes.
    bool knows_others = false;
    /// Whether the own zone has more back ends than this node will ever use: free connections then
    /// go before evenness.
    bool prefers_connected = false;
    /// Tokens of the prompt; 0: not told, as for requests that go to no engine.
    std::uint64_t prompt_tokens = 0;
    /// The key's first request: nothing but parts that it shares with others can be kept.
    bool begins = false;
    /// Reading pace of the service's back ends. Microseconds for one token.
    double read_us = 0;
};

/// Why a back end was chosen.
enum class choice_reason {
    /// The key's own, which isn't overloaded: its memory may hold the program's prompt.
    affinity,
    /// The least loaded.
    least_load,
    /// The least cost.
    least_cost,
};

/// What a back end costs a request, in microseconds.
struct choice_cost {
    /// Of the prompts before it and of its own, less what is believed to be kept.
    double reading = 0;
    double queue = 0;
    double generating = 0;
    /// The way there and back, and a connection's opening.
    double way = 0;

    double total() const { return this->reading + this->queue + this->generating + this->way; }
};

std::string_view to_string(choice_reason reason);

struct ranked_choice {
    /// Of the candidates.
    std::size_t index = 0;
    choice_reason reason = choice_reason::least_load;
    /// Zeros where the choice isn't by cost.
    choice_cost cost;
    /// Tokens of this prompt that the back end is believed not to keep.
    double unread_tokens = 0;
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

struct cost_policy_options {
    std::string zone;
    /// Of `zone`; empty: all zones count as one region.
    std::string region;
    /// Share of a prompt that a back end is believed to keep after the key's earlier request. Not
    /// all: the prompt has grown, and memory may have given way. Where nobody has told which one
    /// ran it, the first in the key's order is believed to, the second by half, and so on.
    double believed_share = 0.8;
    /// The same for those of other zones and of other regions, as parts of the own zone's.
    double other_zone_share = 0.5;
    double other_region_share = 0.25;
    /// Of a first request, what the further ones will find is worth this part.
    double first_share = 0.5;
    /// Reading holds up the others at the back end: what a request that is at work there loses for
    /// each of its own time that this one's prompt takes.
    double others_share = 0.5;
    /// What a new connection costs beside its round trip: the back end's handshake. Microseconds.
    double connection_us = 5'000;
    /// Weighed are the one that ran the key's earlier request, the first in the key's order of each
    /// zone, and as many more of the own zone as make so many.
    std::size_t least_weighed = 4;
    /// A request goes to another back end than the key's earlier one only where that costs less
    /// even times this.
    double move_factor = 1.5;
};

/// The back end at which the request is expected to end first. Requests without prompt tokens are
/// left to `plain`: they say nothing of their work.
std::unique_ptr<choice_policy> make_cost_policy(cost_policy_options options,
                                                std::unique_ptr<choice_policy> plain);

}  // namespace pearbarrow::forward
