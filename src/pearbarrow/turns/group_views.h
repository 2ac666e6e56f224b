/// The voters of each replica group, as known to one edge.
///
/// Performs no I/O. The views normally are parts of the directory's storage view. A storage member
/// that rejects a request because it is based on older voters returns its own group's view, which
/// is used until the directory has caught up.
#pragma once

#include <cstdint>
#include <map>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::turns {

class group_views {
  public:
    void set_view(const directory::storage_view& next);
    /// Records a group's view as returned by a member. The view may be empty or belong to another
    /// group, and is ignored then. Returns whether voters at least as new are known now.
    bool record_newer(std::uint32_t group, const directory::storage_view& reported);

    /// Returns the view as published by the directory.
    const directory::storage_view& directory_view() const { return this->view; }
    std::uint32_t groups() const { return this->view.groups; }
    std::uint32_t group_of(const base::program_id& program) const;
    /// Returns the newest known view of the group.
    directory::storage_view of(std::uint32_t group) const;

  private:
    directory::storage_view view;
    std::map<std::uint32_t, directory::storage_view> reported;
};

}  // namespace pearbarrow::turns
