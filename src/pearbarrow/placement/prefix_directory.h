/// What the engines of a cell are believed to hold in their prefix caches: a mirror kept from
/// grants and finished calls, corrected by cache events, bounded by each engine's memory.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::placement {

class prefix_directory {
  public:
    /// Forgets everything when the number of engines differs.
    void set_engines(const std::vector<std::uint64_t>& token_limits);

    /// The engine holds the program's first `tokens` tokens, of which `shared` are in prefixes that
    /// are recorded by themselves. Kept ahead of others until `keep_until`.
    void record_program(const base::program_id& program, std::size_t engine, std::uint32_t tokens,
                        std::uint32_t shared, base::instant keep_until);
    void record_shared(const wire::prefix_mark& mark, std::size_t engine, std::uint32_t own_tokens,
                       base::instant now);

    /// Tokens of the program's own sequence believed to be on the engine; 0 if none.
    std::uint32_t program_tokens(const base::program_id& program, std::size_t engine) const;
    /// What an engine holds of a prompt, in tokens.
    struct held_tokens {
        /// Of the program's own sequence or of a mark, whichever is longer.
        std::uint32_t cached = 0;
        /// Of the longest mark alone.
        std::uint32_t shared = 0;
    };
    /// Raises the slots of `per_engine` (one for each engine) to what the engines hold.
    void fill(const base::program_id& program, const std::vector<wire::prefix_mark>& marks,
              std::vector<held_tokens>& per_engine) const;
    /// Longest of the marks that the engine holds, in tokens.
    std::uint32_t shared_tokens(const std::vector<wire::prefix_mark>& marks,
                                std::size_t engine) const;

    void set_tokens_left(const base::program_id& program, std::size_t engine, std::uint32_t tokens);
    void forget_program(const base::program_id& program);
    /// Engines other than `kept` that hold something of the program, ascending; forgets them.
    std::vector<std::size_t> forget_elsewhere(const base::program_id& program, std::size_t kept);
    void clear_engine(std::size_t engine);
    std::uint64_t tokens_held(std::size_t engine) const { return engines_[engine].held; }
    std::size_t size() const { return holdings_.size(); }

  private:
    /// A program's sequence or a shared prefix, as a number.
    using key = std::uint64_t;
    struct holding {
        std::uint32_t engine = 0;
        std::uint32_t tokens = 0;
        std::uint32_t own_tokens = 0;
        base::instant keep_until;
    };
    struct engine_holdings {
        std::uint64_t limit = 0;
        std::uint64_t held = 0;
        std::set<std::pair<base::instant, key>> order;
    };

    static key key_of(const base::program_id& program);
    static key key_of(const wire::prefix_mark& mark);
    const holding* find(key name, std::size_t engine) const;
    void put(key name, holding value);
    void drop(key name, std::size_t engine);

    std::vector<engine_holdings> engines_;
    /// Few engines hold one prefix, so a short vector each.
    absl::flat_hash_map<key, std::vector<holding>> holdings_;
};

}  // namespace pearbarrow::placement
