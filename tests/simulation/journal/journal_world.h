/// A seeded simulation of one shard's journal: several nodes, each a candidate and a replica, over
/// a faulty network and faulty disks, in virtual time. The cores are those of the daemon.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "journal_checker.h"
#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/journal/leader.h"
#include "pearbarrow/journal/memory_replica_store.h"
#include "pearbarrow/journal/replica.h"

namespace pearbarrow::simulation {

/// Which faults are injected, and which mechanisms are switched off to see the checker fail.
struct journal_world_options {
    std::uint64_t seed = 1;
    /// Virtual time with faults; a healed phase of 10 s follows.
    base::milliseconds duration{12'000};
    std::size_t nodes = 5;
    /// Drawn from the seed when negative: chance that a message is lost, that a node without the
    /// reign campaigns within 50 ms, and that the disk takes long.
    double loss = -1;
    double campaigns = -1;
    double slow_writes = -1;
    double duplication = 0.03;
    /// Longest time between two faults.
    base::milliseconds fault_interval{900};
    bool partitions = true;
    bool crashes = true;
    bool disk_loss = true;
    bool set_changes = true;
    bool trace = false;

    journal::replica_options::test_faults replica_faults;
    journal::leader_options::test_faults leader_faults;
    /// Publishes a next replica set before the current epoch is established.
    bool hasty_set_changes = false;
};

/// Switches one mechanism of the protocol off, by name (`journal_mechanisms`), under conditions in
/// which that shows. False when there is no such name.
bool switch_off(journal_world_options& options, std::string_view mechanism);

/// What one run did.
struct journal_world_result {
    /// Safety: invariants that didn't hold.
    std::vector<std::string> violations;
    /// Liveness: what didn't come back after healing.
    std::vector<std::string> stalls;
    std::size_t operations = 0;
    std::size_t records = 0;
    std::size_t reigns = 0;
    std::size_t crashes = 0;
    std::size_t disk_losses = 0;
    std::size_t partitions = 0;
    std::size_t pauses = 0;
    std::size_t set_changes = 0;
    std::size_t snapshots = 0;
    std::size_t catch_ups = 0;
};

class journal_world {
  public:
    explicit journal_world(journal_world_options options);
    ~journal_world();
    journal_world_result run();

  private:
    struct node;
    struct pending_append {
        base::log_index index;
        known_record record;
    };

    // journal_world.cc: time, network, nodes.
    void at(base::microseconds delay, std::function<void()> what);
    void on_node(node& target, base::microseconds delay, std::function<void()> what);
    void run_until(base::instant end);
    void start_node(node& target);
    void stop_node(node& target);
    void tick_node(node& target);
    void send(node& from, const journal::send_request& request);
    void transmit(std::size_t from, std::size_t to, std::function<void()> arrival);
    void flush(node& target);
    void watch_write(node& target);
    void log(const std::string& line) const;
    base::microseconds between(std::int64_t low, std::int64_t high);

    // journal_world_owner.cc: what an owner does with its leader.
    void feed(node& target, const journal::leader_event& event);
    void act(node& target, journal::leader_action& action);
    void on(node& target, journal::send_request& action);
    void on(node& target, journal::recovered& action);
    void on(node& target, journal::appended& action);
    void on(node& target, journal::append_refused& action);
    void on(node& target, journal::committed& action);
    void on(node& target, journal::fenced& action);
    void on(node& target, journal::unavailable& action);
    void on(node& target, journal::available_again& action);
    void on(node& target, journal::confirmed& action);
    void on(node& target, journal::retained_read& action);
    void on(node& target, journal::epoch_established& action);
    void on(node& target, journal::learner_caught_up& action);
    void on(node& target, journal::replica_lost& action);
    void start_campaign(node& target);
    void append_records(node& target);
    void take_snapshot(node& target);
    void ask(node& target);

    // journal_world_faults.cc: faults and replica sets.
    void inject();
    void cut();
    void crash(node& target);
    void pause(node& target);
    void lose_disk(node& target);
    void corrupt_disk(node& target);
    bool may_lose_a_disk() const;
    void heal();
    void manage_set();
    void add_member();
    void remove_member();
    void publish(std::vector<wire::journal_member> members);
    wire::journal_member identity(const node& target) const;
    bool is_lost(const wire::journal_member& member) const;
    node& node_of(const wire::journal_member& member) const;
    node* leading_node() const;
    void finish();

    journal_world_options options_;
    base::random_source random_;
    journal_checker checker_;
    journal_world_result result_;
    base::instant now_{};
    std::uint64_t sequence_ = 0;
    std::map<std::pair<base::instant, std::uint64_t>, std::function<void()>> events_;
    std::vector<std::unique_ptr<node>> nodes_;
    /// Pairs (from, to) of nodes between which nothing gets through.
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    bool faulty_ = true;

    wire::journal_replica_set set_;
    bool established_ = false;
    /// Members whose data was destroyed, whether or not anybody has noticed.
    std::set<wire::journal_member> damaged_;
    std::optional<wire::journal_member> wanted_member_;
    bool wanted_caught_up_ = false;
};

/// One node: its disk outlives its process.
struct journal_world::node {
    std::size_t number = 0;
    base::node_id id;
    std::uint64_t incarnation = 0;
    bool is_running = false;
    base::instant paused_until{};
    std::size_t stores = 0;
    std::unique_ptr<journal::memory_replica_store> store;
    std::unique_ptr<journal::replica> replica;
    std::unique_ptr<journal::leader_core> leader;
    bool write_watched = false;
    wire::journal_replica_set known_set;

    // The owner's state while leading.
    base::ballot ballot;
    record_map records;
    std::vector<pending_append> pending;
    std::map<std::uint64_t, known_record> offered;
    std::map<std::uint64_t, base::instant> confirms;
    struct history_question {
        std::string prefix;
        record_map at_request;
    };
    std::map<std::uint64_t, history_question> questions;
    base::log_index committed;
    base::log_index snapshot;
    std::uint64_t next_token = 1;

    std::string process() const { return id.value() + "#" + std::to_string(incarnation); }
};

/// Runs one seed.
journal_world_result run_journal_world(const journal_world_options& options);

}  // namespace pearbarrow::simulation
