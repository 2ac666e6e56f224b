#include "pearbarrow/fleet/directory_copy.h"

#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::fleet {
namespace {

/// The entry that holds the list's revision; no id of a back end is empty.
constexpr char revision_entry[] = "";

void note_unreadable(const absl::Status& status) {
    base::log(base::log_level::error, "directory_copy_unreadable", base::log_fields(status));
}

}  // namespace

void directory_copy::keep(const directory::directory_state::changes& changed,
                          const directory::directory_state& known) {
    turns::store_change change;
    if (changed.config || changed.storage || changed.retirements || changed.emptied_zones) {
        const directory::directory_versions versions = known.versions();
        change.directory = wire::encode(known.newer_than(
            {.backends = versions.backends, .backends_digest = versions.backends_digest}));
    }
    for (const directory::backend& one : changed.step.present) {
        change.directory_entries.push_back({.key = one.id, .value = wire::encode(one)});
    }
    for (const std::string& id : changed.step.gone) {
        change.directory_entries.push_back({.key = id, .value = {}});
    }
    if (changed.backends) {
        change.directory_entries.push_back(
            {.key = revision_entry, .value = wire::encode(known.versions().backends)});
    }
    this->store.write(std::move(change), [](const absl::Status& /*status*/) {
        // The store says in its own log that it can't write; the next change is tried again.
    });
}

directory::directory_update directory_copy::recall() const {
    const std::string kept = this->store.read_directory();
    directory::directory_update update;
    if (!kept.empty()) {
        auto others = wire::decode<directory::directory_update>(kept);
        if (others.ok()) {
            update = *std::move(others);
        } else {
            note_unreadable(others.status());
        }
    }
    directory::backend_list list;
    for (const turns::directory_entry& entry : this->store.read_directory_entries()) {
        if (entry.key == revision_entry) {
            list.revision = wire::decode<std::uint64_t>(entry.value).value_or(0);
            continue;
        }
        auto one = wire::decode<directory::backend>(entry.value);
        if (one.ok()) {
            list.backends[entry.key] = *std::move(one);
        } else {
            note_unreadable(one.status());
        }
    }
    // An earlier build kept the list whole, beside the rest: whichever is newer holds.
    if (list.revision > 0) {
        update.backends.push_back(std::move(list));
    }
    return update;
}

}  // namespace pearbarrow::fleet
