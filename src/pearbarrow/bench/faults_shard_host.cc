#include "pearbarrow/bench/faults_shard_host.h"

#include <utility>
#include <variant>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/bench/faults_node.h"
#include "pearbarrow/bench/faults_route.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench::faults {

namespace event = program::event;

namespace {

/// Requests that come during a campaign wait this long.
constexpr base::milliseconds longest_hold{2'000};
constexpr double pause_between_actions_chance = 0.0005;
constexpr double crash_between_actions_chance = 0.0005;
constexpr std::int64_t longest_pause_us = 4'000'000;

journal::leader_options leader_options_of(const fault_options& options) {
    journal::leader_options made;
    made.faults = options.leader_faults;
    return made;
}

absl::Status not_owner() {
    return base::make_error(
        absl::StatusCode::kUnavailable, "this node does not own the shard",
        {.step = "route", .reason = "not_owner", .retry_after = base::milliseconds(100)});
}

}  // namespace

sim_shard_host::sim_shard_host(fault_world& world, sim_node& node, base::shard_id shard)
    : world_(world),
      node_(node),
      shard_(shard),
      leader_(shard, node.id(), leader_options_of(world.options)) {}

void sim_shard_host::set_state(state state) {
    state_ = state;
    since_ = world_.queue.now();
}

std::vector<base::program_id> sim_shard_host::live_programs() const {
    return owner_ == nullptr ? std::vector<base::program_id>{} : owner_->live_programs();
}

void sim_shard_host::campaign(const wire::journal_replica_set& set) {
    end_term();
    set_state(state::campaigning);
    world_.log(fmt::format("{} campaigns for shard {}", node_.process(), shard_.value()));
    feed_leader(journal::campaign{set, world_.random.next()});
}

void sim_shard_host::resign() {
    if (state_ == state::idle) {
        return;
    }
    world_.log(fmt::format("{} resigns shard {}", node_.process(), shard_.value()));
    feed_leader(journal::resign{});
    end_term();
    set_state(state::idle);
}

void sim_shard_host::tick() {
    if (state_ == state::idle) {
        return;
    }
    feed_leader(journal::tick{});
    deliver(event::tick{});
    update_placements();
    if (state_ == state::campaigning && world_.queue.now() - since_ > longest_hold) {
        fail_held();
    }
}

void sim_shard_host::request(const wire::program_request& request,
                             std::shared_ptr<request_route> route) {
    if (state_ == state::campaigning) {
        held_.emplace_back(request, std::move(route));
        return;
    }
    if (state_ == state::idle) {
        route->finish(not_owner());
        return;
    }
    const program::reply_token token(++last_token_);
    routes_[token] = std::move(route);
    deliver(event::request_received{token, request});
}

void sim_shard_host::requester_gone(const std::shared_ptr<request_route>& route) {
    for (const auto& [token, waiting] : routes_) {
        if (waiting == route) {
            const program::reply_token gone = token;
            routes_.erase(gone);
            deliver(event::requester_gone{gone});
            return;
        }
    }
}

void sim_shard_host::fail_held() {
    for (const auto& [request, route] : std::exchange(held_, {})) {
        route->finish(not_owner());
    }
}

void sim_shard_host::start_term(const journal::recovered& recovered) {
    world_.log(fmt::format("{} serves shard {}, round {}, {} records", node_.process(),
                           shard_.value(), recovered.ballot.round, recovered.records.size()));
    ++term_;
    owner_ = std::make_unique<program::shard_owner>(world_.options.owner);
    set_state(state::serving);
    event::journal_recovered start;
    start.snapshot = recovered.snapshot;
    for (const wire::journal_entry& entry : recovered.records) {
        start.payloads.push_back(entry.payload);
    }
    deliver(std::move(start));
    for (auto& [request, route] : std::exchange(held_, {})) {
        this->request(request, std::move(route));
    }
}

void sim_shard_host::end_term() {
    ++term_;
    outbox_.clear();
    inbox_.clear();
    if (owner_ != nullptr) {
        const auto owner = std::move(owner_);
        for (const program::shard_action& action :
             owner->apply(event::ownership_lost{}, node_.now())) {
            perform(action);
        }
    }
    appended_.clear();
    dropped_prefixes_.clear();
    waiting_for_confirmation_.clear();
    retained_reads_.clear();
    for (const auto& [attempt, item] : std::map(placements_)) {
        withdraw(attempt);
    }
    offers_.clear();
    for (const auto& [token, route] : std::exchange(routes_, {})) {
        route->finish(not_owner());
    }
    fail_held();
}

void sim_shard_host::deliver(program::shard_event event) {
    if (owner_ != nullptr) {
        inbox_.push_back(std::move(event));
        work();
    }
}

/// One event at a time; a pause may come between any two actions.
void sim_shard_host::work() {
    if (std::exchange(working_, true)) {
        return;
    }
    while (owner_ != nullptr && !node_.paused()) {
        if (outbox_.empty() && inbox_.empty()) {
            break;
        }
        if (outbox_.empty()) {
            const program::shard_event next = std::move(inbox_.front());
            inbox_.pop_front();
            for (program::shard_action& action : owner_->apply(next, node_.now())) {
                outbox_.push_back(std::move(action));
            }
            continue;
        }
        const program::shard_action next = std::move(outbox_.front());
        outbox_.pop_front();
        perform(next);
        if (world_.faulty()) {
            strike_between_actions();
        }
    }
    working_ = false;
}

void sim_shard_host::strike_between_actions() {
    if (world_.random.chance(pause_between_actions_chance)) {
        ++world_.history.injected["pause between actions"];
        world_.log(node_.process() + " pauses between two actions");
        node_.pause(world_.queue.now() + world_.between(1'000, longest_pause_us));
    }
    if (world_.random.chance(crash_between_actions_chance)) {
        ++world_.history.injected["crash between actions"];
        world_.crash_now(node_.number());
    }
}

void sim_shard_host::run_in_term(base::microseconds delay, std::function<void()> what) {
    node_.run(delay, [self = shared_from_this(), term = term_, what = std::move(what)] {
        if (self->term_ == term) {
            what();
        }
    });
}

receiver sim_shard_host::receive() {
    return [self = shared_from_this(), term = term_,
            process = node_.incarnation()](const program::shard_event& event) {
        if (self->node_.incarnation() == process && self->term_ == term) {
            self->run_in_term(base::microseconds(0), [self, event] { self->deliver(event); });
        }
    };
}

void sim_shard_host::feed_leader(const journal::leader_event& event) {
    for (const journal::leader_action& action : leader_.apply(event, node_.now())) {
        std::visit([this](const auto& item) { on(item); }, action);
    }
}

void sim_shard_host::on(const journal::send_request& action) {
    const std::size_t from = node_.number();
    std::size_t to = 0;
    while (world_.node(to).id() != action.to.node) {
        ++to;
    }
    const std::uint64_t process = node_.incarnation();
    const auto reply = [self = shared_from_this(), from, to, process](const auto& message) {
        self->world_.transmit(to, from, [self, process, message] {
            if (self->node_.incarnation() == process) {
                self->node_.run(base::microseconds(0), [self, message] {
                    self->feed_leader(journal::replica_replied{message});
                });
            }
        });
    };
    world_.transmit(from, to, [this, to, request = action.request, reply] {
        sim_node& target = world_.node(to);
        target.run(base::microseconds(0),
                   [&target, request, reply] { target.handle(request, reply); });
    });
}

void sim_shard_host::on(const journal::append_refused& action) {
    run_in_term(base::microseconds(0), [this] { resign(); });
}

void sim_shard_host::on(const journal::committed& action) {
    program::append_sequence through = 0;
    for (const appended_record& record : appended_) {
        if (record.index > action.through) {
            break;
        }
        through = record.sequence;
    }
    if (through > 0) {
        deliver(event::records_committed{through});
    }
}

void sim_shard_host::on(const journal::fenced& action) {
    world_.log(fmt::format("{} is fenced from shard {}: {}", node_.process(), shard_.value(),
                           action.reason));
    end_term();
    set_state(state::idle);
}

void sim_shard_host::on(const journal::unavailable& action) {
    deliver(event::journal_availability{false});
}

void sim_shard_host::on(const journal::available_again& action) {
    deliver(event::journal_availability{true});
}

void sim_shard_host::on(const journal::confirmed& action) {
    const auto found = waiting_for_confirmation_.extract(action.token);
    if (!found.empty()) {
        found.mapped()();
    }
}

void sim_shard_host::on(const journal::retained_read& action) {
    const auto found = retained_reads_.extract(action.token);
    if (found.empty()) {
        return;
    }
    if (!action.status.ok()) {
        deliver(event::retained_read{found.mapped(), action.status});
        return;
    }
    std::vector<std::string> payloads;
    for (const wire::journal_entry& entry : action.entries) {
        payloads.push_back(entry.payload);
    }
    deliver(event::retained_read{found.mapped(), std::move(payloads)});
}

void sim_shard_host::on(const journal::epoch_established& action) {
    world_.epoch_established(shard_, action.epoch);
}

void sim_shard_host::on(const journal::learner_caught_up& action) {
    world_.learner_caught_up(shard_, action.member);
}

void sim_shard_host::when_leading(const program::action::leadership& proof,
                                  std::function<void()> then) {
    if (!world_.options.confirm_leadership || node_.now() - proof.known_at <= proof.trusted_for) {
        then();
        return;
    }
    const std::uint64_t token = ++last_token_;
    waiting_for_confirmation_[token] = std::move(then);
    feed_leader(journal::confirm{token});
}

void sim_shard_host::answer(program::reply_token token,
                            const absl::StatusOr<wire::program_reply>& answer) {
    const auto found = routes_.extract(token);
    if (!found.empty()) {
        found.mapped()->finish(answer);
    }
}

}  // namespace pearbarrow::bench::faults
