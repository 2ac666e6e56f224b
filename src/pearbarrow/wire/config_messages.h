/// The peer call `config_fetch`: what follows a version of the configuration log.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"

namespace pearbarrow::wire {

struct config_fetch_request {
    /// The asker's version; the answer holds what follows it.
    base::config_version after;
    MSGPACK_DEFINE(after);
};

/// An entry of the log; `content` is the JSON text of `config::encode_change`.
struct config_entry {
    base::config_version version;
    std::string content;
    MSGPACK_DEFINE(version, content);
};

struct config_fetch_reply {
    /// The answering node's version.
    base::config_version version;
    /// JSON text of `config::encode_configuration`; empty when the entries suffice.
    std::string snapshot;
    std::vector<config_entry> entries;
    MSGPACK_DEFINE(version, snapshot, entries);
};

}  // namespace pearbarrow::wire
