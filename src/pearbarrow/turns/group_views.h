/// The voters of each replica group, as one forwarding node knows them.
///
/// Pure. Mostly they are parts of the view that the directory tells; a storage member that refuses
/// a request for counting on older ones tells its own group's, which then holds until the directory
/// has caught up.
#pragma once

#include <cstdint>
#include <map>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::turns {

class group_views {
  public:
    void set_view(const directory::storage_view& next);
    /// A member's word on its group, which may name no members, or be about another group. True:
    /// voters as new as that are known now.
    bool note_newer(std::uint32_t group, const directory::storage_view& told);

    /// As the directory tells it.
    const directory::storage_view& whole() const { return this->view; }
    std::uint32_t groups() const { return this->view.groups; }
    std::uint32_t group_of(const base::program_id& program) const;
    /// The group's members, under the revision at which they are known.
    directory::storage_view of(std::uint32_t group) const;

  private:
    directory::storage_view view;
    std::map<std::uint32_t, directory::storage_view> told;
};

}  // namespace pearbarrow::turns
