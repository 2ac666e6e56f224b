#include "pearbarrow/node/cell_map.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::node {

namespace {

constexpr std::uint32_t largest_cell = 16;

std::uint32_t cell_size_of(const config::pool_spec& pool) {
    return std::clamp<std::uint32_t>(pool.cell_size, 1, largest_cell);
}

bool is_tool_cell(const cell_id& cell) {
    return cell.pool.value().starts_with(tool_service_prefix);
}

std::string tool_service_of(const cell_id& cell) {
    return cell.pool.value().substr(tool_service_prefix.size());
}

/// True when the back end takes work and serves what the call needs.
bool serves(const config::configuration& configuration, const config::object& back_end,
            const cell_wish& wish) {
    if (const auto* engine = std::get_if<config::engine_spec>(&back_end.spec)) {
        return !engine->draining && !wish.model.value().empty() &&
               model_of(configuration, *engine) == wish.model;
    }
    const auto* service = std::get_if<config::tool_service_spec>(&back_end.spec);
    return service != nullptr && !service->draining && service->find(wish.tool) != nullptr;
}

}  // namespace

std::string to_string(const cell_id& cell) {
    return fmt::format("{}/{}", cell.pool.value(), cell.index);
}

std::vector<cell_id> cells_of(const config::configuration& configuration) {
    std::vector<cell_id> cells;
    for (const config::object* pool : configuration.all(config::object_kind::pool)) {
        const base::pool_id id(pool->name);
        const auto engines = static_cast<std::uint32_t>(configuration.engines_of(id).size());
        const std::uint32_t size = cell_size_of(std::get<config::pool_spec>(pool->spec));
        for (std::uint32_t index = 0; index * size < engines; ++index) {
            cells.push_back({id, index});
        }
    }
    for (const config::object* service : configuration.all(config::object_kind::tool_service)) {
        cells.push_back({base::pool_id(std::string(tool_service_prefix) + service->name), 0});
    }
    return cells;
}

std::vector<const config::object*> back_ends_of(const config::configuration& configuration,
                                                const cell_id& cell) {
    const config::object* labelled = labelled_object_of(configuration, cell);
    if (labelled == nullptr) {
        return {};
    }
    if (is_tool_cell(cell)) {
        return {labelled};
    }
    const auto& all = configuration.engines_of(cell.pool);
    const std::size_t size = cell_size_of(std::get<config::pool_spec>(labelled->spec));
    const std::size_t first = std::min(all.size(), cell.index * size);
    const std::size_t last = std::min(all.size(), first + size);
    return {all.begin() + static_cast<std::ptrdiff_t>(first),
            all.begin() + static_cast<std::ptrdiff_t>(last)};
}

const config::object* labelled_object_of(const config::configuration& configuration,
                                         const cell_id& cell) {
    return is_tool_cell(cell)
               ? configuration.find(config::object_kind::tool_service, tool_service_of(cell))
               : configuration.find(config::object_kind::pool, cell.pool.value());
}

base::model_name model_of(const config::configuration& configuration,
                          const config::engine_spec& engine) {
    if (!engine.model.value().empty()) {
        return engine.model;
    }
    const auto* pool = configuration.find_spec<config::pool_spec>(engine.pool.value());
    return pool == nullptr ? base::model_name() : pool->model;
}

std::optional<cell_id> choose_cell(const config::configuration& configuration,
                                   const cell_wish& wish) {
    std::optional<cell_id> best;
    std::uint64_t best_score = 0;
    for (const cell_id& cell : cells_of(configuration)) {
        const auto* labelled = labelled_object_of(configuration, cell);
        const auto back_ends = back_ends_of(configuration, cell);
        const bool useful = std::any_of(back_ends.begin(), back_ends.end(), [&](const auto* each) {
            return serves(configuration, *each, wish);
        });
        if (!useful ||
            !config::match_rules(configuration, wish.program_labels, config::pool_labels(*labelled))
                 .allowed) {
            continue;
        }
        const bool holds_last =
            std::any_of(back_ends.begin(), back_ends.end(),
                        [&](const auto* each) { return each->name == wish.last_engine.value(); });
        if (holds_last) {
            return cell;
        }
        const std::uint64_t score = base::stable_hash(wish.program.value() + "/" + to_string(cell));
        if (!best.has_value() || score > best_score) {
            best = cell;
            best_score = score;
        }
    }
    return best;
}

}  // namespace pearbarrow::node
