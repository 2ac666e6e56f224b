/// The programs under way on each engine of a cell, by the memory that their prefixes take: those
/// that run and those that pause briefly. Opening more programs than fit makes each evict the
/// others' prefixes.
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
    /// Forgets everything: the engines' order may have changed.
    void set_engines(std::size_t count);
    /// The program runs on `engine`, or (with `paused_since`) pauses there.
    void put(const base::program_id& program, std::size_t engine, std::uint64_t tokens,
             std::optional<base::instant> paused_since);
    void remove(const base::program_id& program);
    /// Drops programs that have paused since `bound` or longer.
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
