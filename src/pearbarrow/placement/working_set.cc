#include "pearbarrow/placement/working_set.h"

namespace pearbarrow::placement {

void working_set::set_engines(std::size_t count) {
    tokens_.assign(count, 0);
    programs_.clear();
    paused_.clear();
}

void working_set::put(const base::program_id& program, std::size_t engine, std::uint64_t tokens,
                      std::optional<base::instant> paused_since) {
    remove(program);
    programs_[program] = {engine, tokens, paused_since};
    tokens_[engine] += tokens;
    if (paused_since) {
        paused_.emplace(*paused_since, program);
    }
}

void working_set::remove(const base::program_id& program) {
    const auto found = programs_.find(program);
    if (found == programs_.end()) {
        return;
    }
    tokens_[found->second.engine] -= found->second.tokens;
    if (found->second.paused_since) {
        paused_.erase({*found->second.paused_since, program});
    }
    programs_.erase(found);
}

void working_set::expire(base::instant bound) {
    while (!paused_.empty() && paused_.begin()->first <= bound) {
        const base::program_id program = paused_.begin()->second;
        remove(program);
    }
}

}  // namespace pearbarrow::placement
