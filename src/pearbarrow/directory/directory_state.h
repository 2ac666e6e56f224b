/// The newest parts of the directory that a node has seen, from whichever source.
#pragma once

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "pearbarrow/directory/backend_history.h"
#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::directory {

/// How new the parts of a directory are; 0: the part is not known.
struct directory_versions {
    std::uint64_t config = 0;
    std::uint64_t backends = 0;
    std::uint64_t storage = 0;
    std::uint64_t retirements = 0;
    /// Names the contents of the list of back ends, beside its revision.
    std::uint64_t backends_digest = 0;
    std::uint64_t emptied_zones = 0;

    /// Whether some part of this is newer than the same part of the other.
    bool is_ahead_of(const directory_versions& other) const;
    bool operator==(const directory_versions&) const = default;
    MSGPACK_DEFINE(config, backends, storage, retirements, backends_digest, emptied_zones);
};

/// Parts of a directory that are newer than what the receiver had.
struct directory_update {
    /// Each has one item or none: msgpack-c packs no std::optional in C++11 mode.
    std::vector<configuration> config;
    std::vector<backend_list> backends;
    std::vector<storage_view> storage;
    std::vector<retirement_list> retirements;
    /// In place of `backends`, where these are enough.
    std::vector<backend_changes> backend_steps;
    std::vector<emptied_zone_list> emptied_zones;

    bool is_empty() const {
        return config.empty() && backends.empty() && storage.empty() && retirements.empty() &&
               backend_steps.empty() && emptied_zones.empty();
    }
    MSGPACK_DEFINE(config, backends, storage, retirements, backend_steps, emptied_zones);
};

/// Invariant: within the life of an object no part is ever replaced by an older one.
class directory_state {
  public:
    /// Which parts say something else than before.
    struct changes {
        bool config = false;
        bool backends = false;
        bool storage = false;
        bool retirements = false;
        bool emptied_zones = false;

        bool any() const { return config || backends || storage || retirements || emptied_zones; }
    };

    /// Takes each part that is newer than the one held. Back ends, retirements and emptied zones
    /// are read at every change of anything at the outside service: the same content at a newer
    /// revision is taken without being a change.
    changes apply(directory_update update);
    const snapshot& current() const { return current_; }
    directory_versions versions() const;
    /// The parts that someone who has `known` lacks.
    directory_update newer_than(const directory_versions& known) const;

  private:
    bool apply_backends(directory_update& update);
    bool replace_backends(backend_list next);

    snapshot current_;
    backend_history history_;
    std::uint64_t backends_digest_ = 0;
};

}  // namespace pearbarrow::directory
