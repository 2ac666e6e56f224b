/// Updates the list of back ends in place and records what changed since earlier versions of it.
///
/// A pure state machine next to the list. The cost of an update depends on the number of changes
/// and not on the size of the list: with 10,000 back ends of which some tens change every second,
/// every node would otherwise copy, pack and compare the whole list each time. Every entry carries
/// the revision of the directory service at which it was written. A list is complete as of its own
/// revision, and single entries may be newer than that.
///
/// Lists are compared by digests: one of the whole list, and one of each part. The hash of an id
/// assigns it to a part (`digest_parts`). A node that has held a list with the same contents
/// receives the changes since then; any other node receives the parts that differ.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::directory {

/// With 20,000 back ends a part has 78 of them, about 8 kB. A node that missed a few changes
/// receives a few parts, and all digests together take 2.3 kB.
inline constexpr std::size_t digest_parts = 256;

/// Digest of a list without back ends. A node that holds no list sends 0.
inline constexpr std::uint64_t empty_list_digest = 0x6e6f'7468'696e'6731;

/// Returns the part of the list that a back end belongs to.
std::uint32_t part_of(std::string_view id);

/// Digests of all parts of a list.
struct backend_digests {
    std::uint64_t revision = 0;
    /// One digest per part. Parts with equal digests have equal contents.
    std::vector<std::uint64_t> parts;

    MSGPACK_DEFINE(revision, parts);
};

/// All entries of some parts of a list.
struct backend_parts {
    std::uint64_t revision = 0;
    std::vector<std::uint32_t> parts;
    std::vector<backend> present;

    MSGPACK_DEFINE(revision, parts, present);
};

/// Changes of back ends that the directory service reported from one revision to a later one,
/// without gaps.
struct backend_events {
    struct removal {
        std::string id;
        std::uint64_t revision = 0;
    };

    std::uint64_t after = 0;
    std::uint64_t revision = 0;
    std::vector<backend> present;
    std::vector<removal> gone;
};

/// The full list of back ends as read from the directory service.
struct backend_listing {
    std::uint64_t revision = 0;
    /// Ids of all listed back ends.
    std::set<std::string, std::less<>> ids;
    /// Entries that are new or differ from the known ones.
    std::vector<backend> changed;
};

class backend_index {
  public:
    backend_index() = default;
    // The entries of `members` point into one list.
    backend_index(const backend_index&) = delete;
    backend_index& operator=(const backend_index&) = delete;
    backend_index(backend_index&&) = default;
    backend_index& operator=(backend_index&&) = default;

    // Each overload updates the list and returns the changes it made. All calls must pass the same
    // list, which is empty at first. Older entries never replace newer ones, whatever the order of
    // the calls.

    /// Applies the whole list of another node.
    backend_changes apply(backend_list& held, const backend_list& next);
    backend_changes apply(backend_list& held, const backend_listing& listing);
    backend_changes apply(backend_list& held, const backend_events& events);
    /// Applies parts of the list of another node. Together with the parts that are equal they form
    /// the whole list.
    backend_changes apply(backend_list& held, const backend_parts& parts);
    /// Applies the changes of another node if they are based on the contents held here; otherwise
    /// does nothing.
    backend_changes apply(backend_list& held, const backend_changes& changes);

    /// Returns the changes since a list that this node held itself, or nothing if it never held
    /// that list or no longer has the steps. `digest`: the digest of that list; 0: unknown, any
    /// list of the revision matches.
    std::optional<backend_changes> changes_since(const backend_list& held, std::uint64_t revision,
                                                 std::uint64_t digest) const;
    /// Identifies the contents, independent of the revision. Never 0.
    std::uint64_t digest() const { return this->list_digest; }
    /// Returns the number of back ends whose version is not known.
    std::size_t unknown_versions() const { return this->unknown_version_count; }
    backend_digests digests(const backend_list& held) const;
    /// Returns the contents of the first of the `wanted` parts: at least one part, and as many as
    /// fit into `max_backends` back ends.
    backend_parts parts_of(const backend_list& held, std::span<const std::uint32_t> wanted,
                           std::size_t max_backends) const;
    /// Returns the parts whose digests differ from those of another list.
    std::vector<std::uint32_t> differing_parts(const backend_digests& others) const;

  private:
    /// The transition of the list from one state to the next.
    struct step {
        std::uint64_t before = 0;
        std::uint64_t digest = 0;
        std::uint64_t after = 0;
        /// `ids` names everything that changed between the two revisions, including entries that
        /// changed back.
        bool is_exact = false;
        std::vector<std::string> ids;
    };
    /// Collects the changes of one call and records them as a step at its end.
    class merge;

    void insert(backend_list& held, const backend& next);
    void erase(backend_list& held, const std::string& id);
    void record(step recorded);

    std::deque<step> steps;
    /// Number of ids named in all steps.
    std::size_t recorded_ids = 0;
    std::size_t unknown_version_count = 0;
    std::uint64_t list_digest = empty_list_digest;
    std::array<std::uint64_t, digest_parts> part_digests{};
    /// Ids by part. The views refer to the keys of the list.
    std::array<std::set<std::string_view>, digest_parts> members;
};

}  // namespace pearbarrow::directory
