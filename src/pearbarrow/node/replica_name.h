/// Names of journal replicas in the configuration's shard map.
///
/// A replica is named `node@store`, or `node@store.generation` when its shard was reset there. The
/// store's identity is part of the name, so that a node that comes back with an empty disk has no
/// vote until the shard map names its new store.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "pearbarrow/config/objects.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::node {

/// The text under which the shard map lists `member`.
base::node_id replica_name(const wire::journal_member& member);

/// None when `name` is not a replica's name.
std::optional<wire::journal_member> parse_replica_name(std::string_view name);

/// The replica set of an assignment; none when a name can't be read.
std::optional<wire::journal_replica_set> replica_set_of(const config::shard_assignment& shard);

}  // namespace pearbarrow::node
