/// Prefix cache of a simulated engine. It keeps prefixes by name instead of blocks by hash: shared
/// prefixes (system prompt, document) and each program's own sequence behind them, which is what
/// the block hashes of these workloads amount to. Prefixes shrink from their tail, block by block,
/// least recently used first; pinned ones stay until the pin lapses or must give way.
#pragma once

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace pearbarrow::bench {

/// Simulated time in microseconds.
using sim_time = std::int64_t;
inline constexpr double us_per_second = 1e6;

/// What became of the time that cached tokens lay idle, in token-seconds.
struct idle_accounting {
    double reused = 0;
    double evicted = 0;
    double abandoned = 0;
    /// Memory spent on prefixes that were evicted or abandoned before they were reused.
    double wasted() const { return evicted + abandoned; }
};

/// One prefix of a sequence: its name and its own tokens, behind the prefixes before it.
struct prefix_part {
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;
};

class prefix_cache {
  public:
    prefix_cache(std::uint64_t total_tokens, std::uint32_t block_tokens, double most_pinned)
        : total_(total_tokens),
          block_(block_tokens),
          pin_limit_(static_cast<std::uint64_t>(most_pinned * static_cast<double>(total_tokens))) {}

    /// Tokens at the head of the sequence that need not be computed.
    std::uint32_t match(const std::vector<prefix_part>& parts) const;
    /// Takes room for the whole sequence and references it. False: no room, nothing changed.
    bool acquire(const std::vector<prefix_part>& parts, sim_time now);
    /// The sequence has been computed up to `tokens` tokens.
    void set_computed(const std::vector<prefix_part>& parts, std::uint32_t tokens);
    /// Ends the references. What was not computed is freed, the rest stays cached.
    void release(const std::vector<prefix_part>& parts, sim_time now);

    void pin(std::uint64_t key, sim_time until, sim_time now);
    void expire_pins(sim_time now);
    /// Ends the pin that lapses first. False without pins.
    bool break_oldest_pin();
    /// Frees a program's own prefix, unless it is running.
    void abandon(std::uint64_t key, sim_time now);
    /// Everything is lost. Only while nothing is referenced.
    void clear(sim_time now);

    std::uint64_t used() const { return used_; }
    const idle_accounting& idle() const { return idle_; }
    /// Own prefixes of programs that were evicted since the last call: key and tokens left.
    std::vector<prefix_part> take_evictions() { return std::exchange(evictions_, {}); }

  private:
    struct entry {
        /// Room taken, and the part of it that has been computed.
        std::uint32_t tokens = 0;
        std::uint32_t ready = 0;
        std::uint32_t references = 0;
        std::uint32_t children = 0;
        std::uint64_t parent = 0;
        sim_time idle_since = 0;
        std::uint64_t last_use = 0;
        sim_time pinned_until = 0;
    };

    bool make_room(std::uint64_t tokens, sim_time now);
    void shrink(std::uint64_t key, entry& found, std::uint32_t by);
    void erase(std::uint64_t key);
    /// Enters or leaves the list of what may be evicted, as references, pins and children say.
    void relist(std::uint64_t key, entry& found);
    void unlist(std::uint64_t key, const entry& found);
    void unpin(std::uint64_t key, entry& found);
    double idle_token_seconds(const entry& found, sim_time now) const;

    std::uint64_t total_;
    std::uint32_t block_;
    std::uint64_t pin_limit_;
    std::uint64_t used_ = 0;
    std::uint64_t pinned_ = 0;
    std::uint64_t use_counter_ = 0;
    absl::flat_hash_map<std::uint64_t, entry> entries_;
    std::set<std::pair<std::uint64_t, std::uint64_t>> evictable_;
    std::set<std::pair<sim_time, std::uint64_t>> pins_;
    idle_accounting idle_;
    std::vector<prefix_part> evictions_;
};

}  // namespace pearbarrow::bench
