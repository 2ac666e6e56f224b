/// Prefix cache of an emulated engine: blocks in limited memory, shared by hash, evicted in order
/// of last use, pinned by programs under leases. Pure: time is handed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/emulator/prompt_blocks.h"

namespace pearbarrow::emulator {

struct block_cache_options {
    std::uint64_t total_blocks = 8192;
    /// Largest part of the memory that pins may hold; the pin that lapses first gives way.
    double max_pinned_fraction = 0.8;
};

/// What became of the time that cached blocks lay idle, in block-seconds and blocks.
struct cache_accounting {
    /// Idle time that ended in reuse.
    double reused_block_seconds = 0;
    std::uint64_t reused_blocks = 0;
    /// Idle time of blocks evicted before they were reused.
    double evicted_block_seconds = 0;
    std::uint64_t evicted_blocks = 0;
    /// Idle time of blocks whose program gave them back, or ended, before they were reused.
    double abandoned_block_seconds = 0;
    std::uint64_t abandoned_blocks = 0;

    /// Memory spent on prefixes that were evicted or abandoned before reuse.
    double wasted_block_seconds() const { return evicted_block_seconds + abandoned_block_seconds; }
};

/// A change worth a cache event.
struct cache_change {
    backend::cache_event_kind kind = backend::cache_event_kind::pinned;
    base::program_id program;
    std::uint64_t blocks = 0;
    std::uint64_t blocks_left = 0;
};

class block_cache {
  public:
    explicit block_cache(block_cache_options options) : options_(options) {}

    /// Number of leading blocks of the sequence that are cached.
    std::size_t match(std::span<const block_hash> sequence) const;
    /// References cached blocks for a running sequence of `program`.
    void acquire(std::span<const block_hash> blocks, const base::program_id& program,
                 base::instant now);
    /// Ends references; blocks stay cached. The deepest are the first to be evicted later.
    void release(std::span<const block_hash> blocks, base::instant now);
    /// Takes room for blocks not computed yet, evicting as needed. False: no room.
    bool reserve(std::uint64_t count, base::instant now);
    void unreserve(std::uint64_t count) { reserved_ -= count; }
    /// Turns a reserved block into a cached, referenced one. A block that another sequence
    /// computed meanwhile is shared, and the reserved room given back.
    void publish(block_hash hash, const base::program_id& program, base::instant now);

    /// Pins the leading cached blocks of `sequence` for the program, in place of its earlier pin.
    /// Returns the number of blocks pinned.
    std::uint64_t pin(const base::program_id& program, std::span<const block_hash> sequence,
                      base::instant expires, base::instant now);
    /// Moves the expiry of a program's pin. Returns the blocks pinned; 0 without a pin.
    std::uint64_t renew(const base::program_id& program, base::instant expires);
    /// Ends a program's pin and frees the blocks that no other program has used. Returns the
    /// number of blocks that were pinned.
    std::uint64_t release_program(const base::program_id& program, base::instant now);
    /// Ends the pins whose lease has lapsed; their blocks stay cached, unpinned.
    void expire_pins(base::instant now);
    std::optional<base::instant> next_expiry() const;
    /// Ends the pin that lapses first, whatever its lease. False without pins.
    bool break_oldest_pin(base::instant now);
    /// Takes in blocks computed elsewhere and pins them. Returns the blocks now cached.
    std::uint64_t import(const base::program_id& program, std::span<const block_hash> sequence,
                         base::instant expires, base::instant now);
    /// Blocks of a program's pin, first block first; empty without one.
    std::vector<block_hash> pinned_sequence(const base::program_id& program) const;
    /// Drops everything not referenced, pins included: another model is loaded.
    void clear(base::instant now);

    std::vector<backend::cache_holding> holdings(base::instant now) const;
    std::uint64_t used_blocks() const { return blocks_.size() + reserved_; }
    std::uint64_t pinned_blocks() const { return pinned_blocks_; }
    std::uint64_t total_blocks() const { return options_.total_blocks; }
    const cache_accounting& accounting() const { return accounting_; }
    /// Takes the changes since the last call.
    std::vector<cache_change> take_changes() { return std::exchange(changes_, {}); }

  private:
    struct block {
        std::uint32_t references = 0;
        std::uint32_t pins = 0;
        base::program_id program;
        bool shared = false;
        base::instant idle_since;
        std::uint64_t last_use = 0;
    };
    struct program_pin {
        std::vector<block_hash> blocks;
        base::instant expires;
    };

    void reference(block_hash hash, block& entry, const base::program_id& program,
                   base::instant now);
    void add_pin(block_hash hash, block& entry);
    void drop_pin(block_hash hash);
    void make_idle(block_hash hash, block& entry, base::instant now);
    bool evict_one(base::instant now);
    void abandon(std::span<const block_hash> blocks, const base::program_id& program,
                 base::instant now);
    /// Removes a program's pin without freeing blocks.
    program_pin take_pin(const base::program_id& program);
    void enforce_pin_limit(base::instant now);
    void note(backend::cache_event_kind kind, base::program_id program, std::uint64_t blocks,
              std::uint64_t blocks_left);

    block_cache_options options_;
    std::unordered_map<block_hash, block> blocks_;
    /// Evictable blocks, least recently used first.
    std::set<std::pair<std::uint64_t, block_hash>> evictable_;
    std::map<base::program_id, program_pin> pins_;
    std::set<std::pair<base::instant, base::program_id>> expiries_;
    std::uint64_t reserved_ = 0;
    std::uint64_t pinned_blocks_ = 0;
    std::uint64_t use_counter_ = 0;
    cache_accounting accounting_;
    std::vector<cache_change> changes_;
};

}  // namespace pearbarrow::emulator
