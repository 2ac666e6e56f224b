/// A node's copy of the configuration in its data folder, so that it can start during an outage of
/// the platform without waiting for a peer. Optional: a node without a disk learns from peers.
#pragma once

#include <filesystem>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/config/configuration.h"

namespace pearbarrow::config {

/// Replaces the copy in `file` as one step, by a rename.
absl::Status save_copy(const std::filesystem::path& file, const configuration& value);

/// kNotFound when there is no copy; kDataLoss when it is torn or damaged: then learn from peers.
absl::StatusOr<configuration_ptr> load_copy(const std::filesystem::path& file);

}  // namespace pearbarrow::config
