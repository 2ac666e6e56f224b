/// Many `swim_core`s on a simulated network in virtual time. A seed always produces the same
/// execution.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/membership/swim.h"

namespace pearbarrow::simulation {

struct swim_simulation_options {
    std::size_t nodes = 8;
    std::size_t zones = 4;
    std::size_t regions = 1;
    std::uint64_t seed = 1;
    /// Probability that a datagram is lost.
    double loss = 0;
    /// Probability that a datagram arrives twice.
    double duplication = 0;
    base::microseconds min_delay{500};
    base::microseconds max_delay{2'000};
    membership::swim_options swim;
};

class swim_simulation {
  public:
    explicit swim_simulation(swim_simulation_options options);

    /// Starts all nodes. The first three are the seeds of every node.
    void start_all();
    void run_for(base::milliseconds duration);
    /// Runs until the condition holds, which is checked every 50 ms. Returns false after `limit`.
    bool run_until(const std::function<bool()>& condition, base::milliseconds limit);

    void kill(std::size_t index);
    /// Starts a node as a new process.
    void restart(std::size_t index);
    /// Pauses a process. Its datagrams are buffered, as in a socket.
    void pause(std::size_t index, base::milliseconds duration);
    void leave(std::size_t index);
    /// Sets a filter for the datagrams between two nodes; null lets all datagrams pass.
    void set_links(std::function<bool(std::size_t from, std::size_t to)> passes);
    void set_loss(double loss) { options_.loss = loss; }
    void set_config_version(std::size_t index, std::uint64_t version);

    membership::swim_core& core(std::size_t index) { return *nodes_.at(index).core; }
    bool running(std::size_t index) const { return nodes_.at(index).core != nullptr; }
    std::size_t size() const { return nodes_.size(); }
    base::instant now() const { return now_; }
    base::random_source& random() { return random_; }

    /// Whether every running node considers exactly the running nodes alive.
    bool converged() const;
    /// Number of other running nodes that do not consider `index` live.
    std::size_t count_not_live(std::size_t index) const;
    std::size_t running_count() const;
    /// Number of times that a running node that was not paused was declared dead by another node.
    std::uint64_t false_deaths() const { return false_deaths_; }
    std::uint64_t deaths_declared_by(std::size_t index) const;
    std::uint64_t largest_datagram() const { return largest_datagram_; }
    /// Bytes sent by all nodes, including 28 bytes of IP and UDP headers per datagram.
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_sent_by(std::size_t index) const { return nodes_.at(index).bytes_sent; }
    void reset_traffic();
    std::uint64_t leaves_finished() const { return leaves_finished_; }
    static base::node_id name(std::size_t index);

  private:
    struct node {
        std::unique_ptr<membership::swim_core> core;
        std::unique_ptr<base::random_source> random;
        membership::member self;
        base::instant paused_until;
        std::uint64_t bytes_sent = 0;
        std::uint64_t deaths_declared = 0;
        /// Number of processes of this node. Events for an earlier process are dropped.
        std::uint64_t process = 0;
    };
    struct timed_event {
        base::instant at;
        std::uint64_t order = 0;
        std::size_t target = 0;
        std::uint64_t process = 0;
        bool is_tick = false;
        net::endpoint from;
        std::string payload;

        bool operator>(const timed_event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void start(std::size_t index);
    void schedule_tick(std::size_t index, base::instant at);
    void deliver(const timed_event& event);
    void execute(std::size_t index, const std::vector<membership::swim_action>& actions);
    void transmit(std::size_t from, const membership::send_datagram& datagram);
    void record_change(std::size_t observer, const membership::member_changed& change);

    swim_simulation_options options_;
    base::random_source random_;
    base::instant now_{};
    std::uint64_t next_order_ = 0;
    std::vector<node> nodes_;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> events_;
    std::function<bool(std::size_t, std::size_t)> link_filter_;
    std::uint64_t false_deaths_ = 0;
    std::uint64_t largest_datagram_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t leaves_finished_ = 0;
};

}  // namespace pearbarrow::simulation
