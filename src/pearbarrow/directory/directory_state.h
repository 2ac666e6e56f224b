/// The newest parts of the directory that a node has seen, from whichever source.
#pragma once

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::directory {

/// How new the parts of a directory are; 0: the part is not known.
struct directory_versions {
    std::uint64_t config = 0;
    std::uint64_t backends = 0;
    std::uint64_t storage = 0;

    bool operator==(const directory_versions&) const = default;
    MSGPACK_DEFINE(config, backends, storage);
};

/// Parts of a directory that are newer than what the receiver had.
struct directory_update {
    /// Each has one item or none: msgpack-c packs no std::optional in C++11 mode.
    std::vector<configuration> config;
    std::vector<backend_list> backends;
    std::vector<storage_view> storage;

    bool is_empty() const { return config.empty() && backends.empty() && storage.empty(); }
    MSGPACK_DEFINE(config, backends, storage);
};

/// Invariant: within the life of an object no part is ever replaced by an older one.
class directory_state {
  public:
    /// Which parts a call replaced.
    struct changes {
        bool config = false;
        bool backends = false;
        bool storage = false;

        bool any() const { return config || backends || storage; }
    };

    /// Takes each part that is newer than the one held.
    changes apply(directory_update update);
    const snapshot& current() const { return current_; }
    directory_versions versions() const;
    /// The parts that someone who has `known` lacks.
    directory_update newer_than(const directory_versions& known) const;

  private:
    snapshot current_;
};

}  // namespace pearbarrow::directory
