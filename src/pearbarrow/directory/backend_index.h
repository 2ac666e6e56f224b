/// Changes the list of back ends in place, and knows what has changed since an earlier list.
///
/// A pure state machine beside the list. A change costs what has changed, not the list: 10,000 back
/// ends of which some tens change every second would else be copied, packed and compared on every
/// node each time. Every entry is as of the revision of the outside service at which it was
/// written, and a list is complete as of its own revision; entries may be newer than that.
///
/// Two lists are compared by digests: of the whole, and of the parts that the hash of an id divides
/// it into (`digest_parts`). Who has held a list of the same contents is told the changes since;
/// whoever else is told the parts that differ.
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

/// Of 20,000 back ends a part has 78, some 8 kB: a node that missed a few changes is told a few
/// parts, and all digests together are 2.3 kB.
inline constexpr std::size_t digest_parts = 256;

/// Digest of a list without back ends; a node that holds no list tells 0.
inline constexpr std::uint64_t digest_of_nothing = 0x6e6f'7468'696e'6731;

/// The part of the list that a back end belongs to.
std::uint32_t part_of(std::string_view id);

/// What a list holds, part by part.
struct backend_digests {
    std::uint64_t revision = 0;
    /// Of each part; equal where the contents are.
    std::vector<std::uint64_t> parts;

    MSGPACK_DEFINE(revision, parts);
};

/// Everything that a list holds in some parts.
struct backend_parts {
    std::uint64_t revision = 0;
    std::vector<std::uint32_t> parts;
    std::vector<backend> present;

    MSGPACK_DEFINE(revision, parts, present);
};

/// What the outside service has told of back ends from one revision to a later one, with nothing
/// left out.
struct backend_events {
    struct end {
        std::string id;
        std::uint64_t revision = 0;
    };

    std::uint64_t after = 0;
    std::uint64_t revision = 0;
    std::vector<backend> present;
    std::vector<end> gone;
};

/// All back ends as the outside service lists them.
struct backend_reading {
    std::uint64_t revision = 0;
    /// Of all that are listed.
    std::set<std::string, std::less<>> ids;
    /// Those that were not known so before.
    std::vector<backend> changed;
};

class backend_index {
  public:
    backend_index() = default;
    // What stands in `members` points into one list.
    backend_index(const backend_index&) = delete;
    backend_index& operator=(const backend_index&) = delete;
    backend_index(backend_index&&) = default;
    backend_index& operator=(backend_index&&) = default;

    // Each brings the list forward and gives what it has changed. Always the same list, empty at
    // first. Nothing older replaces anything newer, whatever comes in which order.

    /// Another node's whole list.
    backend_changes take(backend_list& held, const backend_list& next);
    backend_changes take(backend_list& held, const backend_reading& reading);
    backend_changes take(backend_list& held, const backend_events& events);
    /// Parts of another node's list that together with what is equal are all of it.
    backend_changes take(backend_list& held, const backend_parts& parts);
    /// Another node's changes since a list of the contents that are held; else nothing is done.
    backend_changes take(backend_list& held, const backend_changes& changes);

    /// What has changed since a list of contents that this node held itself; none when it did not,
    /// or that is long ago. `digest`: of that list; 0: not told, any list of the revision will do.
    std::optional<backend_changes> since(const backend_list& held, std::uint64_t revision,
                                         std::uint64_t digest) const;
    /// Names the contents, whatever their revision. Not 0.
    std::uint64_t digest() const { return this->whole; }
    backend_digests digests(const backend_list& held) const;
    /// The contents of the first of these parts, as many as make up to `most` back ends, and one
    /// part at least.
    backend_parts parts_of(const backend_list& held, std::span<const std::uint32_t> wanted,
                           std::size_t most) const;
    /// Parts of the list that differ from another's.
    std::vector<std::uint32_t> differing(const backend_digests& others) const;

  private:
    /// What brought the list from one state to the next.
    struct step {
        std::uint64_t before = 0;
        std::uint64_t digest = 0;
        std::uint64_t after = 0;
        /// It names everything that changed between the two revisions, also what changed back.
        bool is_exact = false;
        std::vector<std::string> ids;
    };
    /// Collects the changes of one call, and notes them as a step at its end.
    class merge;

    void insert(backend_list& held, const backend& next);
    void erase(backend_list& held, const std::string& id);
    void note(step made);

    std::deque<step> steps;
    /// Ids named in all steps.
    std::size_t noted = 0;
    std::uint64_t whole = digest_of_nothing;
    std::array<std::uint64_t, digest_parts> digest_of_part{};
    /// Ids by part; the texts are those of the list.
    std::array<std::set<std::string_view>, digest_parts> members;
};

}  // namespace pearbarrow::directory
