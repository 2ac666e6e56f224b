/// The newest parts of the directory that a node has seen, from whichever source.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <vector>

#include "pearbarrow/directory/backend_index.h"
#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::directory {

/// How new the parts of a directory are; 0: the part is not known.
struct directory_versions {
    std::uint64_t config = 0;
    std::uint64_t backends = 0;
    std::uint64_t storage = 0;
    std::uint64_t retirements = 0;
    /// Names the contents of the list of back ends, whatever its revision. Builds before
    /// `watch_question::takes_parts` made it in another way.
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
    /// In place of `backends`, for one who asks for the parts that differ.
    std::vector<backend_digests> digests;

    // From the outside service alone, told to nobody in this form.
    std::optional<backend_reading> reading;
    std::optional<backend_events> events;
    /// Parts that were asked for after `digests`.
    std::optional<backend_parts> parts;

    bool is_empty() const {
        return config.empty() && backends.empty() && storage.empty() && retirements.empty() &&
               backend_steps.empty() && emptied_zones.empty() && digests.empty() &&
               !reading.has_value() && !events.has_value() && !parts.has_value();
    }
    MSGPACK_DEFINE(config, backends, storage, retirements, backend_steps, emptied_zones, digests);
};

/// Who is told.
struct update_receiver {
    directory_versions known;
    /// Its digests are made as this build's are.
    bool tells_digest = true;
    /// It asks for the parts of a list that differ from its own.
    bool takes_parts = false;
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
        /// Of the back ends, where `backends` is set.
        backend_changes step;

        bool any() const { return config || backends || storage || retirements || emptied_zones; }
    };

    /// Takes each part that is newer than the one held. Back ends, retirements and emptied zones
    /// are read at every change of anything at the outside service: the same content at a newer
    /// revision is taken without being a change.
    changes apply(directory_update update);
    const snapshot& current() const { return current_; }
    directory_versions versions() const;
    /// Whether someone who has `known` lacks something. The same back ends at a newer revision are
    /// nothing to be told.
    bool is_news_to(const directory_versions& known) const;
    /// The parts that someone who has `known` lacks.
    directory_update newer_than(const directory_versions& known) const;
    /// The same, in the form that the receiver takes.
    directory_update update_for(const update_receiver& receiver) const;
    const backend_index& index() const { return index_; }

  private:
    backend_changes apply_backends(const directory_update& update);
    bool has_other_backends(const directory_versions& known) const;

    snapshot current_;
    backend_index index_;
};

}  // namespace pearbarrow::directory
