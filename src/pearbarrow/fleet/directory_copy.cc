#include "pearbarrow/fleet/directory_copy.h"

#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::fleet {
namespace {

/// Key of the entry that holds the revision of the list. No back end has an empty id.
constexpr char revision_entry[] = "";

void log_unreadable(const absl::Status& status) {
    base::log(base::log_level::error, "directory_copy_unreadable", base::log_fields(status));
}

}  // namespace

void directory_copy::save(const directory::directory_state::changes& changed,
                          const directory::directory_state& known) {
    turns::store_change change;
    if (changed.config || changed.storage || changed.retirements || changed.emptied_zones) {
        const directory::directory_versions versions = known.versions();
        change.directory = wire::encode(known.update_since(
            {.backends = versions.backends, .backends_digest = versions.backends_digest}));
    }
    for (const directory::backend& backend : changed.step.present) {
        change.directory_entries.push_back({.key = backend.id, .value = wire::encode(backend)});
    }
    for (const std::string& id : changed.step.gone) {
        change.directory_entries.push_back({.key = id, .value = {}});
    }
    if (changed.backends) {
        change.directory_entries.push_back(
            {.key = revision_entry, .value = wire::encode(known.versions().backends)});
    }
    this->store.write(std::move(change), [](const absl::Status& /*status*/) {
        // The store logs a failed write itself, and the next change is written again.
    });
}

directory::directory_update directory_copy::load() const {
    const std::string stored = this->store.read_directory();
    directory::directory_update update;
    if (!stored.empty()) {
        auto other_parts = wire::decode<directory::directory_update>(stored);
        if (other_parts.ok()) {
            update = *std::move(other_parts);
        } else {
            log_unreadable(other_parts.status());
        }
    }
    directory::backend_list list;
    for (const turns::directory_entry& entry : this->store.read_directory_entries()) {
        if (entry.key == revision_entry) {
            list.revision = wire::decode<std::uint64_t>(entry.value).value_or(0);
            continue;
        }
        auto backend = wire::decode<directory::backend>(entry.value);
        if (backend.ok()) {
            list.backends[entry.key] = *std::move(backend);
        } else {
            log_unreadable(backend.status());
        }
    }
    // An earlier build stored the whole list with the other parts. The newer of both lists applies.
    if (list.revision > 0) {
        update.backends.push_back(std::move(list));
    }
    return update;
}

}  // namespace pearbarrow::fleet
