/// The state of a shard's programs as bytes, without the conversations that the journal retains.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/program/program_state.h"

namespace pearbarrow::program {

std::string encode_snapshot(const program_map& programs);

/// State from a snapshot (empty bytes: no programs) and the records after it, in order. Fails
/// when any of them can't be read or applied: a shard with a damaged journal must not be served.
absl::StatusOr<program_map> restore(std::string_view snapshot,
                                    const std::vector<std::string>& payloads);

}  // namespace pearbarrow::program
