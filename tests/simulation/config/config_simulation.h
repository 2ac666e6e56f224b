/// Simulates several `log_core` instances, a key-value service and gossip in virtual time. Checks
/// invariant 10: versions never decrease, an accepted change is never lost, a change reported as
/// not executed never takes effect, and all nodes converge to the same configuration.
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
    /// Probability that the reply to a write is lost after the write took effect.
    double lost_reply_probability = 0.1;
    /// Probability that the reply of a peer is lost.
    double lost_peer_reply_probability = 0.1;
    config::log_core_faults faults;
};

/// Counters and violations of one simulation.
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

    /// Runs concurrent proposals, outages and restarts for `duration`, lets the nodes converge
    /// without faults, and checks the invariant.
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
    /// Delivers an event to a node unless the node has restarted since.
    void deliver(std::size_t index, std::uint64_t process, base::microseconds delay,
                 config::log_event event);
    void apply(std::size_t index, const config::log_event& event);
    void run_until(base::instant end);
    void tick(std::size_t index, std::uint64_t process);
    void gossip();
    void inject_faults();
    void propose(std::size_t index);
    void deliver_to_watches();

    void execute(std::size_t index, const config::create_entry& action);
    void execute(std::size_t index, const config::read_log& action);
    void execute(std::size_t index, const config::watch_log& action);
    void execute(std::size_t index, const config::cancel_watch& action);
    void execute(std::size_t index, const config::write_snapshot& action);
    void execute(std::size_t index, const config::fetch_from_peer& action);
    void execute(std::size_t index, const config::proposal_done& action);
    void execute(std::size_t index, const config::config_installed& action);
    void execute(std::size_t index, const config::config_diverged& action);

    base::microseconds delay();
    void add_violation(std::string text);
    void check_end();

    config_simulation_options options_;
    base::random_source random_;
    base::instant now_{};
    std::uint64_t next_order_ = 0;
    std::vector<node> nodes_;
    std::priority_queue<timed_task, std::vector<timed_task>, std::greater<>> tasks_;
    bool converging_ = false;

    // Key-value service.
    bool outage_ = false;
    std::map<std::uint64_t, stored_entry> log_;
    config::configuration_ptr snapshot_;
    std::int64_t revision_ = 0;
    /// Change ids of all entries ever created, by version; used by the checker.
    std::map<std::uint64_t, std::string> created_entries_;

    struct proposal_record {
        std::string change_id;
        bool completed = false;
    };
    std::map<std::uint64_t, proposal_record> proposals_;
    std::map<std::string, std::string> reported_not_executed_;
    std::map<std::string, std::uint64_t> reported_accepted_;
    config_history history_;
};

}  // namespace pearbarrow::simulation
