/// Division of the back ends into cells, each with one dispatcher, and the choice of a call's cell.
/// All nodes with the same configuration compute the same.
///
/// A cell holds at most 16 engines of one pool, or one tool service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/configuration.h"

namespace pearbarrow::node {

/// Number `index` of a pool's cells, from 0. The cell of a tool service bears the service's name
/// with `tool_service_prefix` in the pool's place.
struct cell_id {
    base::pool_id pool;
    std::uint32_t index = 0;

    auto operator<=>(const cell_id&) const = default;
    MSGPACK_DEFINE(pool, index);
};

inline constexpr std::string_view tool_service_prefix = "tool_service/";

/// "pool/index".
std::string to_string(const cell_id& cell);

/// All cells of a configuration, ordered.
std::vector<cell_id> cells_of(const config::configuration& configuration);
/// The engines, or the tool service, of a cell, ordered by name.
std::vector<const config::object*> back_ends_of(const config::configuration& configuration,
                                                const cell_id& cell);
/// The pool or tool service whose labels stand for the cell; null when it is gone.
const config::object* labelled_object_of(const config::configuration& configuration,
                                         const cell_id& cell);
/// The model that an engine serves: its own or its pool's.
base::model_name model_of(const config::configuration& configuration,
                          const config::engine_spec& engine);

/// What a call needs of its cell: one of both is not empty.
struct cell_wish {
    base::program_id program;
    base::model_name model;
    base::tool_name tool;
    /// Labels as selectors over programs see them.
    config::label_set program_labels;
    base::backend_id last_engine;
};

/// The cell for a call, among those that the scheduling rules allow: the one with the last engine,
/// else one by the program's hash. None when no allowed cell serves the model or tool.
std::optional<cell_id> choose_cell(const config::configuration& configuration,
                                   const cell_wish& wish);

}  // namespace pearbarrow::node
