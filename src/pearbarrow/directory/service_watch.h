/// Decides when a node calls the outside directory service itself, beside all others that do.
///
/// A pure state machine: time, random numbers and what the node knows of its company are given. The
/// calls of a fleet are bounded whatever its size: a few nodes keep a watch open, and in each
/// interval of the time of day one node looks, which all draw alike without a message. A look is a
/// watch that does not wait: it brings what is new, and a service that has moved on without telling
/// anything has forgotten something, so that the whole is read. A node that the service turns away
/// asks a peer to look in its place. What one node learns the others hear from it
/// (`directory/directory_exchange.h`).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/directory/watch_pacing.h"

namespace pearbarrow::directory {

struct service_watch_options {
    pacing_options pacing;
    /// How long a node that has heard that a peer reads the service leaves it to that one.
    base::milliseconds wait_for_reader{1'500};
    /// After a reading that failed: between this and ten times as much.
    base::milliseconds least_retry{100};
    /// A watch that tells of news sooner than this finds a service that changes all the time: looks
    /// tell as much, so it is not put again. Without, all nodes came to watch (2,207 calls in 49 s
    /// of 30 nodes, simulated with ten changes a second).
    base::milliseconds short_watch{1'000};
    /// A look in place of another node's is passed on as often. With a third of the nodes turned
    /// away, 1 look in 80 finds nobody.
    std::uint32_t most_passes = 3;
};

class service_watch {
  public:
    enum class call { read, watch, look, pass_on };
    /// Something to be done now.
    struct action {
        call what = call::read;
        /// Of a look, and of passing one on: how often it has been passed on.
        std::uint32_t passes = 0;
    };
    /// How a call ended.
    enum class outcome {
        /// It told of something that this node knew from nobody else.
        news,
        /// Only what peers had told before.
        known,
        /// Nothing has changed.
        nothing,
        /// The service has moved on and told nothing of it, or has dropped its history.
        missed,
        failed,
    };
    /// What the node knows.
    struct knowledge {
        watch_company company;
        /// Whether this node is the one to look in an interval. A node that knows few others is
        /// drawn more often than it should be, never less.
        std::function<bool(std::uint64_t interval)> is_drawn;
        /// Everything as of some revision of the service, from whomever.
        bool is_level = false;
        /// Unix time, in microseconds.
        std::int64_t unix_time = 0;
    };

    service_watch(base::random_source& random, service_watch_options options);

    /// The node has started. `is_contact`: others ask it first, so it reads first.
    void begin(base::instant now, bool is_contact);
    /// A peer says that it is reading the service.
    void note_reader(base::instant now);
    /// Whether this node is reading, or is about to.
    bool is_reading() const {
        return this->state == stage::reading ||
               (this->is_contact && this->state == stage::starting);
    }

    // Each gives what is to be done next.
    std::vector<action> advance(const knowledge& known, base::instant now);
    std::vector<action> ended(call what, outcome how, std::uint32_t passes, const knowledge& known,
                              base::instant now);
    /// A look has no answer yet: somebody else may be quicker.
    std::vector<action> look_is_slow(std::uint32_t passes, const knowledge& known) const;
    /// A peer that the service turns away asks this node to look.
    std::vector<action> asked(std::uint32_t passes) const;

    /// When `advance` is due.
    base::instant next() const;

  private:
    enum class stage {
        /// Waits whether peers tell everything.
        starting,
        reading,
        watching,
        /// Watches again at `due`.
        pausing,
        /// Leaves it to the others.
        resting,
    };

    bool is_turn(const knowledge& known);
    void rest(const knowledge& known, base::instant now);
    void pause(base::milliseconds time, stage next, base::instant now);
    base::milliseconds retry_time();
    std::vector<action> read();
    std::vector<action> watch(base::instant now);
    void take_news(const knowledge& known, base::instant now);
    std::vector<action> take_reading(outcome how, const knowledge& known, base::instant now);
    std::vector<action> take_watch(outcome how, const knowledge& known, base::instant now);
    std::vector<action> take_look(outcome how, std::uint32_t passes, const knowledge& known,
                                  base::instant now);
    std::vector<action> pass_on(std::uint32_t passes, const knowledge& known) const;

    base::random_source& random;
    service_watch_options options;
    watch_pacing pacing;
    stage state = stage::starting;
    bool is_contact = false;
    base::instant due{};
    base::instant watch_began{};
    /// When the next interval begins, and the last one that was judged.
    base::instant turn{};
    std::uint64_t judged = 0;
    std::optional<base::instant> reader_until;
};

}  // namespace pearbarrow::directory
