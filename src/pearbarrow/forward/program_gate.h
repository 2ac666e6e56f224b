/// Whether a new program may begin, by what its engines have to do.
///
/// Pure: loads and random numbers are given. A program that has begun is never held up here: what
/// it has cost so far is lost if it doesn't end. So load beyond what the engines carry in time is
/// turned away at first turns, at once and with a time to come back.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"

namespace pearbarrow::forward {

/// The engines of a service, as one forwarding node knows them.
struct service_load {
    std::string service;
    /// Requests that they work on at once without slowing down; a slow engine's count for as much
    /// less as it is slower, a failing one's not at all.
    double places = 0;
    /// Requests of all nodes there.
    double requests = 0;
    /// Whether those of the other nodes are known.
    bool is_known = false;

    double fullness() const { return places > 0 ? requests / places : 0; }
};

class program_gate {
  public:
    virtual ~program_gate() = default;
    /// None: the program may begin. Otherwise when to come back.
    virtual std::optional<base::milliseconds> judge(const service_load& load,
                                                    base::instant now) = 0;
    /// A turn has had its first event within its objective at the engine, or not.
    virtual void note_turn(bool /*in_time*/, base::instant /*now*/) {}
};

struct gate_options {
    /// Requests for each place from which some new programs are turned away, and from which all
    /// are. Programs that have begun go on asking for seconds, so it closes before all places are
    /// taken.
    double narrows_at = 0.8;
    double closes_at = 1.1;
    /// How far the upper bound goes down while turns are late, the lower one with it to 0.65: with
    /// 0.6 (0.44) and tools judged as well, a day with a burst of 1.5 lost 0.11 of worth to
    /// refusals.
    double least_closes_at = 0.9;
    /// Turns of a span that say something, and the share of late ones from which the bound goes
    /// down, below which it goes up.
    base::milliseconds learning_span{250};
    std::uint32_t least_turns = 4;
    double late_share = 0.25;
    double calm_share = 0.1;
    /// The bound falls from its most to its least in two spans, and comes back in 2 s.
    double shrink_factor = 0.85;
    double growth = 0.025;
    /// While the load of other nodes is not known (half a second after a start): programs that may
    /// begin here in each span of this length. Four times what a node of the measured sheets begins
    /// (calculated: 30 a second over 8 nodes); after a common restart it keeps everybody's return
    /// from coming at once.
    std::uint32_t unknown_programs = 8;
    base::milliseconds unknown_span{500};
    /// Told to callers; spread to twice as much.
    base::milliseconds retry_after{500};
};

/// Lets every program begin.
std::unique_ptr<program_gate> make_open_gate();
/// Narrows between the two bounds of fullness, so that nodes which all hear the same load late
/// don't open and close together.
std::unique_ptr<program_gate> make_fullness_gate(gate_options options, base::random_source& random);
/// The same, with bounds that go down while turns come late at the engines and up while they don't.
/// At a bound that suits a short burst the engines stay just full enough to be late for as long as
/// callers come back.
std::unique_ptr<program_gate> make_learning_gate(gate_options options, base::random_source& random);

}  // namespace pearbarrow::forward
