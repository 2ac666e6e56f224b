/// Checks of a change against the configuration that it is made for, before it is written.
#pragma once

#include <vector>

#include "pearbarrow/config/change.h"
#include "pearbarrow/config/configuration.h"

namespace pearbarrow::config {

/// Largest change, as encoded, that the log takes: etcd refuses requests above 1.5 MiB.
inline constexpr std::size_t max_change_bytes = 1'000'000;

/// Every mistake that the change would bring in: names, labels, ranges, references to objects that
/// would not exist, keys of two tenants that are the same, objects still referred to. Empty: good.
std::vector<field_error> validate_change(const configuration& current, const change& next);

/// Mistakes within one object, whatever the others are.
std::vector<field_error> validate_object(const object& value);

}  // namespace pearbarrow::config
