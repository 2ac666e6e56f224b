/// The latest changes of the list of back ends, so that who is a little behind is told only these.
///
/// A pure state machine. A list of 150 back ends is 12 kB; of a change that concerns one of them
/// every node of a fleet needs some 100 bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::directory {

class backend_history {
  public:
    /// Notes that one list has replaced another; call with every replacement.
    void note(const backend_list& before, const backend_list& after);
    /// What has changed since a list that this node held itself; none when it did not, or that is
    /// long ago. `digest`: of that list.
    std::optional<backend_changes> since(std::uint64_t revision, std::uint64_t digest,
                                         const backend_list& now) const;

    /// Names the contents, whatever their revision. Two nodes may hold different lists of one
    /// revision: one that was read in several parts has some newer entries.
    static std::uint64_t digest_of(const backend_list& list);
    /// Brings a list forward; false, and nothing done, when the changes do not begin at its
    /// revision.
    static bool apply(const backend_changes& changes, backend_list& list);

  private:
    /// What a replacement changed.
    struct step {
        std::uint64_t before = 0;
        std::uint64_t digest = 0;
        std::vector<std::string> ids;
    };

    std::deque<step> steps;
};

}  // namespace pearbarrow::directory
