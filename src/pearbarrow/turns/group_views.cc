#include "pearbarrow/turns/group_views.h"

#include <algorithm>

#include "pearbarrow/base/log.h"
#include "pearbarrow/turns/replica_groups.h"

namespace pearbarrow::turns {

void group_views::set_view(const directory::storage_view& next) {
    this->view = next;
    std::erase_if(this->reported,
                  [&](const auto& entry) { return entry.second.revision <= this->view.revision; });
}

bool group_views::record_newer(std::uint32_t group, const directory::storage_view& reported) {
    if (reported.revision <= this->of(group).revision) {
        return true;
    }
    const bool is_of_group =
        !reported.members.empty() &&
        std::all_of(reported.members.begin(), reported.members.end(),
                    [group](const auto& member) { return member.group == group; });
    if (!is_of_group) {
        return false;
    }
    base::log(base::log_level::info, "storage_view_told",
              {{"group", group},
               {"view", reported.revision},
               {"known_view", this->of(group).revision},
               {"members", reported.members.size()}});
    this->reported[group] = reported;
    return true;
}

std::uint32_t group_views::group_of(const base::program_id& program) const {
    return turns::group_of(this->view, program);
}

directory::storage_view group_views::of(std::uint32_t group) const {
    const auto found = this->reported.find(group);
    return found == this->reported.end() ? members_of(this->view, group) : found->second;
}

}  // namespace pearbarrow::turns
