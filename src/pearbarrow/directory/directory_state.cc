#include "pearbarrow/directory/directory_state.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::directory {
namespace {

template <typename Part>
bool replace_if_newer(std::optional<Part>& held, std::vector<Part>& offered,
                      std::uint64_t Part::*version) {
    if (offered.empty()) {
        return false;
    }
    Part& part = offered.front();
    if (held.has_value() && (*held).*version >= part.*version) {
        return false;
    }
    held = std::move(part);
    return true;
}

template <typename Part>
void add_if_newer(const std::optional<Part>& held, std::uint64_t Part::*version,
                  std::uint64_t known, std::vector<Part>& out) {
    if (held.has_value() && (*held).*version > known) {
        out.push_back(*held);
    }
}

}  // namespace

const storage_member* storage_view::find(const base::node_id& node) const {
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const storage_member& member) { return member.node == node; });
    return found == members.end() ? nullptr : &*found;
}

directory_state::changes directory_state::apply(directory_update update) {
    return {
        .config = replace_if_newer(current_.config, update.config, &configuration::version),
        .backends = replace_if_newer(current_.backends, update.backends, &backend_list::revision),
        .storage = replace_if_newer(current_.storage, update.storage, &storage_view::revision)};
}

directory_versions directory_state::versions() const {
    return {.config = current_.config ? current_.config->version : 0,
            .backends = current_.backends ? current_.backends->revision : 0,
            .storage = current_.storage ? current_.storage->revision : 0};
}

directory_update directory_state::newer_than(const directory_versions& known) const {
    directory_update update;
    add_if_newer(current_.config, &configuration::version, known.config, update.config);
    add_if_newer(current_.backends, &backend_list::revision, known.backends, update.backends);
    add_if_newer(current_.storage, &storage_view::revision, known.storage, update.storage);
    return update;
}

}  // namespace pearbarrow::directory
