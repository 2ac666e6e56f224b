#include "config_simulation.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::simulation {
namespace {

constexpr base::milliseconds tick_period{100};
constexpr base::milliseconds gossip_period{300};
constexpr base::milliseconds disturbance_period{700};
constexpr base::milliseconds quiet_time{40'000};
constexpr base::milliseconds request_timeout{1'000};
constexpr std::uint64_t compact_after = 20;
constexpr std::size_t kept_entries = 16;

absl::Status down(base::executed executed) {
    return base::make_error(absl::StatusCode::kUnavailable, "the service is down",
                            {.step = "commit", .was_executed = executed});
}

}  // namespace

config_simulation::config_simulation(config_simulation_options options)
    : options_(options), random_(options.seed) {
    nodes_.resize(options_.nodes);
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        nodes_[index].has_disk = index % 2 == 0;
        start(index);
    }
}

void config_simulation::start(std::size_t index) {
    node& started = nodes_[index];
    ++started.process;
    started.watch = 0;
    started.random = std::make_unique<base::random_source>(random_.next());
    const config::configuration_ptr initial =
        started.copy != nullptr ? started.copy : config::configuration::empty();
    // A node without a disk may start from nothing, but takes part only once it has learned.
    started.highest_version = initial->version().value();
    config::log_core_options core_options;
    core_options.self = base::node_id(fmt::format("n{}", index));
    core_options.compact_after_entries = compact_after;
    core_options.kept_entries = kept_entries;
    core_options.reread_period = base::milliseconds(10'000);
    core_options.faults = options_.faults;
    started.core = std::make_unique<config::log_core>(core_options, initial, *started.random);
    if (index < options_.followers) {
        apply(index, config::follower_changed{true});
    }
    const std::uint64_t process = started.process;
    after(tick_period, [this, index, process] { tick(index, process); });
}

void config_simulation::after(base::microseconds delay, std::function<void()> task) {
    tasks_.push({now_ + delay, next_order_++, std::move(task)});
}

base::microseconds config_simulation::delay() {
    const bool slow = !quiet_ && random_.chance(0.05);
    return base::microseconds(500 + random_.below(slow ? 3'000'000 : 5'000));
}

void config_simulation::deliver(std::size_t index, std::uint64_t process, base::microseconds delay,
                                config::log_event event) {
    after(delay, [this, index, process, event = std::move(event)] {
        if (nodes_[index].process == process) {
            apply(index, event);
        }
    });
}

void config_simulation::apply(std::size_t index, const config::log_event& event) {
    for (const config::log_action& action : nodes_[index].core->apply(event, now_)) {
        std::visit([&](const auto& each) { carry_out(index, each); }, action);
    }
}

void config_simulation::tick(std::size_t index, std::uint64_t process) {
    if (nodes_[index].process != process) {
        return;
    }
    apply(index, config::log_tick{});
    after(tick_period, [this, index, process] { tick(index, process); });
}

// ---- The service ----

void config_simulation::carry_out(std::size_t index, const config::create_entry& action) {
    const std::uint64_t process = nodes_[index].process;
    if (outage_ && random_.chance(0.5)) {
        deliver(index, process, delay(),
                config::entry_created{action.request, down(base::executed::no)});
        return;
    }
    // On its way: the service takes it when it arrives, also long after the asker gave up.
    after(delay(), [this, index, process, action] {
        const std::uint64_t version = action.version.value();
        if (outage_) {
            deliver(index, process, request_timeout,
                    config::entry_created{action.request, down(base::executed::unknown)});
            return;
        }
        const bool follows = version == 1 ? snapshot_ == nullptr : log_.contains(version - 1);
        const bool created = follows && !log_.contains(version);
        if (created) {
            log_[version] = {action.content, ++revision_};
            if (!truth_.emplace(version, action.content.id).second) {
                violation(fmt::format("version {} was given twice", version));
            }
            feed_watches();
        }
        if (random_.chance(options_.lost_answers)) {
            deliver(index, process, request_timeout,
                    config::entry_created{action.request, down(base::executed::unknown)});
            return;
        }
        deliver(index, process, delay(),
                config::entry_created{action.request, created ? absl::OkStatus()
                                                              : absl::AlreadyExistsError("taken")});
    });
}

void config_simulation::carry_out(std::size_t index, const config::read_log& action) {
    const std::uint64_t process = nodes_[index].process;
    after(delay(), [this, index, process, action] {
        config::log_read answer;
        answer.request = action.request;
        if (outage_) {
            answer.status = down(base::executed::no);
            deliver(index, process, request_timeout, std::move(answer));
            return;
        }
        answer.revision = revision_;
        answer.stored_entries = log_.size();
        std::uint64_t next = action.after.value() + 1;
        if (!log_.contains(next) && snapshot_ != nullptr && snapshot_->version().value() >= next) {
            answer.snapshot = snapshot_;
            next = snapshot_->version().value() + 1;
        }
        for (; log_.contains(next); ++next) {
            answer.entries.push_back({base::config_version(next), log_[next].content});
        }
        deliver(index, process, delay(), std::move(answer));
    });
}

void config_simulation::carry_out(std::size_t index, const config::watch_log& action) {
    if (outage_) {
        deliver(index, nodes_[index].process, delay(),
                config::watch_ended{action.request, down(base::executed::no)});
        return;
    }
    nodes_[index].watch = action.request;
    nodes_[index].watch_revision = action.from_revision;
    feed_watches();
}

void config_simulation::feed_watches() {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        node& watcher = nodes_[index];
        if (watcher.watch == 0) {
            continue;
        }
        config::watch_delivered delivered{watcher.watch, {}};
        for (const auto& [version, entry] : log_) {
            if (entry.revision >= watcher.watch_revision) {
                delivered.entries.push_back({base::config_version(version), entry.content});
            }
        }
        watcher.watch_revision = revision_ + 1;
        if (!delivered.entries.empty()) {
            deliver(index, watcher.process, delay(), std::move(delivered));
        }
    }
}

void config_simulation::carry_out(std::size_t index, const config::cancel_watch& action) {
    if (nodes_[index].watch == action.request) {
        nodes_[index].watch = 0;
    }
}

void config_simulation::carry_out(std::size_t index, const config::write_snapshot& action) {
    const std::uint64_t process = nodes_[index].process;
    after(delay(), [this, index, process, action] {
        const std::uint64_t version = action.snapshot->version().value();
        const bool newer = snapshot_ == nullptr || snapshot_->version().value() < version;
        if (!outage_ && newer) {
            snapshot_ = action.snapshot;
            log_.erase(log_.begin(), log_.lower_bound(version));
            ++history_.compactions;
        }
        deliver(index, process, delay(),
                config::snapshot_written{action.request, absl::OkStatus()});
    });
}

// ---- Peers ----

void config_simulation::carry_out(std::size_t index, const config::fetch_from_peer& action) {
    const std::uint64_t process = nodes_[index].process;
    after(delay(), [this, index, process, action] {
        const std::size_t peer = std::stoul(action.peer.value().substr(1));
        const config::log_tail tail = nodes_[peer].core->entries_after(action.after);
        if (random_.chance(options_.lost_peer_answers)) {
            return;
        }
        deliver(
            index, process, delay(),
            config::peer_answered{action.request, absl::OkStatus(), tail.snapshot, tail.entries});
    });
}

void config_simulation::gossip() {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        const std::size_t other = random_.below(nodes_.size());
        if (other != index) {
            apply(index, config::peer_version_seen{base::node_id(fmt::format("n{}", other)),
                                                   nodes_[other].core->current()->version()});
        }
    }
    after(gossip_period, [this] { gossip(); });
}

// ---- The run ----

void config_simulation::propose(std::size_t index) {
    const config::configuration_ptr current = nodes_[index].core->current();
    const std::uint64_t token = ++history_.proposals;
    config::change made;
    made.id = fmt::format("change-{}", token);
    made.base_version = current->version();
    made.author = fmt::format("operator-{}", index);
    const config::object pool{
        "shared", {{"by", made.id}}, config::pool_spec{base::model_name("m")}};
    made.operations = {config::put_object{pool}};
    proposals_[token] = {made.id, false};
    apply(index, config::propose{token, made});
}

void config_simulation::disturb() {
    if (quiet_) {
        return;
    }
    const std::uint64_t kind = random_.below(10);
    const std::size_t index = random_.below(nodes_.size());
    if (kind == 0) {
        outage_ = true;
        for (node& each : nodes_) {
            if (const std::uint64_t watch = std::exchange(each.watch, 0); watch != 0) {
                deliver(static_cast<std::size_t>(&each - nodes_.data()), each.process, delay(),
                        config::watch_ended{watch, down(base::executed::no)});
            }
        }
    } else if (kind <= 2) {
        outage_ = false;
    } else if (kind == 3) {
        ++history_.restarts;
        start(index);
    } else {
        // Racing operators at several nodes.
        for (std::uint64_t count = 1 + random_.below(3); count > 0; --count) {
            propose(random_.below(nodes_.size()));
        }
    }
    after(base::microseconds(random_.below(
              static_cast<std::uint64_t>(base::microseconds(disturbance_period).count()))),
          [this] { disturb(); });
}

void config_simulation::run_until(base::instant end) {
    while (!tasks_.empty() && tasks_.top().at <= end) {
        const timed_task next = tasks_.top();
        tasks_.pop();
        now_ = std::max(now_, next.at);
        next.run();
    }
    now_ = end;
}

config_history config_simulation::run(base::milliseconds duration) {
    gossip();
    disturb();
    run_until(now_ + duration);
    quiet_ = true;
    outage_ = false;
    run_until(now_ + quiet_time);
    check_end();
    return history_;
}

// ---- The checker ----

void config_simulation::carry_out(std::size_t index, const config::proposal_done& action) {
    proposal_record& record = proposals_[action.token];
    if (record.answered) {
        // Only the faulty early acceptance answers twice; the first answer counts.
        return;
    }
    record.answered = true;
    if (action.result.ok()) {
        ++history_.accepted;
        said_accepted_[record.change_id] = action.result->value();
        const auto entry = truth_.find(action.result->value());
        if (entry == truth_.end() || entry->second != record.change_id) {
            violation(fmt::format("{} was said to be accepted as version {}, which it is not",
                                  record.change_id, action.result->value()));
        }
        return;
    }
    const base::error_details details = base::details_of(action.result.status());
    if (details.was_executed == base::executed::unknown) {
        ++history_.unknown;
        return;
    }
    said_not_run_[record.change_id] = details.reason;
    if (details.reason == "config_conflict") {
        ++history_.conflicts;
    } else {
        ++history_.refused;
    }
}

void config_simulation::carry_out(std::size_t index, const config::config_installed& action) {
    node& here = nodes_[index];
    const std::uint64_t version = action.value->version().value();
    if (version <= here.highest_version) {
        violation(
            fmt::format("n{} went from version {} to {}", index, here.highest_version, version));
    }
    here.highest_version = std::max(here.highest_version, version);
    const auto entry = truth_.find(version);
    if (entry == truth_.end() || entry->second != action.value->last_change_id()) {
        violation(fmt::format("n{} holds {} as version {}, which was never accepted", index,
                              action.value->last_change_id(), version));
    }
    if (here.has_disk) {
        here.copy = action.value;
    }
}

void config_simulation::carry_out(std::size_t index, const config::config_diverged& action) {
    violation(fmt::format("n{} diverged at version {}", index, action.version.value()));
}

void config_simulation::violation(std::string text) {
    history_.violations.push_back(std::move(text));
}

void config_simulation::check_end() {
    const std::uint64_t newest = truth_.empty() ? 0 : truth_.rbegin()->first;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        const config::configuration_ptr& held = nodes_[index].core->current();
        if (held->version().value() != newest) {
            violation(
                fmt::format("n{} is at version {} of {}", index, held->version().value(), newest));
        } else if (held->digest() != nodes_[0].core->current()->digest()) {
            violation(fmt::format("n{} holds another content", index));
        }
    }
    for (const auto& [version, id] : truth_) {
        if (said_not_run_.contains(id)) {
            violation(fmt::format("{} was said not to have run ({}) and is version {}", id,
                                  said_not_run_[id], version));
        }
    }
    for (const auto& [token, record] : proposals_) {
        if (!record.answered && record.change_id.empty()) {
            violation("a proposal without a change");
        }
    }
}

}  // namespace pearbarrow::simulation
