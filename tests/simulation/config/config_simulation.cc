#include "config_simulation.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::simulation {
namespace {

constexpr base::milliseconds tick_period{100};
constexpr base::milliseconds gossip_period{300};
constexpr base::milliseconds max_fault_interval{700};
constexpr base::milliseconds convergence_time{40'000};
constexpr base::milliseconds request_timeout{1'000};
constexpr std::uint64_t compact_after = 20;
constexpr std::size_t kept_entries = 16;

absl::Status unavailable(base::executed executed) {
    return base::make_error(absl::StatusCode::kUnavailable, "the service is unavailable",
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
    node& started_node = nodes_[index];
    ++started_node.process;
    started_node.watch = 0;
    started_node.random = std::make_unique<base::random_source>(random_.next());
    const config::configuration_ptr initial =
        started_node.copy != nullptr ? started_node.copy : config::configuration::empty();
    // A node without a disk may start from the empty configuration, but participates only
    // after it has caught up.
    started_node.highest_version = initial->version().value();
    config::log_core_options core_options;
    core_options.self = base::node_id(fmt::format("n{}", index));
    core_options.compact_after_entries = compact_after;
    core_options.kept_entries = kept_entries;
    core_options.reread_period = base::milliseconds(10'000);
    core_options.faults = options_.faults;
    started_node.core =
        std::make_unique<config::log_core>(core_options, initial, *started_node.random);
    if (index < options_.followers) {
        apply(index, config::follower_changed{true});
    }
    const std::uint64_t process = started_node.process;
    after(tick_period, [this, index, process] { tick(index, process); });
}

void config_simulation::after(base::microseconds delay, std::function<void()> task) {
    tasks_.push({now_ + delay, next_order_++, std::move(task)});
}

base::microseconds config_simulation::delay() {
    const bool slow = !converging_ && random_.chance(0.05);
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
        std::visit([&](const auto& each) { execute(index, each); }, action);
    }
}

void config_simulation::tick(std::size_t index, std::uint64_t process) {
    if (nodes_[index].process != process) {
        return;
    }
    apply(index, config::log_tick{});
    after(tick_period, [this, index, process] { tick(index, process); });
}

// ---- Key-value service ----

void config_simulation::execute(std::size_t index, const config::create_entry& action) {
    const std::uint64_t process = nodes_[index].process;
    if (outage_ && random_.chance(0.5)) {
        deliver(index, process, delay(),
                config::entry_created{action.request, unavailable(base::executed::no)});
        return;
    }
    // The service executes the request on arrival, even if the requester has timed out.
    after(delay(), [this, index, process, action] {
        const std::uint64_t version = action.version.value();
        if (outage_) {
            deliver(index, process, request_timeout,
                    config::entry_created{action.request, unavailable(base::executed::unknown)});
            return;
        }
        const bool follows = version == 1 ? snapshot_ == nullptr : log_.contains(version - 1);
        const bool created = follows && !log_.contains(version);
        if (created) {
            log_[version] = {action.content, ++revision_};
            if (!created_entries_.emplace(version, action.content.id).second) {
                add_violation(fmt::format("version {} was created twice", version));
            }
            deliver_to_watches();
        }
        if (random_.chance(options_.lost_reply_probability)) {
            deliver(index, process, request_timeout,
                    config::entry_created{action.request, unavailable(base::executed::unknown)});
            return;
        }
        deliver(index, process, delay(),
                config::entry_created{action.request, created ? absl::OkStatus()
                                                              : absl::AlreadyExistsError("taken")});
    });
}

void config_simulation::execute(std::size_t index, const config::read_log& action) {
    const std::uint64_t process = nodes_[index].process;
    after(delay(), [this, index, process, action] {
        config::log_read reply;
        reply.request = action.request;
        if (outage_) {
            reply.status = unavailable(base::executed::no);
            deliver(index, process, request_timeout, std::move(reply));
            return;
        }
        reply.revision = revision_;
        reply.stored_entries = log_.size();
        std::uint64_t next = action.after.value() + 1;
        if (!log_.contains(next) && snapshot_ != nullptr && snapshot_->version().value() >= next) {
            reply.snapshot = snapshot_;
            next = snapshot_->version().value() + 1;
        }
        for (; log_.contains(next); ++next) {
            reply.entries.push_back({base::config_version(next), log_[next].content});
        }
        deliver(index, process, delay(), std::move(reply));
    });
}

void config_simulation::execute(std::size_t index, const config::watch_log& action) {
    if (outage_) {
        deliver(index, nodes_[index].process, delay(),
                config::watch_ended{action.request, unavailable(base::executed::no)});
        return;
    }
    nodes_[index].watch = action.request;
    nodes_[index].watch_revision = action.from_revision;
    deliver_to_watches();
}

void config_simulation::deliver_to_watches() {
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

void config_simulation::execute(std::size_t index, const config::cancel_watch& action) {
    if (nodes_[index].watch == action.request) {
        nodes_[index].watch = 0;
    }
}

void config_simulation::execute(std::size_t index, const config::write_snapshot& action) {
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

void config_simulation::execute(std::size_t index, const config::fetch_from_peer& action) {
    const std::uint64_t process = nodes_[index].process;
    after(delay(), [this, index, process, action] {
        const std::size_t peer = std::stoul(action.peer.value().substr(1));
        const config::log_tail tail = nodes_[peer].core->entries_after(action.after);
        if (random_.chance(options_.lost_peer_reply_probability)) {
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

// ---- Workload and faults ----

void config_simulation::propose(std::size_t index) {
    const config::configuration_ptr current = nodes_[index].core->current();
    const std::uint64_t token = ++history_.proposals;
    config::change proposed;
    proposed.id = fmt::format("change-{}", token);
    proposed.base_version = current->version();
    proposed.author = fmt::format("operator-{}", index);
    const config::object pool{
        "shared", {{"by", proposed.id}}, config::pool_spec{base::model_name("m")}};
    proposed.operations = {config::put_object{pool}};
    proposals_[token] = {proposed.id, false};
    apply(index, config::propose{token, proposed});
}

void config_simulation::inject_faults() {
    if (converging_) {
        return;
    }
    const std::uint64_t kind = random_.below(10);
    const std::size_t index = random_.below(nodes_.size());
    if (kind == 0) {
        outage_ = true;
        for (node& each : nodes_) {
            if (const std::uint64_t watch = std::exchange(each.watch, 0); watch != 0) {
                deliver(static_cast<std::size_t>(&each - nodes_.data()), each.process, delay(),
                        config::watch_ended{watch, unavailable(base::executed::no)});
            }
        }
    } else if (kind <= 2) {
        outage_ = false;
    } else if (kind == 3) {
        ++history_.restarts;
        start(index);
    } else {
        // Concurrent proposals at several nodes.
        for (std::uint64_t count = 1 + random_.below(3); count > 0; --count) {
            propose(random_.below(nodes_.size()));
        }
    }
    after(base::microseconds(random_.below(
              static_cast<std::uint64_t>(base::microseconds(max_fault_interval).count()))),
          [this] { inject_faults(); });
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
    inject_faults();
    run_until(now_ + duration);
    converging_ = true;
    outage_ = false;
    run_until(now_ + convergence_time);
    check_end();
    return history_;
}

// ---- Checker ----

void config_simulation::execute(std::size_t index, const config::proposal_done& action) {
    proposal_record& record = proposals_[action.token];
    if (record.completed) {
        // Only the injected early acceptance replies twice. The first reply counts.
        return;
    }
    record.completed = true;
    if (action.result.ok()) {
        ++history_.accepted;
        reported_accepted_[record.change_id] = action.result->value();
        const auto entry = created_entries_.find(action.result->value());
        if (entry == created_entries_.end() || entry->second != record.change_id) {
            add_violation(
                fmt::format("{} was reported as accepted at version {}, which has another change",
                            record.change_id, action.result->value()));
        }
        return;
    }
    const base::error_details details = base::details_of(action.result.status());
    if (details.was_executed == base::executed::unknown) {
        ++history_.unknown;
        return;
    }
    reported_not_executed_[record.change_id] = details.reason;
    if (details.reason == "config_conflict") {
        ++history_.conflicts;
    } else {
        ++history_.refused;
    }
}

void config_simulation::execute(std::size_t index, const config::config_installed& action) {
    node& installing_node = nodes_[index];
    const std::uint64_t version = action.value->version().value();
    if (version <= installing_node.highest_version) {
        add_violation(fmt::format("n{} went from version {} to {}", index,
                                  installing_node.highest_version, version));
    }
    installing_node.highest_version = std::max(installing_node.highest_version, version);
    const auto entry = created_entries_.find(version);
    if (entry == created_entries_.end() || entry->second != action.value->last_change_id()) {
        add_violation(fmt::format("n{} has {} as version {}, which was never accepted", index,
                                  action.value->last_change_id(), version));
    }
    if (installing_node.has_disk) {
        installing_node.copy = action.value;
    }
}

void config_simulation::execute(std::size_t index, const config::config_diverged& action) {
    add_violation(fmt::format("n{} diverged at version {}", index, action.version.value()));
}

void config_simulation::add_violation(std::string text) {
    history_.violations.push_back(std::move(text));
}

void config_simulation::check_end() {
    const std::uint64_t newest = created_entries_.empty() ? 0 : created_entries_.rbegin()->first;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        const config::configuration_ptr& held = nodes_[index].core->current();
        if (held->version().value() != newest) {
            add_violation(
                fmt::format("n{} is at version {} of {}", index, held->version().value(), newest));
        } else if (held->digest() != nodes_[0].core->current()->digest()) {
            add_violation(fmt::format("n{} has a different digest than n0", index));
        }
    }
    for (const auto& [version, id] : created_entries_) {
        if (reported_not_executed_.contains(id)) {
            add_violation(fmt::format("{} was reported as not executed ({}) but is version {}", id,
                                      reported_not_executed_[id], version));
        }
    }
    for (const auto& [token, record] : proposals_) {
        if (!record.completed && record.change_id.empty()) {
            add_violation("a proposal without a change");
        }
    }
}

}  // namespace pearbarrow::simulation
