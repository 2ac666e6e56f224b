/// Copy of the configuration in the data folder of a node. It lets the node start during an outage
/// of the platform without waiting for a peer. A node without a disk fetches the configuration from
/// peers.
#pragma once

#include <filesystem>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/config/configuration.h"

namespace pearbarrow::config {

/// Replaces the copy in `file` atomically by a rename.
absl::Status save_copy(const std::filesystem::path& file, const configuration& value);

/// Loads the copy. Fails with kNotFound if there is no copy and with kDataLoss if it is torn or
/// damaged. The caller then fetches the configuration from peers.
absl::StatusOr<configuration_ptr> load_copy(const std::filesystem::path& file);

}  // namespace pearbarrow::config
