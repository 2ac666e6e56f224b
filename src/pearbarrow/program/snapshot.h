/// Serialization of the state of a shard's programs, without the conversations that the journal
/// retains.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/program/program_state.h"

namespace pearbarrow::program {

std::string encode_snapshot(const program_map& programs);

/// Restores the state from a snapshot (empty: no programs) and the records after it, in order.
/// Fails when any of them cannot be decoded or applied: a shard with a damaged journal must not be
/// served.
absl::StatusOr<program_map> restore(std::string_view snapshot,
                                    const std::vector<std::string>& payloads);

}  // namespace pearbarrow::program
