#include "journal_world.h"

#include <cstdio>
#include <utility>

namespace pearbarrow::simulation {

namespace {

const base::shard_id shard(7);

constexpr base::milliseconds tick_interval(50);
constexpr base::milliseconds healed_phase(10'000);

journal::leader_options leader_options_of(const journal_world_options& options,
                                          base::random_source& random) {
    journal::leader_options made;
    made.request_timeout = base::milliseconds(100);
    made.heartbeat_interval = base::milliseconds(60);
    made.unavailable_after = base::milliseconds(500);
    // Small bounds, so that every chunk and page boundary is met.
    made.max_append_entries = 1 + random.below(6);
    made.max_append_bytes = 200 + random.below(400);
    made.max_requests_in_flight = 1 + random.below(5);
    made.window_bytes = 200 + random.below(2'000);
    made.chunk_bytes = 60 + random.below(400);
    made.faults = options.leader_faults;
    return made;
}

}  // namespace

journal_world::journal_world(journal_world_options options)
    : options_(options), random_(options.seed) {
    const double losses[] = {0.0, 0.03, 0.15};
    const double campaigns[] = {0.02, 0.05, 0.2};
    const double slow_writes[] = {0.02, 0.02, 0.5};
    const auto draw = [this](double& chance, const double(&choices)[3]) {
        const double drawn = choices[random_.below(3)];
        chance = chance < 0 ? drawn : chance;
    };
    draw(options_.loss, losses);
    draw(options_.campaigns, campaigns);
    draw(options_.slow_writes, slow_writes);
    for (std::size_t number = 0; number < options_.nodes; ++number) {
        auto made = std::make_unique<node>();
        made->number = number;
        made->id = base::node_id("n" + std::to_string(number));
        made->store = std::make_unique<journal::memory_replica_store>(made->id.value() + "-disk0");
        nodes_.push_back(std::move(made));
    }
    set_.epoch = 1;
    for (std::size_t number = 0; number < 3 && number < options_.nodes; ++number) {
        set_.members.push_back(identity(*nodes_[number]));
    }
    for (auto& one : nodes_) {
        one->known_set = set_;
        start_node(*one);
    }
}

journal_world::~journal_world() = default;

base::microseconds journal_world::between(std::int64_t low, std::int64_t high) {
    return base::microseconds(
        low + static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(high - low + 1))));
}

void journal_world::log(const std::string& line) const {
    if (options_.trace) {
        std::fprintf(stderr, "%10.3f %s\n",
                     static_cast<double>(now_.time_since_epoch().count()) / 1e6, line.c_str());
    }
}

void journal_world::at(base::microseconds delay, std::function<void()> what) {
    events_.emplace(std::pair(now_ + delay, sequence_++), std::move(what));
}

/// Runs in the node's process if that still lives; waits while it is paused.
void journal_world::on_node(node& target, base::microseconds delay, std::function<void()> what) {
    at(delay, [this, &target, incarnation = target.incarnation, what = std::move(what)]() mutable {
        if (!target.is_running || target.incarnation != incarnation) {
            return;
        }
        if (target.paused_until > now_) {
            on_node(target, target.paused_until - now_ + between(0, 2'000), std::move(what));
            return;
        }
        what();
    });
}

void journal_world::run_until(base::instant end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
        auto event = events_.extract(events_.begin());
        now_ = event.key().first;
        event.mapped()();
    }
    now_ = end;
}

void journal_world::start_node(node& target) {
    ++target.incarnation;
    target.is_running = true;
    target.paused_until = {};
    target.write_watched = false;
    journal::replica_options replica_options;
    replica_options.max_reply_bytes = 100 + random_.below(1'000);
    replica_options.faults = options_.replica_faults;
    target.replica = std::make_unique<journal::replica>(target.id, *target.store, replica_options);
    if (!target.replica->open().ok()) {
        checker_.violate(target.process() + " can't open its store");
    }
    target.leader = std::make_unique<journal::leader_core>(shard, target.id,
                                                           leader_options_of(options_, random_));
    target.pending.clear();
    target.offered.clear();
    target.confirms.clear();
    target.questions.clear();
    on_node(target, between(0, 50'000), [this, &target] { tick_node(target); });
}

void journal_world::stop_node(node& target) {
    target.is_running = false;
    target.leader.reset();
    target.replica.reset();
}

void journal_world::tick_node(node& target) {
    feed(target, journal::tick{});
    if (target.leader->is_leading()) {
        append_records(target);
        ask(target);
    } else if (faulty_ && random_.chance(options_.campaigns)) {
        start_campaign(target);
    }
    on_node(target, tick_interval, [this, &target] { tick_node(target); });
}

void journal_world::transmit(std::size_t from, std::size_t to, std::function<void()> arrival) {
    if (faulty_ && from != to && random_.chance(options_.loss)) {
        return;
    }
    const int copies = faulty_ && random_.chance(options_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const bool is_slow = faulty_ && random_.chance(0.03);
        const auto delay = is_slow ? between(10'000, 800'000) : between(100, 4'000);
        at(delay, [this, from, to, arrival] {
            if (!cuts_.contains({from, to})) {
                arrival();
            }
        });
    }
}

void journal_world::send(node& from, const journal::send_request& request) {
    const auto to = node_of(request.to).number;
    transmit(
        from.number, to,
        [this, &from, to, message = request.request, incarnation = from.incarnation] {
            auto& target = *nodes_[to];
            if (target.is_running) {
                on_node(target, base::microseconds(0), [this, &from, to, message, incarnation] {
                    auto& receiver = *nodes_[to];
                    receiver.replica->handle(
                        message, [this, &from, to, incarnation](const auto& reply) {
                            transmit(to, from.number, [this, &from, incarnation, reply] {
                                if (from.is_running && from.incarnation == incarnation) {
                                    on_node(from, base::microseconds(0), [this, &from, reply] {
                                        feed(from, journal::replica_replied{reply});
                                    });
                                }
                            });
                        });
                    flush(receiver);
                });
            }
        });
}

/// Several requests of one moment share a write.
void journal_world::flush(node& target) {
    on_node(target, between(0, 300), [this, &target] {
        target.replica->flush();
        watch_write(target);
    });
}

void journal_world::watch_write(node& target) {
    if (!target.store->write_pending() || target.write_watched) {
        return;
    }
    target.write_watched = true;
    const auto delay = faulty_ && random_.chance(options_.slow_writes) ? between(5'000, 200'000)
                                                                       : between(50, 2'000);
    on_node(target, delay, [this, &target] {
        target.write_watched = false;
        target.store->finish_write();
        watch_write(target);
    });
}

journal_world_result journal_world::run() {
    at(base::milliseconds(100), [this] { inject(); });
    at(base::milliseconds(200), [this] { manage_set(); });
    run_until(now_ + options_.duration);
    heal();
    run_until(now_ + healed_phase);
    finish();
    result_.violations = checker_.violations();
    result_.operations = checker_.operations();
    result_.records = checker_.records().size();
    return result_;
}

bool switch_off(journal_world_options& options, std::string_view mechanism) {
    auto& replica = options.replica_faults;
    auto& leader = options.leader_faults;
    if (mechanism == "sync") {
        replica.reply_before_sync = true;
        options.slow_writes = 0.9;
    } else if (mechanism == "previous_check") {
        replica.core.skip_previous_check = true;
    } else if (mechanism == "stored_promise") {
        replica.core.forget_promise = true;
        options.campaigns = 0.1;
        options.loss = 0.25;
        options.fault_interval = base::milliseconds(200);
    } else if (mechanism == "epoch_check") {
        replica.core.skip_epoch_check = true;
    } else if (mechanism == "store_identity") {
        replica.core.amnesiac_votes = true;
    } else if (mechanism == "own_ballot_commit") {
        leader.commit_old_ballots = true;
        options.campaigns = 0.3;
        options.loss = 0.25;
    } else if (mechanism == "newest_promise") {
        leader.adopt_any_promise = true;
    } else if (mechanism == "majority") {
        leader.commit_without_majority = true;
    } else if (mechanism == "established_epoch") {
        options.hasty_set_changes = true;
    } else {
        return false;
    }
    return true;
}

journal_world_result run_journal_world(const journal_world_options& options) {
    journal_world world(options);
    return world.run();
}

}  // namespace pearbarrow::simulation
