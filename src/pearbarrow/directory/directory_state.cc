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

/// Same as `replace_if_newer`, but returns true only if `contents` differ from those held or
/// nothing was held.
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

/// Lists of up to this many back ends are sent whole: they are hardly larger than all digests.
constexpr std::size_t max_backends_sent_whole = 64;

void append(backend_changes& all, backend_changes next) {
    all.revision = std::max(all.revision, next.revision);
    for (backend& entry : next.present) {
        all.present.push_back(std::move(entry));
    }
    for (std::string& id : next.gone) {
        all.gone.push_back(std::move(id));
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
    const bool has_newer_backends =
        backends > other.backends && backends_digest != other.backends_digest;
    return config > other.config || has_newer_backends || storage > other.storage ||
           retirements > other.retirements || emptied_zones > other.emptied_zones;
}

directory_state::changes directory_state::apply(directory_update update) {
    const bool knew_backends = current_.backends.has_value();
    backend_changes step = apply_backends(update);
    const bool learned_backends = !knew_backends && current_.backends.has_value();
    return {.config = replace_if_newer(current_.config, update.config, &configuration::version),
            .backends = learned_backends || !step.is_empty(),
            .storage = replace_if_newer(current_.storage, update.storage, &storage_view::revision),
            .retirements = replace_if_changed(current_.retirements, update.retirements,
                                              &retirement_list::revision, &retirement_list::nodes),
            .emptied_zones =
                replace_if_changed(current_.emptied_zones, update.emptied_zones,
                                   &emptied_zone_list::revision, &emptied_zone_list::zones),
            .step = std::move(step)};
}

backend_changes directory_state::apply_backends(const directory_update& update) {
    backend_changes all;
    const bool has_list = !update.backends.empty() || update.reading || update.parts;
    if (!current_.backends.has_value() && !has_list) {
        // Changes cannot be applied to a list that is not known.
        return all;
    }
    backend_list& held =
        current_.backends.has_value() ? *current_.backends : current_.backends.emplace();
    for (const backend_list& next : update.backends) {
        append(all, index_.apply(held, next));
    }
    if (update.reading) {
        append(all, index_.apply(held, *update.reading));
    }
    if (update.events) {
        append(all, index_.apply(held, *update.events));
    }
    if (update.parts) {
        append(all, index_.apply(held, *update.parts));
    }
    for (const backend_changes& next : update.backend_steps) {
        append(all, index_.apply(held, next));
    }
    return all;
}

directory_versions directory_state::versions() const {
    return {.config = current_.config ? current_.config->version : 0,
            .backends = current_.backends ? current_.backends->revision : 0,
            .storage = current_.storage ? current_.storage->revision : 0,
            .retirements = current_.retirements ? current_.retirements->revision : 0,
            .backends_digest = current_.backends ? index_.digest() : 0,
            .emptied_zones = current_.emptied_zones ? current_.emptied_zones->revision : 0};
}

bool directory_state::has_newer_backends(const directory_versions& known) const {
    return current_.backends.has_value() && current_.backends->revision > known.backends &&
           index_.digest() != known.backends_digest;
}

bool directory_state::has_changes_for(const directory_versions& known) const {
    const directory_versions own = versions();
    return own.config > known.config || has_newer_backends(known) || own.storage > known.storage ||
           own.retirements > known.retirements || own.emptied_zones > known.emptied_zones;
}

directory_update directory_state::update_since(const directory_versions& known) const {
    return update_for({.known = known});
}

directory_update directory_state::update_for(const update_receiver& receiver) const {
    const directory_versions& known = receiver.known;
    directory_update update;
    add_if_newer(current_.config, &configuration::version, known.config, update.config);
    if (has_newer_backends(known)) {
        const std::uint64_t digest = receiver.sends_digest ? known.backends_digest : 0;
        auto steps = known.backends == 0
                         ? std::nullopt
                         : index_.changes_since(*current_.backends, known.backends, digest);
        if (steps.has_value()) {
            update.backend_steps.push_back(*std::move(steps));
        } else if (receiver.accepts_parts &&
                   current_.backends->backends.size() > max_backends_sent_whole) {
            update.digests.push_back(index_.digests(*current_.backends));
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
