#include "pearbarrow/bench/simulate_cache.h"

#include <algorithm>

namespace pearbarrow::bench {

std::uint32_t prefix_cache::match(const std::vector<prefix_part>& parts) const {
    std::uint32_t matched = 0;
    for (const prefix_part& part : parts) {
        const auto found = entries_.find(part.key);
        if (found == entries_.end()) {
            break;
        }
        const std::uint32_t ready = std::min(found->second.ready, part.tokens);
        matched += ready;
        if (ready < part.tokens) {
            break;
        }
    }
    return matched;
}

double prefix_cache::idle_token_seconds(const entry& found, sim_time now) const {
    return static_cast<double>(found.ready) * static_cast<double>(now - found.idle_since) /
           us_per_second;
}

void prefix_cache::unlist(std::uint64_t key, const entry& found) {
    evictable_.erase({found.last_use, key});
}

void prefix_cache::relist(std::uint64_t key, entry& found) {
    if (found.references == 0 && found.children == 0 && found.pinned_until == 0 &&
        found.tokens > 0) {
        evictable_.emplace(found.last_use, key);
    }
}

void prefix_cache::erase(std::uint64_t key) {
    const auto found = entries_.find(key);
    const std::uint64_t parent = found->second.parent;
    unlist(key, found->second);
    used_ -= found->second.tokens;
    entries_.erase(found);
    const auto above = entries_.find(parent);
    if (parent != 0 && above != entries_.end()) {
        above->second.children -= 1;
        relist(parent, above->second);
    }
}

void prefix_cache::shrink(std::uint64_t key, entry& found, std::uint32_t by) {
    used_ -= by;
    found.tokens -= by;
    found.ready = std::min(found.ready, found.tokens);
    if (found.tokens == 0) {
        erase(key);
    }
}

bool prefix_cache::make_room(std::uint64_t tokens, sim_time now) {
    while (used_ + tokens > total_) {
        if (evictable_.empty()) {
            return false;
        }
        const std::uint64_t key = evictable_.begin()->second;
        entry& found = entries_.at(key);
        const std::uint64_t missing = used_ + tokens - total_;
        const std::uint64_t blocks = (missing + block_ - 1) / block_;
        const auto taken =
            static_cast<std::uint32_t>(std::min<std::uint64_t>(found.tokens, blocks * block_));
        idle_.evicted += idle_token_seconds(found, now) * taken / std::max(1U, found.tokens);
        evictions_.push_back({key, found.tokens - taken});
        shrink(key, found, taken);
    }
    return true;
}

bool prefix_cache::acquire(const std::vector<prefix_part>& parts, sim_time now) {
    // References first, so that making room never takes what the sequence itself needs.
    std::uint64_t needed = 0;
    for (const prefix_part& part : parts) {
        const auto found = entries_.find(part.key);
        if (found == entries_.end()) {
            needed += part.tokens;
            continue;
        }
        unlist(part.key, found->second);
        found->second.references += 1;
        needed += part.tokens - std::min(part.tokens, found->second.tokens);
    }
    const bool room = make_room(needed, now);
    std::uint64_t parent = 0;
    for (const prefix_part& part : parts) {
        auto found = entries_.find(part.key);
        if (!room) {
            if (found != entries_.end()) {
                found->second.references -= 1;
                relist(part.key, found->second);
            }
            continue;
        }
        if (found == entries_.end()) {
            found = entries_.try_emplace(part.key).first;
            found->second.references = 1;
            found->second.parent = parent;
            if (parent != 0) {
                entries_.at(parent).children += 1;
            }
            found = entries_.find(part.key);
        } else if (found->second.references == 1) {
            idle_.reused += idle_token_seconds(found->second, now);
        }
        entry& value = found->second;
        if (value.pinned_until != 0) {
            unpin(part.key, value);
        }
        const std::uint32_t added = part.tokens - std::min(part.tokens, value.tokens);
        value.tokens += added;
        used_ += added;
        parent = part.key;
    }
    return room;
}

void prefix_cache::set_computed(const std::vector<prefix_part>& parts, std::uint32_t tokens) {
    for (const prefix_part& part : parts) {
        entry& found = entries_.at(part.key);
        const std::uint32_t own = std::min(tokens, part.tokens);
        found.ready = std::max(found.ready, std::min(own, found.tokens));
        tokens -= own;
    }
}

void prefix_cache::release(const std::vector<prefix_part>& parts, sim_time now) {
    // The deepest first: it is the first to be evicted later.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        const auto found = entries_.find(part->key);
        entry& value = found->second;
        value.references -= 1;
        if (value.references > 0) {
            continue;
        }
        value.idle_since = now;
        value.last_use = ++use_counter_;
        if (value.ready < value.tokens) {
            shrink(part->key, value, value.tokens - value.ready);
            if (!entries_.contains(part->key)) {
                continue;
            }
        }
        relist(part->key, entries_.at(part->key));
    }
}

void prefix_cache::unpin(std::uint64_t key, entry& found) {
    pins_.erase({found.pinned_until, key});
    pinned_ -= found.tokens;
    found.pinned_until = 0;
}

void prefix_cache::pin(std::uint64_t key, sim_time until, sim_time now) {
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.references > 0 || until <= now) {
        return;
    }
    unlist(key, found->second);
    found->second.pinned_until = until;
    pinned_ += found->second.tokens;
    pins_.emplace(until, key);
    while (pinned_ > pin_limit_ && pins_.size() > 1) {
        break_oldest_pin();
    }
}

bool prefix_cache::break_oldest_pin() {
    if (pins_.empty()) {
        return false;
    }
    const std::uint64_t key = pins_.begin()->second;
    entry& found = entries_.at(key);
    unpin(key, found);
    relist(key, found);
    return true;
}

void prefix_cache::expire_pins(sim_time now) {
    while (!pins_.empty() && pins_.begin()->first <= now) {
        break_oldest_pin();
    }
}

void prefix_cache::abandon(std::uint64_t key, sim_time now) {
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.references > 0 || found->second.children > 0) {
        return;
    }
    idle_.abandoned += idle_token_seconds(found->second, now);
    if (found->second.pinned_until != 0) {
        unpin(key, found->second);
    }
    erase(key);
}

void prefix_cache::clear(sim_time now) {
    for (auto& [key, found] : entries_) {
        idle_.abandoned += idle_token_seconds(found, now);
    }
    entries_.clear();
    evictable_.clear();
    pins_.clear();
    used_ = 0;
    pinned_ = 0;
}

}  // namespace pearbarrow::bench
