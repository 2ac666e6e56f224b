/// Messages of the peer method `config_fetch`, which returns the entries of the configuration log
/// after a version.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"

namespace pearbarrow::wire {

struct config_fetch_request {
    /// Version of the requesting node. The reply contains the entries after it.
    base::config_version after;
    MSGPACK_DEFINE(after);
};

/// An entry of the log. `content` is the JSON text of `config::encode_change`.
struct config_entry {
    base::config_version version;
    std::string content;
    MSGPACK_DEFINE(version, content);
};

struct config_fetch_reply {
    /// Version of the replying node.
    base::config_version version;
    /// JSON text of `config::encode_configuration`. Empty if the entries are sufficient.
    std::string snapshot;
    std::vector<config_entry> entries;
    MSGPACK_DEFINE(version, snapshot, entries);
};

}  // namespace pearbarrow::wire
