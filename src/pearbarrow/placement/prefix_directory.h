/// Estimated contents of the prefix caches of a cell's engines. Grants and finished calls add
/// entries, cache events correct them, and each engine's memory limits them.
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
    /// Clears all entries when the number of engines changes.
    void set_engines(const std::vector<std::uint64_t>& token_limits);

    /// Records that the engine caches the program's first `tokens` tokens; `shared` of them belong
    /// to separately recorded prefixes. Entries are evicted in order of `keep_until`.
    void record_program(const base::program_id& program, std::size_t engine, std::uint32_t tokens,
                        std::uint32_t shared, base::instant keep_until);
    void record_shared(const wire::prefix_mark& mark, std::size_t engine, std::uint32_t own_tokens,
                       base::instant now);

    /// Tokens of the program's own sequence believed to be on the engine; 0 if none.
    std::uint32_t program_tokens(const base::program_id& program, std::size_t engine) const;
    /// Tokens of a prompt that an engine has cached.
    struct held_tokens {
        /// Tokens of the program's own sequence or of the longest mark, the larger of the two.
        std::uint32_t cached = 0;
        /// Tokens of the longest mark.
        std::uint32_t shared = 0;
    };
    /// Raises the entries of `per_engine` (one per engine) to the tokens that the engines have
    /// cached.
    void fill(const base::program_id& program, const std::vector<wire::prefix_mark>& marks,
              std::vector<held_tokens>& per_engine) const;
    /// Length in tokens of the longest mark that the engine has cached.
    std::uint32_t shared_tokens(const std::vector<wire::prefix_mark>& marks,
                                std::size_t engine) const;

    void set_tokens_left(const base::program_id& program, std::size_t engine, std::uint32_t tokens);
    void forget_program(const base::program_id& program);
    /// Removes the program's entries on engines other than `kept`, and returns these engines in
    /// ascending order.
    std::vector<std::size_t> forget_elsewhere(const base::program_id& program, std::size_t kept);
    void clear_engine(std::size_t engine);
    std::uint64_t tokens_held(std::size_t engine) const { return engines_[engine].held; }
    std::size_t size() const { return holdings_.size(); }

  private:
    /// Hash of a program's sequence or of a shared prefix.
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
    /// A vector suffices because few engines cache the same prefix.
    absl::flat_hash_map<key, std::vector<holding>> holdings_;
};

}  // namespace pearbarrow::placement
