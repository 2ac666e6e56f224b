/// Admission of new programs according to the load of their engines.
///
/// Pure: loads and time are parameters; the constructor takes the random source. Turns of a program
/// that has begun are always admitted, as its cost is lost if it does not complete. Load that the
/// engines cannot serve in time is thus rejected at first turns, at once and with a retry delay.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"

namespace pearbarrow::forward {

/// Aggregate load of the engines of a service, as known to one edge.
struct service_load {
    std::string service;
    /// Requests that the engines can serve concurrently without slowing down. A slow engine counts
    /// less in proportion to its slowness, and a failing one does not count.
    double slots = 0;
    /// In-flight requests of all nodes.
    double requests = 0;
    /// Whether the load of the other nodes is known.
    bool is_known = false;

    double fullness() const { return slots > 0 ? requests / slots : 0; }
};

class program_admission {
  public:
    virtual ~program_admission() = default;
    /// Returns nothing if the program is admitted, and the retry delay if it is rejected.
    virtual std::optional<base::milliseconds> check(const service_load& load,
                                                    base::instant now) = 0;
    /// Records whether the first event of a turn was received within the objective of the route.
    virtual void record_turn(bool /*in_time*/, base::instant /*now*/) {}
};

struct admission_options {
    /// Requests per slot above which some new programs are rejected, and above which all are.
    /// Admitted programs continue to send turns for seconds, so admission narrows before all slots
    /// are in use.
    double narrows_at = 0.8;
    double closes_at = 1.1;
    /// Minimum of the upper bound while turns are late. The lower bound shrinks in proportion, to
    /// 0.65. With 0.6 (0.44), and requests to tools counted as well, a burst of 1.5 lost 0.11 of
    /// the served value (weighted share of requests served in time) to rejections.
    double min_closes_at = 0.9;
    /// Length and minimum number of turns of a measurement span, the share of late turns above
    /// which the bounds shrink, and the share below which they grow.
    base::milliseconds learning_span{250};
    std::uint32_t min_turns = 4;
    double late_share = 0.25;
    double calm_share = 0.1;
    /// The bound falls from its maximum to its minimum in two spans and recovers in 2 s.
    double shrink_factor = 0.85;
    double growth = 0.025;
    /// Programs admitted per span of this length while the load of other nodes is unknown, which is
    /// about half a second after a start. The value is four times the usual rate of a node (30 per
    /// second over 8 nodes). After a simultaneous restart it prevents all callers from returning at
    /// once.
    std::uint32_t unknown_programs = 8;
    base::milliseconds unknown_span{500};
    /// Retry delay sent to callers. It is spread to up to twice this value.
    base::milliseconds retry_after{500};
};

/// Creates an admission that admits every program.
std::unique_ptr<program_admission> make_unlimited_admission();
/// Creates an admission whose probability of rejection rises between the two bounds of fullness.
/// Nodes that receive the same delayed load therefore do not open and close at the same time.
std::unique_ptr<program_admission> make_fullness_admission(admission_options options,
                                                           base::random_source& random);
/// Creates an admission whose bounds also shrink while turns are late at the engines and grow while
/// they are not. With a fixed bound that suits a short burst, the engines remain just full enough
/// to be late for as long as callers return.
std::unique_ptr<program_admission> make_adaptive_admission(admission_options options,
                                                           base::random_source& random);

}  // namespace pearbarrow::forward
