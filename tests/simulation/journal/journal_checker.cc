#include "journal_checker.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::simulation {

namespace {

constexpr std::size_t most_violations = 10;

std::string name(const base::ballot& ballot) {
    return fmt::format("{}/{}", ballot.round, ballot.node.value());
}

}  // namespace

void journal_checker::violate(std::string sentence) {
    if (violations_.size() < most_violations) {
        violations_.push_back(std::move(sentence));
    }
}

void journal_checker::note_committer(const std::string& process, const base::ballot& ballot) {
    const auto [at, is_new] = committers_.emplace(ballot, process);
    if (!is_new && at->second != process) {
        violate(fmt::format("ballot {} commits from {} and {}", name(ballot), at->second, process));
    }
}

void journal_checker::acknowledge(const base::ballot& ballot, base::log_index index,
                                  const known_record& record) {
    const auto [at, is_new] = records_.emplace(index, record);
    if (!is_new && !(at->second == record)) {
        violate(fmt::format("record {} was '{}' and is '{}' under ballot {}", index.value(),
                            at->second.payload, record.payload, name(ballot)));
    }
    const auto by = acknowledged_by_.emplace(index, ballot).first;
    by->second = std::min(by->second, ballot);
}

void journal_checker::on_committed(const std::string& process, const base::ballot& ballot,
                                   base::log_index index, const known_record& record) {
    ++operations_;
    note_committer(process, ballot);
    acknowledge(ballot, index, record);
}

void journal_checker::on_recovered(const std::string& process, const base::ballot& ballot,
                                   const record_map& records, base::instant now) {
    ++operations_;
    note_committer(process, ballot);
    recovered_at_.emplace(ballot, now);
    for (const auto& [index, by] : acknowledged_by_) {
        if (by < ballot && !records.contains(index)) {
            violate(fmt::format("ballot {} recovered without record {} '{}' of ballot {}",
                                name(ballot), index.value(), records_.at(index).payload, name(by)));
        }
    }
    for (const auto& [index, record] : records) {
        acknowledge(ballot, index, record);
    }
}

void journal_checker::on_confirmed(const base::ballot& ballot, base::instant asked) {
    ++operations_;
    for (const auto& [other, at] : recovered_at_) {
        if (other > ballot && at < asked) {
            violate(fmt::format("ballot {} was confirmed after {} had recovered", name(ballot),
                                name(other)));
        }
    }
}

void journal_checker::on_retained(const std::string& prefix, const record_map& at_request,
                                  const std::vector<wire::journal_entry>& entries) {
    ++operations_;
    record_map found;
    for (const auto& entry : entries) {
        found[entry.index] = {entry.payload, entry.retention_key, entry.dropped_prefixes};
    }
    // Present: what no drop has covered until now. Absent: what a drop covered before the request.
    for (const auto& [index, record] : retained_records(records_, prefix)) {
        if (at_request.contains(index) && !found.contains(index)) {
            violate(fmt::format("record {} under '{}' isn't retained", index.value(), prefix));
        }
    }
    const auto allowed_before = retained_records(at_request, prefix);
    for (const auto& [index, record] : found) {
        const bool was_committed = at_request.contains(index);
        if (was_committed && !allowed_before.contains(index)) {
            violate(
                fmt::format("record {} under '{}' was dropped and is read", index.value(), prefix));
        } else if (was_committed && !(at_request.at(index) == record)) {
            violate(fmt::format("record {} under '{}' reads differently", index.value(), prefix));
        }
    }
}

record_map retained_records(const record_map& records, const std::string& prefix) {
    record_map retained;
    for (const auto& [index, record] : records) {
        for (const auto& dropped : record.dropped_prefixes) {
            std::erase_if(retained, [&](const auto& item) {
                return item.second.retention_key.starts_with(dropped);
            });
        }
        if (!record.retention_key.empty() && record.retention_key.starts_with(prefix)) {
            retained.emplace(index, record);
        }
    }
    return retained;
}

}  // namespace pearbarrow::simulation
