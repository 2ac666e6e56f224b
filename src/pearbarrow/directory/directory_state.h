/// The newest parts of the directory that a node has received from any source.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <vector>

#include "pearbarrow/directory/backend_index.h"
#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::directory {

/// Versions of the parts of a directory; 0: the part is not known.
struct directory_versions {
    std::uint64_t config = 0;
    std::uint64_t backends = 0;
    std::uint64_t storage = 0;
    std::uint64_t retirements = 0;
    /// Identifies the contents of the list of back ends, independent of its revision. Builds before
    /// `watch_request::accepts_parts` computed it differently.
    std::uint64_t backends_digest = 0;
    std::uint64_t emptied_zones = 0;

    /// Whether some part of this is newer than the same part of `other`.
    bool is_ahead_of(const directory_versions& other) const;
    bool operator==(const directory_versions&) const = default;
    MSGPACK_DEFINE(config, backends, storage, retirements, backends_digest, emptied_zones);
};

/// Parts of a directory that are newer than those of the receiver.
struct directory_update {
    /// Each vector has at most one item: msgpack-c does not pack std::optional in C++11 mode.
    std::vector<configuration> config;
    std::vector<backend_list> backends;
    std::vector<storage_view> storage;
    std::vector<retirement_list> retirements;
    /// Replaces `backends` where the changes are sufficient.
    std::vector<backend_changes> backend_steps;
    std::vector<emptied_zone_list> emptied_zones;
    /// Replaces `backends` for a receiver that requests the parts that differ.
    std::vector<backend_digests> digests;

    // These come from the directory service only and are not sent to peers in this form.
    std::optional<backend_listing> reading;
    std::optional<backend_events> events;
    /// Parts requested after `digests` arrived.
    std::optional<backend_parts> parts;

    bool is_empty() const {
        return config.empty() && backends.empty() && storage.empty() && retirements.empty() &&
               backend_steps.empty() && emptied_zones.empty() && digests.empty() &&
               !reading.has_value() && !events.has_value() && !parts.has_value();
    }
    MSGPACK_DEFINE(config, backends, storage, retirements, backend_steps, emptied_zones, digests);
};

/// The receiver of an update.
struct update_receiver {
    directory_versions known;
    /// The receiver computes digests in the same way as this build.
    bool sends_digest = true;
    /// The receiver requests the parts of a list that differ from its own.
    bool accepts_parts = false;
};

/// Invariant: during the lifetime of an object, no part is replaced by an older one.
class directory_state {
  public:
    /// The parts whose contents changed.
    struct changes {
        bool config = false;
        bool backends = false;
        bool storage = false;
        bool retirements = false;
        bool emptied_zones = false;
        /// Changes of the back ends if `backends` is set.
        backend_changes step;

        bool any() const { return config || backends || storage || retirements || emptied_zones; }
    };

    /// Applies each part that is newer than the one held. Back ends, retirements and emptied zones
    /// are read whenever anything changes at the directory service: the same contents at a newer
    /// revision update the revision and do not count as a change.
    changes apply(directory_update update);
    const snapshot& current() const { return current_; }
    directory_versions versions() const;
    /// Whether a node with the versions `known` lacks something. The same back ends at a newer
    /// revision do not count.
    bool has_changes_for(const directory_versions& known) const;
    /// Returns the parts that a node with the versions `known` lacks.
    directory_update update_since(const directory_versions& known) const;
    /// Returns the same parts in a form that the receiver accepts.
    directory_update update_for(const update_receiver& receiver) const;
    const backend_index& index() const { return index_; }

  private:
    backend_changes apply_backends(const directory_update& update);
    bool has_newer_backends(const directory_versions& known) const;

    snapshot current_;
    backend_index index_;
};

}  // namespace pearbarrow::directory
