/// What each node does as the owner of the shard: appends, snapshots, reads, and its reports to the
/// checker.
#include <spdlog/fmt/fmt.h>

#include "journal_world.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::simulation {

namespace {

constexpr std::uint64_t programs = 6;
constexpr std::uint64_t records_between_snapshots = 15;

/// An owner's whole state, as its snapshot holds it.
struct stored_record {
    std::uint64_t index = 0;
    std::string payload;
    std::string retention_key;
    std::vector<std::string> dropped_prefixes;
    MSGPACK_DEFINE(index, payload, retention_key, dropped_prefixes);
};

std::string to_snapshot(const record_map& records) {
    std::vector<stored_record> stored;
    for (const auto& [index, record] : records) {
        stored.push_back(
            {index.value(), record.payload, record.retention_key, record.dropped_prefixes});
    }
    return wire::encode(stored);
}

}  // namespace

void journal_world::feed(node& target, const journal::leader_event& event) {
    for (auto& action : target.leader->apply(event, now_)) {
        act(target, action);
    }
}

void journal_world::act(node& target, journal::leader_action& action) {
    std::visit([&](auto& body) { on(target, body); }, action);
}

void journal_world::on(node& target, journal::send_request& action) {
    send(target, action);
}

void journal_world::on(node& target, journal::recovered& action) {
    ++result_.reigns;
    target.ballot = action.ballot;
    target.records.clear();
    target.pending.clear();
    target.offered.clear();
    target.committed = action.committed_through;
    target.snapshot = action.snapshot_index;
    if (action.snapshot_index.value() != 0) {
        const auto stored = wire::decode<std::vector<stored_record>>(action.snapshot);
        if (!stored.ok()) {
            checker_.violate(target.process() + " recovered a broken snapshot");
            return;
        }
        for (const auto& one : *stored) {
            target.records[base::log_index(one.index)] = {one.payload, one.retention_key,
                                                          one.dropped_prefixes};
        }
    }
    base::log_index before = action.snapshot_index;
    for (const auto& entry : action.records) {
        if (entry.index <= before) {
            checker_.violate(target.process() + " recovered records out of order");
        }
        before = entry.index;
        target.records[entry.index] = {entry.payload, entry.retention_key, entry.dropped_prefixes};
    }
    log(fmt::format("{} recovered ballot {} with {} records through {}", target.process(),
                    action.ballot.round, target.records.size(), action.committed_through.value()));
    checker_.on_recovered(target.process(), action.ballot, target.records, now_);
}

void journal_world::on(node& target, journal::appended& action) {
    target.pending.push_back({action.index, target.offered.at(action.token)});
    target.offered.erase(action.token);
}

void journal_world::on(node& target, journal::append_refused& action) {
    target.offered.erase(action.token);
}

void journal_world::on(node& target, journal::committed& action) {
    target.committed = action.through;
    auto at = target.pending.begin();
    for (; at != target.pending.end() && at->index <= action.through; ++at) {
        target.records[at->index] = at->record;
        checker_.on_committed(target.process(), target.ballot, at->index, at->record);
    }
    target.pending.erase(target.pending.begin(), at);
    if (action.through.value() > target.snapshot.value() + records_between_snapshots) {
        take_snapshot(target);
    }
}

void journal_world::take_snapshot(node& target) {
    ++result_.snapshots;
    target.snapshot = target.committed;
    on_node(target, base::microseconds(0),
            [this, &target, index = target.committed, payload = to_snapshot(target.records)] {
                feed(target, journal::snapshot_taken{index, payload});
            });
}

void journal_world::on(node& target, journal::fenced& action) {
    log(fmt::format("{} fenced by {}/{} {}", target.process(), action.by.round,
                    action.by.node.value(), action.reason));
    if (action.while_campaigning && random_.chance(0.5)) {
        on_node(target, between(1'000, 400'000), [this, &target] {
            if (!target.leader->is_leading()) {
                start_campaign(target);
            }
        });
    }
}

void journal_world::on(node& target, journal::unavailable& action) {
    log(target.process() + " unavailable");
}
void journal_world::on(node& target, journal::available_again& action) {}

void journal_world::on(node& target, journal::confirmed& action) {
    checker_.on_confirmed(target.ballot, target.confirms.at(action.token));
    target.confirms.erase(action.token);
}

void journal_world::on(node& target, journal::retained_read& action) {
    const auto question = target.questions.extract(action.token);
    if (action.status.ok() && !question.empty()) {
        checker_.on_retained(question.mapped().prefix, question.mapped().at_request,
                             action.entries);
    }
}

void journal_world::on(node& target, journal::epoch_established& action) {
    if (action.epoch == set_.epoch) {
        log(fmt::format("{} established epoch {}", target.process(), action.epoch));
        established_ = true;
    }
}

void journal_world::on(node& target, journal::learner_caught_up& action) {
    if (wanted_member_ == action.member) {
        wanted_caught_up_ = true;
    }
}

void journal_world::on(node& target, journal::replica_lost& action) {
    log(fmt::format("{} finds {} lost: {}", target.process(), action.member.node.value(),
                    action.reason));
}

void journal_world::start_campaign(node& target) {
    log(fmt::format("{} campaigns with epoch {}", target.process(), target.known_set.epoch));
    feed(target, journal::campaign{target.known_set, random_.next() | 1});
}

void journal_world::append_records(node& target) {
    const auto count = random_.below(4);
    for (std::uint64_t one = 0; one < count && target.leader->is_leading(); ++one) {
        const auto token = target.next_token++;
        known_record record;
        record.payload = fmt::format("{}.{}", target.process(), token);
        if (random_.chance(0.5)) {
            record.retention_key = fmt::format("p{}/h", random_.below(programs));
        } else if (random_.chance(0.1)) {
            record.dropped_prefixes = {fmt::format("p{}/", random_.below(programs))};
        }
        target.offered[token] = record;
        feed(target,
             journal::append{token, record.payload, record.retention_key, record.dropped_prefixes});
    }
}

void journal_world::ask(node& target) {
    if (!target.leader->is_leading()) {
        return;
    }
    if (random_.chance(0.1)) {
        const auto token = target.next_token++;
        target.confirms[token] = now_;
        feed(target, journal::confirm{token});
    }
    if (target.leader->is_leading() && random_.chance(0.1)) {
        const auto token = target.next_token++;
        const auto prefix =
            random_.chance(0.2) ? std::string("p") : fmt::format("p{}/", random_.below(programs));
        target.questions[token] = {prefix, target.records};
        feed(target, journal::read_retained{token, prefix});
    }
}

}  // namespace pearbarrow::simulation
