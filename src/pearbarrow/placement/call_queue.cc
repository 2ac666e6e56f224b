#include "pearbarrow/placement/call_queue.h"

#include <algorithm>

namespace pearbarrow::placement {

bool call_queue::insert(waiting_call call) {
    auto [entry, inserted] = calls_.try_emplace(call.offer.attempt);
    if (!inserted) {
        return false;
    }
    entry->second = std::make_unique<waiting_call>(std::move(call));
    waiting_call& stored = *entry->second;
    by_sequence_.emplace(stored.key.sequence, &stored);
    arrivals_.emplace(stored.waiting_since, stored.key.sequence);
    if (stored.deadline) {
        deadlines_.emplace(*stored.deadline, stored.key.sequence);
    }
    link(stored);
    return true;
}

std::optional<waiting_call> call_queue::remove(const base::attempt_id& attempt) {
    const auto found = calls_.find(attempt);
    if (found == calls_.end()) {
        return std::nullopt;
    }
    waiting_call& call = *found->second;
    unlink(call);
    by_sequence_.erase(call.key.sequence);
    arrivals_.erase({call.waiting_since, call.key.sequence});
    if (call.deadline) {
        deadlines_.erase({*call.deadline, call.key.sequence});
    }
    waiting_call removed = std::move(call);
    calls_.erase(found);
    return removed;
}

const waiting_call* call_queue::find(const base::attempt_id& attempt) const {
    const auto found = calls_.find(attempt);
    return found == calls_.end() ? nullptr : found->second.get();
}

void call_queue::link(waiting_call& call) {
    all_.insert(call.key);
    lanes_[{call.permitted, call.opens_program}].emplace(call.key, &call);
}

void call_queue::unlink(waiting_call& call) {
    all_.erase(call.key);
    const auto found = lanes_.find({call.permitted, call.opens_program});
    found->second.erase(call.key);
    if (found->second.empty()) {
        lanes_.erase(found);
    }
}

void call_queue::change_key(const base::attempt_id& attempt, queue_key key) {
    const auto found = calls_.find(attempt);
    if (found == calls_.end()) {
        return;
    }
    waiting_call& call = *found->second;
    unlink(call);
    key.sequence = call.key.sequence;
    call.key = key;
    link(call);
}

void call_queue::change_rules(const base::attempt_id& attempt, program_rules rules) {
    if (const auto found = calls_.find(attempt); found != calls_.end()) {
        found->second->rules = std::move(rules);
    }
}

void call_queue::change_permitted(const base::attempt_id& attempt, engine_mask permitted) {
    const auto found = calls_.find(attempt);
    if (found == calls_.end()) {
        return;
    }
    unlink(*found->second);
    found->second->permitted = permitted;
    link(*found->second);
}

void call_queue::promote_starved(base::instant bound) {
    while (!arrivals_.empty() && arrivals_.begin()->first <= bound) {
        const auto [since, sequence] = *arrivals_.begin();
        arrivals_.erase(arrivals_.begin());
        waiting_call& call = *by_sequence_.at(sequence);
        unlink(call);
        call.key.band = 0;
        call.key.priority = 0;
        call.key.over_share = 0;
        call.key.order = static_cast<double>(since.time_since_epoch().count());
        link(call);
    }
}

std::vector<base::attempt_id> call_queue::expired_calls(base::instant now) const {
    std::vector<base::attempt_id> passed;
    for (const auto& [deadline, sequence] : deadlines_) {
        if (deadline > now) {
            break;
        }
        passed.push_back(by_sequence_.at(sequence)->offer.attempt);
    }
    return passed;
}

std::vector<base::attempt_id> call_queue::attempts() const {
    std::vector<base::attempt_id> result;
    result.reserve(by_sequence_.size());
    for (const auto& [sequence, call] : by_sequence_) {
        result.push_back(call->offer.attempt);
    }
    return result;
}

call_queue::cursor::cursor(const call_queue& queue, engine_mask open) : queue_(queue) {
    for (const auto& [lane, calls] : queue.lanes_) {
        if ((lane.permitted & open) != 0) {
            positions_.push_back({lane, std::nullopt});
        }
    }
}

const waiting_call* call_queue::cursor::next(engine_mask open) {
    const waiting_call* first = nullptr;
    position* from = nullptr;
    for (position& candidate : positions_) {
        const auto found = queue_.lanes_.find(candidate.lane);
        if ((candidate.lane.permitted & open) == 0 || found == queue_.lanes_.end() ||
            (skip_openers_ && candidate.lane.opens_program)) {
            continue;
        }
        const lane& calls = found->second;
        const auto entry = candidate.last ? calls.upper_bound(*candidate.last) : calls.begin();
        if (entry != calls.end() && (first == nullptr || entry->first < first->key)) {
            first = entry->second;
            from = &candidate;
        }
    }
    if (from != nullptr) {
        from->last = first->key;
    }
    return first;
}

}  // namespace pearbarrow::placement
