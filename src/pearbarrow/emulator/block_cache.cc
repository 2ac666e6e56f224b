#include "pearbarrow/emulator/block_cache.h"

#include <algorithm>

namespace pearbarrow::emulator {
namespace {

double seconds_between(base::instant from, base::instant to) {
    return std::chrono::duration<double>(to - from).count();
}

}  // namespace

std::size_t block_cache::match(std::span<const block_hash> sequence) const {
    const auto missing =
        std::ranges::find_if(sequence, [this](block_hash hash) { return !blocks_.contains(hash); });
    return static_cast<std::size_t>(missing - sequence.begin());
}

void block_cache::acquire(std::span<const block_hash> blocks, const base::program_id& program,
                          base::instant now) {
    for (const block_hash hash : blocks) {
        reference(hash, blocks_.at(hash), program, now);
    }
}

void block_cache::reference(block_hash hash, block& entry, const base::program_id& program,
                            base::instant now) {
    if (entry.references == 0) {
        accounting_.reused_block_seconds += seconds_between(entry.idle_since, now);
        ++accounting_.reused_blocks;
        evictable_.erase({entry.last_use, hash});
    }
    entry.shared = entry.shared || entry.program != program;
    ++entry.references;
}

void block_cache::release(std::span<const block_hash> blocks, base::instant now) {
    for (auto hash = blocks.rbegin(); hash != blocks.rend(); ++hash) {
        block& entry = blocks_.at(*hash);
        if (--entry.references == 0) {
            make_idle(*hash, entry, now);
        }
    }
}

void block_cache::make_idle(block_hash hash, block& entry, base::instant now) {
    entry.idle_since = now;
    entry.last_use = ++use_counter_;
    if (entry.pins == 0) {
        evictable_.emplace(entry.last_use, hash);
    }
}

bool block_cache::reserve(std::uint64_t count, base::instant now) {
    if (used_blocks() - evictable_.size() + count > options_.total_blocks) {
        return false;
    }
    std::uint64_t evicted = 0;
    while (used_blocks() + count > options_.total_blocks) {
        evict_one(now);
        ++evicted;
    }
    if (evicted > 0) {
        note(backend::cache_event_kind::evicted, base::program_id{}, evicted, 0);
    }
    reserved_ += count;
    return true;
}

bool block_cache::evict_one(base::instant now) {
    if (evictable_.empty()) {
        return false;
    }
    const block_hash victim = evictable_.begin()->second;
    accounting_.evicted_block_seconds += seconds_between(blocks_.at(victim).idle_since, now);
    ++accounting_.evicted_blocks;
    evictable_.erase(evictable_.begin());
    blocks_.erase(victim);
    return true;
}

void block_cache::publish(block_hash hash, const base::program_id& program, base::instant now) {
    --reserved_;
    const auto [position, inserted] = blocks_.try_emplace(hash);
    if (inserted) {
        position->second.program = program;
        position->second.references = 1;
        return;
    }
    reference(hash, position->second, program, now);
}

void block_cache::add_pin(block_hash hash, block& entry) {
    if (entry.pins++ == 0) {
        ++pinned_blocks_;
        if (entry.references == 0) {
            evictable_.erase({entry.last_use, hash});
        }
    }
}

void block_cache::drop_pin(block_hash hash) {
    block& entry = blocks_.at(hash);
    if (--entry.pins == 0) {
        --pinned_blocks_;
        if (entry.references == 0) {
            evictable_.emplace(entry.last_use, hash);
        }
    }
}

std::uint64_t block_cache::pin(const base::program_id& program,
                               std::span<const block_hash> sequence, base::instant expires,
                               base::instant now) {
    const auto cached = sequence.first(match(sequence));
    for (const block_hash hash : cached) {
        add_pin(hash, blocks_.at(hash));
    }
    take_pin(program);
    if (cached.empty()) {
        return 0;
    }
    pins_[program] = {{cached.begin(), cached.end()}, expires};
    expiries_.emplace(expires, program);
    note(backend::cache_event_kind::pinned, program, cached.size(), cached.size());
    enforce_pin_limit(now);
    return pins_.contains(program) ? cached.size() : 0;
}

void block_cache::enforce_pin_limit(base::instant now) {
    const auto limit = static_cast<std::uint64_t>(static_cast<double>(options_.total_blocks) *
                                                  options_.max_pinned_fraction);
    while (pinned_blocks_ > limit) {
        break_oldest_pin(now);
    }
}

block_cache::program_pin block_cache::take_pin(const base::program_id& program) {
    const auto position = pins_.find(program);
    if (position == pins_.end()) {
        return {};
    }
    program_pin pin = std::move(position->second);
    expiries_.erase({pin.expires, program});
    pins_.erase(position);
    for (const block_hash hash : pin.blocks) {
        drop_pin(hash);
    }
    return pin;
}

std::uint64_t block_cache::renew(const base::program_id& program, base::instant expires) {
    const auto position = pins_.find(program);
    if (position == pins_.end()) {
        return 0;
    }
    expiries_.erase({position->second.expires, program});
    position->second.expires = expires;
    expiries_.emplace(expires, program);
    return position->second.blocks.size();
}

std::uint64_t block_cache::release_program(const base::program_id& program, base::instant now) {
    const program_pin pin = take_pin(program);
    if (pin.blocks.empty()) {
        return 0;
    }
    abandon(pin.blocks, program, now);
    note(backend::cache_event_kind::released, program, pin.blocks.size(), 0);
    return pin.blocks.size();
}

void block_cache::abandon(std::span<const block_hash> blocks, const base::program_id& program,
                          base::instant now) {
    for (const block_hash hash : blocks) {
        const auto position = blocks_.find(hash);
        const block& entry = position->second;
        if (entry.references > 0 || entry.pins > 0 || entry.shared || entry.program != program) {
            continue;
        }
        accounting_.abandoned_block_seconds += seconds_between(entry.idle_since, now);
        ++accounting_.abandoned_blocks;
        evictable_.erase({entry.last_use, hash});
        blocks_.erase(position);
    }
}

void block_cache::expire_pins(base::instant now) {
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const base::program_id program = expiries_.begin()->second;
        const program_pin pin = take_pin(program);
        note(backend::cache_event_kind::lease_lapsed, program, pin.blocks.size(),
             pin.blocks.size());
    }
}

std::optional<base::instant> block_cache::next_expiry() const {
    if (expiries_.empty()) {
        return std::nullopt;
    }
    return expiries_.begin()->first;
}

bool block_cache::break_oldest_pin(base::instant now) {
    if (expiries_.empty()) {
        return false;
    }
    const base::program_id program = expiries_.begin()->second;
    const program_pin pin = take_pin(program);
    note(backend::cache_event_kind::evicted, program, pin.blocks.size(), pin.blocks.size());
    return true;
}

std::uint64_t block_cache::import(const base::program_id& program,
                                  std::span<const block_hash> sequence, base::instant expires,
                                  base::instant now) {
    // Referenced while taken in, so that making room does not evict the prefix itself.
    const std::size_t cached = match(sequence);
    acquire(sequence.first(cached), program, now);
    std::size_t taken = cached;
    while (taken < sequence.size() && reserve(1, now)) {
        publish(sequence[taken++], program, now);
    }
    release(sequence.first(taken), now);
    pin(program, sequence.first(taken), expires, now);
    return taken;
}

std::vector<block_hash> block_cache::pinned_sequence(const base::program_id& program) const {
    const auto position = pins_.find(program);
    return position == pins_.end() ? std::vector<block_hash>{} : position->second.blocks;
}

void block_cache::clear(base::instant now) {
    while (break_oldest_pin(now)) {
    }
    while (evict_one(now)) {
    }
}

std::vector<backend::cache_holding> block_cache::holdings(base::instant now) const {
    std::vector<backend::cache_holding> result;
    for (const auto& [program, pin] : pins_) {
        const auto left = std::chrono::ceil<base::milliseconds>(pin.expires - now);
        result.push_back({program, pin.blocks.size(), std::max(left, base::milliseconds{0})});
    }
    return result;
}

void block_cache::note(backend::cache_event_kind kind, base::program_id program,
                       std::uint64_t blocks, std::uint64_t blocks_left) {
    changes_.push_back({kind, std::move(program), blocks, blocks_left});
}

}  // namespace pearbarrow::emulator
