/// Selection of a back end among candidates.
///
/// The pool determines which back ends are eligible and how loaded they are; a policy selects one
/// of them. It is an interface because load, memory and distance can be weighed in several ways.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "pearbarrow/base/random.h"

namespace pearbarrow::forward {

/// A back end that is eligible for a request, with the current knowledge of the selecting node.
struct choice_candidate {
    std::string_view id;
    std::string_view zone;
    /// Concurrent requests that the back end can serve, at least 1.
    std::uint32_t slots = 1;
    /// In-flight requests of this node.
    std::uint32_t in_flight = 0;
    /// Requests of all nodes per slot, including the new one. Requests at a slow back end are
    /// weighted by its slowness.
    double load = 0;
    /// Whether the back end is in the preferred set of this node.
    bool is_preferred = true;
    /// Whether an open connection is assumed to be idle.
    bool is_connected = true;
    /// Whether the back end is a candidate because of such a connection. A request of this node
    /// that it executed recently started with the prefix that this prompt may share.
    bool is_reused = false;

    // Inputs of the selection by cost. Fields that end in `_us` are in microseconds.
    std::string_view region;
    /// Prompt tokens sent by all nodes for which no first event has been received.
    double unread_tokens = 0;
    /// In-flight requests of all nodes.
    double requests = 0;
    /// Whether the back end executed the previous request with the same key.
    bool ran_previous = false;
    /// Expected wait until a slot is free.
    double queue_us = 0;
    /// Expected time for all events of one response at the current event interval.
    double generating_us = 0;
    /// Round-trip time to the back end.
    double round_trip_us = 0;
};

/// Properties of the request to place.
struct policy_request {
    /// Requests with the same key find their prompts at the back end of the earlier ones. If empty,
    /// any back end is suitable.
    std::string_view affinity_key;
    /// Whether the loads include the requests of other nodes.
    bool is_remote_load_known = false;
    /// Whether the local zone has more back ends than this node will ever use. Idle connections are
    /// then preferred over an even distribution.
    bool prefers_connected = false;
    /// Number of prompt tokens, or 0 if unknown, as for requests that do not go to an engine.
    std::uint64_t prompt_tokens = 0;
    /// Whether this is the first request with its key. Only a prefix shared with other keys can
    /// then be cached.
    bool is_first = false;
    /// Prefill time of the back ends of the service, in microseconds per token.
    double prefill_us_per_token = 0;
};

/// Reason for the selection of a back end.
enum class choice_reason {
    /// The preferred back end of the key is not overloaded, and may have the prompt of the program
    /// in memory.
    affinity,
    /// The back end has the lowest load.
    least_load,
    /// The back end has the lowest cost.
    least_cost,
    /// The back end is the one that the request is assigned to.
    assigned,
};

/// Cost of a request at a back end, in microseconds.
struct choice_cost {
    /// Prefill time of the queued prompts and of the tokens of this one not assumed to be cached,
    /// plus the delay that it causes to concurrent requests (`others_share`).
    double prefill = 0;
    double queue = 0;
    double generating = 0;
    /// Round-trip time, plus the time to open a connection if none is idle.
    double round_trip = 0;

    double total() const {
        return this->prefill + this->queue + this->generating + this->round_trip;
    }
};

std::string_view to_string(choice_reason reason);

struct ranked_choice {
    /// Index into the candidates.
    std::size_t index = 0;
    choice_reason reason = choice_reason::least_load;
    /// All zero unless the selection is by cost.
    choice_cost cost;
    /// Tokens of this prompt that the back end is assumed not to have cached.
    double unread_tokens = 0;
};

class choice_policy {
  public:
    virtual ~choice_policy() = default;
    /// Selects one of the candidates. Requires at least one.
    virtual ranked_choice choose(std::span<const choice_candidate> candidates,
                                 const policy_request& request) = 0;
};

/// See the options of the same names in `pool_options`.
struct load_policy_options {
    std::string zone;
    std::size_t min_in_zone = 8;
    double non_preferred_load = 1.0;
    std::uint32_t affinity_bound = 4;
    double affinity_factor = 1.2;
    double affinity_slack = 3;
};

/// Creates a policy that selects the preferred back end of the key while it is not much fuller than
/// the others, and the least loaded back end otherwise.
std::unique_ptr<choice_policy> make_load_policy(load_policy_options options,
                                                base::random_source& random);

struct cost_policy_options {
    std::string zone;
    /// Region of `zone`. If empty, all zones belong to one region.
    std::string region;
    /// Share of a prompt that a back end is assumed to have cached after the previous request with
    /// the same key. It is below 1 because the prompt has grown and memory may have been evicted.
    /// If the previous back end is unknown, the share applies to the first back end in the order of
    /// the key and halves with each further rank.
    double cached_share = 0.8;
    /// Factors on the share for back ends in other zones and in other regions.
    double other_zone_share = 0.5;
    double other_region_share = 0.25;
    /// Factor on the share for the first request of a key, because only later requests benefit from
    /// the cached tokens.
    double first_share = 0.5;
    /// Time that a concurrent request at the back end loses per unit of prefill time of this
    /// prompt.
    double others_share = 0.5;
    /// Cost of a new connection besides its round trip, which is the handshake at the back end.
    /// Microseconds.
    double connection_us = 5'000;
    /// Number of back ends to compare: the first of each other zone in the order of the key, and
    /// back ends of the local zone up to this total, but at least one. The back end of the previous
    /// request with the key and reused ones are compared in addition.
    std::size_t min_compared = 4;
    /// A request moves away from the back end of the previous request only if the cost elsewhere,
    /// multiplied by this factor, is still lower.
    double move_factor = 1.5;
};

/// Creates a policy that selects the back end with the earliest expected completion. Requests
/// without prompt tokens are passed to `plain`, because their work is unknown.
std::unique_ptr<choice_policy> make_cost_policy(cost_policy_options options,
                                                std::unique_ptr<choice_policy> plain);

}  // namespace pearbarrow::forward
