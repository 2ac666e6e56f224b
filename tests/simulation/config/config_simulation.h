/// Many `log_core`s, a simulated key-value service and gossip between them, in virtual time, with a
/// checker of invariant 10: versions never go back, an accepted change is never lost, a change said
/// not to have run never takes effect, all nodes come to the same configuration.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "pearbarrow/base/random.h"
#include "pearbarrow/config/log_core.h"

namespace pearbarrow::simulation {

struct config_simulation_options {
    std::size_t nodes = 8;
    std::size_t followers = 3;
    std::uint64_t seed = 1;
    /// Probability that the service's answer to a write is lost after it took effect.
    double lost_answers = 0.1;
    /// Probability that a peer's answer is lost.
    double lost_peer_answers = 0.1;
    config::log_core_faults faults;
};

/// What a run did and what it found wrong.
struct config_history {
    std::uint64_t proposals = 0;
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t compactions = 0;
    std::uint64_t restarts = 0;
    std::vector<std::string> violations;
};

class config_simulation {
  public:
    explicit config_simulation(config_simulation_options options);

    /// Runs racing proposers, outages and restarts for `duration`, then a quiet time, and checks.
    config_history run(base::milliseconds duration);

  private:
    struct node {
        std::unique_ptr<base::random_source> random;
        std::unique_ptr<config::log_core> core;
        /// The copy in the data folder; null for a node without a disk.
        config::configuration_ptr copy;
        bool has_disk = false;
        std::uint64_t process = 0;
        std::uint64_t highest_version = 0;
        std::uint64_t watch = 0;
        std::int64_t watch_revision = 0;
    };
    struct timed_task {
        base::instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const timed_task& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct stored_entry {
        config::change content;
        std::int64_t revision = 0;
    };

    void start(std::size_t index);
    void after(base::microseconds delay, std::function<void()> task);
    /// Hands an event to a node, unless it was restarted since.
    void deliver(std::size_t index, std::uint64_t process, base::microseconds delay,
                 config::log_event event);
    void apply(std::size_t index, const config::log_event& event);
    void run_until(base::instant end);
    void tick(std::size_t index, std::uint64_t process);
    void gossip();
    void disturb();
    void propose(std::size_t index);
    void feed_watches();

    void carry_out(std::size_t index, const config::create_entry& action);
    void carry_out(std::size_t index, const config::read_log& action);
    void carry_out(std::size_t index, const config::watch_log& action);
    void carry_out(std::size_t index, const config::cancel_watch& action);
    void carry_out(std::size_t index, const config::write_snapshot& action);
    void carry_out(std::size_t index, const config::fetch_from_peer& action);
    void carry_out(std::size_t index, const config::proposal_done& action);
    void carry_out(std::size_t index, const config::config_installed& action);
    void carry_out(std::size_t index, const config::config_diverged& action);

    base::microseconds delay();
    void violation(std::string text);
    void check_end();

    config_simulation_options options_;
    base::random_source random_;
    base::instant now_{};
    std::uint64_t next_order_ = 0;
    std::vector<node> nodes_;
    std::priority_queue<timed_task, std::vector<timed_task>, std::greater<>> tasks_;
    bool quiet_ = false;

    // The service.
    bool outage_ = false;
    std::map<std::uint64_t, stored_entry> log_;
    config::configuration_ptr snapshot_;
    std::int64_t revision_ = 0;
    /// Every entry that ever existed, for the checker: version -> change id.
    std::map<std::uint64_t, std::string> truth_;

    struct proposal_record {
        std::string change_id;
        bool answered = false;
    };
    std::map<std::uint64_t, proposal_record> proposals_;
    std::map<std::string, std::string> said_not_run_;
    std::map<std::string, std::uint64_t> said_accepted_;
    config_history history_;
};

}  // namespace pearbarrow::simulation
