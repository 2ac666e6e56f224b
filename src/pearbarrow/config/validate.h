/// Validates a change against its base configuration before it is written.
#pragma once

#include <vector>

#include "pearbarrow/config/change.h"
#include "pearbarrow/config/configuration.h"

namespace pearbarrow::config {

/// Maximum size of an encoded change. etcd rejects requests above 1.5 MiB.
inline constexpr std::size_t max_change_bytes = 1'000'000;

/// Returns all problems of the change: invalid names, labels and values, references to missing
/// objects, API keys shared by tenants, and removal of objects that are still referenced. Empty if
/// the change is valid.
std::vector<field_error> validate_change(const configuration& current, const change& next);

/// Returns the problems within one object, independent of other objects.
std::vector<field_error> validate_object(const object& value);

}  // namespace pearbarrow::config
