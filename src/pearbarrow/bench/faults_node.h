/// One simulated node: a process that crashes, pauses and restarts, and a disk that outlives it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "pearbarrow/bench/faults_queue.h"
#include "pearbarrow/journal/memory_replica_store.h"
#include "pearbarrow/journal/replica.h"

namespace pearbarrow::bench::faults {

class fault_world;
class request_route;
class sim_cell;
class sim_shard_host;

class sim_node {
  public:
    sim_node(fault_world& world, std::size_t number);
    ~sim_node();

    std::size_t number() const { return number_; }
    const base::node_id& id() const { return id_; }
    std::string process() const;
    std::uint64_t incarnation() const { return incarnation_; }
    bool running() const { return running_; }
    bool paused() const;
    base::instant paused_until() const { return paused_until_; }
    base::instant paused_since() const { return paused_since_; }
    /// The process's own monotonic clock, which drifts.
    base::instant now() const;

    void start();
    /// Loses everything in memory; `lose_write`: and the write under way.
    void crash(bool lose_write);
    void pause(base::instant until);
    void lose_disk();

    /// Runs `what` in this process after `delay`, later while it is paused, never after a crash.
    void run(base::microseconds delay, event_queue::task what);

    journal::replica& replica() { return *replica_; }
    /// Identity of the node's replica, also while the process is down.
    wire::journal_member member(base::shard_id shard) const;
    /// Hands the request to the replica; `reply` runs in this process, maybe never.
    void handle(const wire::journal_request& request, journal::replica::reply_callback reply);

    /// The host of the shard, made when there is none.
    sim_shard_host& host(base::shard_id shard);
    const sim_shard_host* find_host(base::shard_id shard) const;
    const std::map<base::shard_id, std::shared_ptr<sim_shard_host>>& hosts() const {
        return hosts_;
    }
    /// The cell's queue, when this node runs it.
    sim_cell* cell() const { return cell_.get(); }
    void take_cell();
    void give_up_cell();

    /// Answers under way that pass through this process or are made in it, by number.
    std::map<std::uint64_t, std::shared_ptr<request_route>> routes;

  private:
    void tick();
    void flush();
    void watch_write();
    void work_off();
    void settle();

    fault_world& world_;
    std::size_t number_;
    base::node_id id_;
    std::uint64_t incarnation_ = 0;
    bool running_ = false;
    base::instant paused_until_{};
    base::instant paused_since_{};
    double clock_rate_ = 1;
    base::microseconds clock_offset_{0};
    std::size_t stores_ = 0;
    bool write_watched_ = false;
    /// Came while the process was paused.
    std::deque<event_queue::task> waiting_;
    std::unique_ptr<journal::memory_replica_store> store_;
    std::unique_ptr<journal::replica> replica_;
    std::map<base::shard_id, std::shared_ptr<sim_shard_host>> hosts_;
    std::unique_ptr<sim_cell> cell_;
};

}  // namespace pearbarrow::bench::faults
