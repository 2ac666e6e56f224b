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

/// The same; true only when `contents` differ from those held, or nothing was held.
template <typename Part, typename Contents>
bool replace_if_changed(std::optional<Part>& held, std::vector<Part>& offered,
                        std::uint64_t Part::*version, Contents Part::*contents) {
    const bool was_known = held.has_value();
    const Contents before = was_known ? (*held).*contents : Contents();
    return replace_if_newer(held, offered, version) && (!was_known || (*held).*contents != before);
}

template <typename Part>
void add_if_newer(const std::optional<Part>& held, std::uint64_t Part::*version,
                  std::uint64_t known, std::vector<Part>& out) {
    if (held.has_value() && (*held).*version > known) {
        out.push_back(*held);
    }
}

/// A list that was read in pages is as old as its first page, and has entries that are newer than
/// that: a list of a later revision may hold older ones. Without this a back end that has just
/// started again would be taken for its earlier run for a moment, and all that is known of the
/// present one be lost.
void keep_newer_entries(const backend_list& held, backend_list& next) {
    for (auto& [id, backend] : next.backends) {
        const auto known = held.backends.find(id);
        if (known != held.backends.end() && known->second.written_at > backend.written_at) {
            backend = known->second;
        }
    }
}

}  // namespace

const storage_member* storage_view::find(const base::node_id& node) const {
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const storage_member& member) { return member.node == node; });
    return found == members.end() ? nullptr : &*found;
}

bool directory_versions::is_ahead_of(const directory_versions& other) const {
    return config > other.config || backends > other.backends || storage > other.storage ||
           retirements > other.retirements || emptied_zones > other.emptied_zones;
}

directory_state::changes directory_state::apply(directory_update update) {
    return {.config = replace_if_newer(current_.config, update.config, &configuration::version),
            .backends = apply_backends(update),
            .storage = replace_if_newer(current_.storage, update.storage, &storage_view::revision),
            .retirements = replace_if_changed(current_.retirements, update.retirements,
                                              &retirement_list::revision, &retirement_list::nodes),
            .emptied_zones =
                replace_if_changed(current_.emptied_zones, update.emptied_zones,
                                   &emptied_zone_list::revision, &emptied_zone_list::zones)};
}

bool directory_state::apply_backends(directory_update& update) {
    bool changed = false;
    if (!update.backends.empty()) {
        changed = replace_backends(std::move(update.backends.front()));
    }
    if (!update.backend_steps.empty() && current_.backends.has_value()) {
        backend_list next = *current_.backends;
        if (backend_history::apply(update.backend_steps.front(), next)) {
            changed = replace_backends(std::move(next)) || changed;
        }
    }
    return changed;
}

bool directory_state::replace_backends(backend_list next) {
    if (current_.backends.has_value()) {
        if (current_.backends->revision >= next.revision) {
            return false;
        }
        keep_newer_entries(*current_.backends, next);
        history_.note(*current_.backends, next);
    }
    const std::uint64_t digest = backend_history::digest_of(next);
    const bool changed = !current_.backends.has_value() || digest != backends_digest_;
    current_.backends = std::move(next);
    backends_digest_ = digest;
    return changed;
}

directory_versions directory_state::versions() const {
    return {.config = current_.config ? current_.config->version : 0,
            .backends = current_.backends ? current_.backends->revision : 0,
            .storage = current_.storage ? current_.storage->revision : 0,
            .retirements = current_.retirements ? current_.retirements->revision : 0,
            .backends_digest = backends_digest_,
            .emptied_zones = current_.emptied_zones ? current_.emptied_zones->revision : 0};
}

directory_update directory_state::newer_than(const directory_versions& known) const {
    directory_update update;
    add_if_newer(current_.config, &configuration::version, known.config, update.config);
    if (current_.backends.has_value() && current_.backends->revision > known.backends) {
        if (auto steps = history_.since(known.backends, known.backends_digest, *current_.backends);
            steps.has_value()) {
            update.backend_steps.push_back(*std::move(steps));
        } else {
            update.backends.push_back(*current_.backends);
        }
    }
    add_if_newer(current_.retirements, &retirement_list::revision, known.retirements,
                 update.retirements);
    add_if_newer(current_.emptied_zones, &emptied_zone_list::revision, known.emptied_zones,
                 update.emptied_zones);
    add_if_newer(current_.storage, &storage_view::revision, known.storage, update.storage);
    return update;
}

}  // namespace pearbarrow::directory
