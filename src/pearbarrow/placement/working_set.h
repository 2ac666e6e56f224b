/// Memory used by the prefixes of the active programs on each engine of a cell. A program is active
/// while it runs or pauses briefly. If more programs open than fit, they evict each other's
/// prefixes.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"

namespace pearbarrow::placement {

class working_set {
  public:
    /// Removes all programs, because the order of the engines may have changed.
    void set_engines(std::size_t count);
    /// Records that the program runs on `engine` or, with `paused_since`, pauses there.
    void put(const base::program_id& program, std::size_t engine, std::uint64_t tokens,
             std::optional<base::instant> paused_since);
    void remove(const base::program_id& program);
    /// Removes programs that have paused since `bound` or earlier.
    void expire(base::instant bound);
    std::uint64_t tokens(std::size_t engine) const { return tokens_[engine]; }

  private:
    struct entry {
        std::size_t engine = 0;
        std::uint64_t tokens = 0;
        std::optional<base::instant> paused_since;
    };

    std::vector<std::uint64_t> tokens_;
    absl::flat_hash_map<base::program_id, entry> programs_;
    std::set<std::pair<base::instant, base::program_id>> paused_;
};

}  // namespace pearbarrow::placement
