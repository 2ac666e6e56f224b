#include "pearbarrow/placement/prefix_directory.h"

#include <algorithm>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::placement {
namespace {

/// Separates the keys of shared prefixes from those of programs.
constexpr std::uint64_t shared_key_salt = 0x9e3779b97f4a7c15ULL;

}  // namespace

prefix_directory::key prefix_directory::key_of(const base::program_id& program) {
    return base::stable_hash(program.value());
}

prefix_directory::key prefix_directory::key_of(const wire::prefix_mark& mark) {
    return mark.key ^ shared_key_salt;
}

void prefix_directory::set_engines(const std::vector<std::uint64_t>& token_limits) {
    if (engines_.size() != token_limits.size()) {
        holdings_.clear();
        engines_.assign(token_limits.size(), {});
    }
    for (std::size_t index = 0; index < token_limits.size(); ++index) {
        engines_[index].limit = token_limits[index];
    }
}

const prefix_directory::holding* prefix_directory::find(key name, std::size_t engine) const {
    const auto found = holdings_.find(name);
    if (found == holdings_.end()) {
        return nullptr;
    }
    for (const holding& entry : found->second) {
        if (entry.engine == engine) {
            return &entry;
        }
    }
    return nullptr;
}

void prefix_directory::put(key name, holding value) {
    drop(name, value.engine);
    engine_holdings& engine = engines_[value.engine];
    engine.held += value.own_tokens;
    engine.order.emplace(value.keep_until, name);
    holdings_[name].push_back(value);
    while (engine.held > engine.limit && engine.order.size() > 1) {
        drop(engine.order.begin()->second, value.engine);
    }
}

void prefix_directory::drop(key name, std::size_t engine) {
    const auto found = holdings_.find(name);
    if (found == holdings_.end()) {
        return;
    }
    std::vector<holding>& entries = found->second;
    const auto entry = std::find_if(entries.begin(), entries.end(), [&](const holding& candidate) {
        return candidate.engine == engine;
    });
    if (entry == entries.end()) {
        return;
    }
    engines_[engine].held -= entry->own_tokens;
    engines_[engine].order.erase({entry->keep_until, name});
    entries.erase(entry);
    if (entries.empty()) {
        holdings_.erase(found);
    }
}

void prefix_directory::record_program(const base::program_id& program, std::size_t engine,
                                      std::uint32_t tokens, std::uint32_t shared,
                                      base::instant keep_until) {
    put(key_of(program), {static_cast<std::uint32_t>(engine), tokens,
                          tokens - std::min(shared, tokens), keep_until});
}

void prefix_directory::record_shared(const wire::prefix_mark& mark, std::size_t engine,
                                     std::uint32_t own_tokens, base::instant now) {
    put(key_of(mark), {static_cast<std::uint32_t>(engine), mark.tokens, own_tokens, now});
}

std::uint32_t prefix_directory::program_tokens(const base::program_id& program,
                                               std::size_t engine) const {
    const holding* found = find(key_of(program), engine);
    return found == nullptr ? 0 : found->tokens;
}

void prefix_directory::fill(const base::program_id& program,
                            const std::vector<wire::prefix_mark>& marks,
                            std::vector<held_tokens>& per_engine) const {
    if (const auto own = holdings_.find(key_of(program)); own != holdings_.end()) {
        for (const holding& entry : own->second) {
            held_tokens& held = per_engine[entry.engine];
            held.cached = std::max(held.cached, entry.tokens);
        }
    }
    for (const wire::prefix_mark& mark : marks) {
        const auto found = holdings_.find(key_of(mark));
        if (found == holdings_.end()) {
            continue;
        }
        for (const holding& entry : found->second) {
            held_tokens& held = per_engine[entry.engine];
            held.cached = std::max(held.cached, entry.tokens);
            held.shared = std::max(held.shared, entry.tokens);
        }
    }
}

std::uint32_t prefix_directory::shared_tokens(const std::vector<wire::prefix_mark>& marks,
                                              std::size_t engine) const {
    std::uint32_t longest = 0;
    for (const wire::prefix_mark& mark : marks) {
        if (const holding* found = find(key_of(mark), engine)) {
            longest = std::max(longest, found->tokens);
        }
    }
    return longest;
}

void prefix_directory::set_tokens_left(const base::program_id& program, std::size_t engine,
                                       std::uint32_t tokens) {
    const key name = key_of(program);
    const holding* found = find(name, engine);
    if (found == nullptr || found->tokens <= tokens) {
        return;
    }
    if (tokens == 0) {
        drop(name, engine);
        return;
    }
    holding changed = *found;
    changed.own_tokens -= std::min(changed.own_tokens, changed.tokens - tokens);
    changed.tokens = tokens;
    put(name, changed);
}

void prefix_directory::forget_program(const base::program_id& program) {
    const key name = key_of(program);
    for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
        drop(name, engine);
    }
}

std::vector<std::size_t> prefix_directory::forget_elsewhere(const base::program_id& program,
                                                            std::size_t kept) {
    std::vector<std::size_t> engines;
    const key name = key_of(program);
    const auto found = holdings_.find(name);
    if (found == holdings_.end()) {
        return engines;
    }
    for (const holding& entry : found->second) {
        if (entry.engine != kept) {
            engines.push_back(entry.engine);
        }
    }
    std::sort(engines.begin(), engines.end());
    for (const std::size_t engine : engines) {
        drop(name, engine);
    }
    return engines;
}

void prefix_directory::clear_engine(std::size_t engine) {
    while (!engines_[engine].order.empty()) {
        drop(engines_[engine].order.begin()->second, engine);
    }
}

}  // namespace pearbarrow::placement
