/// Whole histories in virtual time over the real cores: journal leaders and replicas, owners of
/// programs, a cell's scheduler, joined as `node/` joins them. See docs/simulation.md.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/bench/faults_backends.h"
#include "pearbarrow/bench/faults_service.h"
#include "pearbarrow/journal/leader.h"
#include "pearbarrow/journal/replica.h"
#include "pearbarrow/program/owner_options.h"

namespace pearbarrow::bench::faults {

/// Options of one run. The mechanisms are switched off only by tests.
struct fault_options {
    std::uint64_t seed = 1;
    std::uint64_t programs = 5;
    /// Faults are injected until then.
    base::seconds fault_time{20};
    /// A caller that has not finished by then is a violation.
    base::seconds time_limit{300};
    /// Prints every step to standard output.
    bool trace = false;

    program::owner_options owner{.snapshot_every = 40};
    journal::leader_options::test_faults leader_faults;
    journal::replica_options::test_faults replica_faults;
    backend_faults backends;
    /// The journal confirms the leadership where an action asks for it.
    bool confirm_leadership = true;
    /// Dispatchers hear of back ends that leave.
    bool follow_leaving = true;
};

/// One violation, as printed.
struct finding {
    /// Number of the invariant; 0: liveness.
    int invariant = 0;
    std::string what;
};

/// What one run did and what was found wrong with it.
struct fault_result {
    std::vector<finding> findings;
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t model_runs = 0;
    std::uint64_t tool_runs = 0;
    /// Injected faults by kind.
    std::map<std::string, std::uint64_t> injected;
    /// Final errors by reason.
    std::map<std::string, std::uint64_t> errors;
    base::instant ended{};
};

/// Runs one seed.
fault_result run_faults(const fault_options& options);

class sim_node;
class sim_cell;
class request_route;

inline constexpr std::size_t node_count = 4;
inline constexpr std::uint32_t shard_count = 2;
inline constexpr std::size_t replica_count = 3;
inline constexpr base::milliseconds tick_interval{50};

/// The replica set of a shard, as the configuration log holds it.
struct shard_set {
    wire::journal_replica_set set;
    bool established = false;
    std::optional<wire::journal_member> learner;
    bool learner_caught_up = false;
    /// A lost member is not taken out of the set before.
    base::instant repair_at{};
};

class fault_world final : public simulated_service {
  public:
    explicit fault_world(fault_options options);
    ~fault_world() override;

    fault_result run();
    void send(const wire::program_request& request, answer_callbacks callbacks) override;

    // For nodes and hosts.
    /// A message from node to node: may be lost, doubled, late and out of order.
    void transmit(std::size_t from, std::size_t to, const event_queue::task& arrive);
    bool is_cut(std::size_t from, std::size_t to) const { return cuts_.contains({from, to}); }
    bool reachable(std::size_t from, std::size_t to) const;
    base::microseconds between(std::int64_t low_us, std::int64_t high_us);
    base::shard_id shard_of(const base::program_id& program) const;
    /// Sends from node `gateway` to the owner of the request's program, as far as is known.
    void route(std::size_t gateway, const wire::program_request& request,
               answer_callbacks callbacks);
    void log(const std::string& line) const;
    sim_node& node(std::size_t number) { return *nodes_[number]; }
    const shard_set& set_of(base::shard_id shard) const { return sets_[shard.value()]; }
    void learner_caught_up(base::shard_id shard, const wire::journal_member& member);
    void epoch_established(base::shard_id shard, std::uint64_t epoch);
    /// Node that runs the cell's queue, as all believe.
    std::size_t cell_node() const { return cell_node_; }
    bool faulty() const { return faulty_; }
    /// Crashes the node before it does anything more.
    void crash_now(std::size_t number);
    double slow_write_chance() const { return slow_writes_; }
    bool is_draining(const base::backend_id& backend) const { return draining_.contains(backend); }
    std::vector<base::backend_id> backend_names() const;

    const fault_options options;
    std::map<base::backend_id, std::unique_ptr<model_engine>> engines;
    std::map<base::backend_id, std::unique_ptr<model_tool>> tools;

  private:
    void make_back_ends();
    // faults_director.cc: who owns what, and replica sets.
    void direct();
    void direct_shard(base::shard_id shard);
    void direct_cell();
    void manage_set(base::shard_id shard);
    void publish(base::shard_id shard, std::vector<wire::journal_member> members);
    std::optional<std::size_t> healthy_node_but(std::size_t excluded);
    bool looks_dead(std::size_t number) const;
    bool is_lost(const wire::journal_member& member, base::shard_id shard) const;
    std::optional<std::size_t> leading_node(base::shard_id shard) const;

    // faults_injector.cc
    void schedule_fault();
    void inject();
    void inject_cut();
    void inject_crash();
    void inject_pause();
    void inject_take_over();
    void inject_hand_over();
    void inject_rolling_stop();
    void inject_engine_crash();
    void inject_disk_loss();
    void inject_leaving();
    void inject_storm();
    void inject_power_loss();
    void crash(std::size_t number, base::microseconds down, bool lose_write);
    std::size_t any_owner() { return believed_[random.below(shard_count)]; }
    void heal();
    std::size_t any_node() { return random.below(node_count); }

    // faults_verdict.cc
    fault_result judge();
    bool quiet() const;
    void look_at_the_end();

    std::vector<std::unique_ptr<sim_node>> nodes_;
    std::vector<shard_set> sets_;
    /// Node that is believed to own the shard.
    std::vector<std::size_t> believed_;
    std::size_t cell_node_ = 0;
    std::uint64_t last_route_ = 0;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::set<base::backend_id> draining_;
    std::set<base::backend_id> leaving_;
    bool faulty_ = true;
    double loss_ = 0;
    double slow_writes_ = 0;
};

}  // namespace pearbarrow::bench::faults
