#include "pearbarrow/node/cache_reconciler.h"

#include <utility>

namespace pearbarrow::node {

void cache_reconciler::set_engines(const std::vector<base::backend_id>& engines) {
    std::map<base::backend_id, watched_engine> kept;
    for (const base::backend_id& engine : engines) {
        kept[engine] = std::move(engines_[engine]);
    }
    engines_ = std::move(kept);
}

std::vector<base::backend_id> cache_reconciler::due(base::instant now) {
    std::vector<base::backend_id> result;
    for (auto& [id, engine] : engines_) {
        if (now >= engine.next_listing) {
            engine.next_listing = now + options_.interval;
            result.push_back(id);
        }
    }
    return result;
}

std::vector<base::program_id> cache_reconciler::take_listing(
    const base::backend_id& engine, const std::vector<base::program_id>& programs,
    base::instant now) {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return {};
    }
    std::map<base::program_id, base::instant> held;
    std::vector<base::program_id> questions;
    for (const base::program_id& program : programs) {
        const auto known = found->second.held_since.find(program);
        const base::instant since = known == found->second.held_since.end() ? now : known->second;
        if (held.emplace(program, since).second && now - since >= options_.grace) {
            questions.push_back(program);
        }
    }
    found->second.held_since = std::move(held);
    return questions;
}

std::vector<cache_orphan> cache_reconciler::take_ended(
    const std::vector<base::program_id>& programs) const {
    std::vector<cache_orphan> result;
    for (const auto& [id, engine] : engines_) {
        for (const base::program_id& program : programs) {
            if (engine.held_since.contains(program)) {
                result.push_back({id, program});
            }
        }
    }
    return result;
}

}  // namespace pearbarrow::node
