#include "pearbarrow/slowstart/cold_table.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::slowstart {

void cold_table::set_configuration(const directory::configuration& config) {
    this->bounds.clear();
    for (const directory::service& service : config.services) {
        if (service.cold_rate > 0) {
            this->bounds[service.name] = {.cold_time = base::milliseconds{service.cold_start_ms},
                                          .rate = service.cold_rate};
        }
    }
}

void cold_table::set_backends(const directory::backend_list& list, base::instant now) {
    directory::backend_changes changes{.revision = list.revision};
    for (const auto& [id, entry] : this->states) {
        if (entry.listed && list.backends.count(id) == 0) {
            changes.gone.push_back(id);
        }
    }
    for (const auto& [id, backend] : list.backends) {
        changes.present.push_back(backend);
    }
    this->apply(changes, now);
}

void cold_table::apply(const directory::backend_changes& changes, base::instant now) {
    for (const std::string& id : changes.gone) {
        const auto found = this->states.find(id);
        if (found != this->states.end() && std::exchange(found->second.listed, false)) {
            found->second.vanished_at = now;
            this->departed.emplace_back(now, id);
        }
    }
    for (const directory::backend& backend : changes.present) {
        this->apply_backend(backend, now);
    }
    this->erase_departed(now);
}

void cold_table::erase_departed(base::instant now) {
    while (!this->departed.empty() &&
           now - this->departed.front().first > this->options.retention) {
        const auto found = this->states.find(this->departed.front().second);
        if (found != this->states.end() && !found->second.listed &&
            now - found->second.vanished_at > this->options.retention) {
            this->states.erase(found);
        }
        this->departed.pop_front();
    }
}

/// A remaining cold time counts from its receipt, and a later report does not shorten an earlier
/// one: updates arrive a second late or more, and a report of a warm back end may be older than the
/// suspected start. As a consequence, nodes request permits somewhat longer than needed.
void cold_table::apply_backend(const directory::backend& backend, base::instant now) {
    state& entry = this->states[backend.id];
    const bool is_relisted = !entry.listed;
    const bool has_started = entry.started_at != backend.started_at;
    // This includes all entries of a node's first list. If a node that has just started trusts
    // them, the bound does not hold: with a tenth of the nodes just started, 3 of 200 simulated
    // fleets exceed it (57 requests in a second instead of 53).
    if (is_relisted || has_started) {
        entry.possibly_cold_since = now;
    }
    if (is_relisted || has_started || entry.cold_left_ms != backend.cold_left_ms) {
        entry.cold_until =
            std::max(entry.cold_until, now + base::milliseconds{backend.cold_left_ms});
    }
    entry.service = backend.service;
    entry.zone = backend.zone;
    entry.started_at = backend.started_at;
    entry.cold_left_ms = backend.cold_left_ms;
    entry.listed = true;
}

void cold_table::set_emptied_zones(const directory::emptied_zone_list& list, base::instant now) {
    std::set<std::string, std::less<>> next;
    for (const directory::emptied_zone& zone : list.zones) {
        next.insert(zone.zone);
    }
    // All nodes resume sending to such a zone at the same time, before any entry reports a start.
    for (auto& [id, entry] : this->states) {
        if (this->emptied_zones.count(entry.zone) > 0 && next.count(entry.zone) == 0) {
            entry.possibly_cold_since = now;
        }
    }
    this->emptied_zones = std::move(next);
}

void cold_table::on_update_gap(base::instant now) {
    for (auto& [id, entry] : this->states) {
        entry.possibly_cold_since = now;
    }
}

void cold_table::on_unreachable(std::string_view id) {
    if (const auto found = this->states.find(id); found != this->states.end()) {
        found->second.unreachable = true;
    }
}

void cold_table::on_response(std::string_view id, base::instant now) {
    const auto found = this->states.find(id);
    if (found != this->states.end() && std::exchange(found->second.unreachable, false)) {
        found->second.possibly_cold_since = now;
    }
}

const cold_table::service_bound* cold_table::bound_of(const state& entry) const {
    const auto found = this->bounds.find(entry.service);
    return found == this->bounds.end() ? nullptr : &found->second;
}

bool cold_table::is_cold(const state& entry, base::instant now) const {
    const service_bound* bound = this->bound_of(entry);
    if (bound == nullptr) {
        return false;
    }
    const bool is_possibly_cold = entry.possibly_cold_since.has_value() &&
                                  now < *entry.possibly_cold_since + bound->cold_time;
    return entry.unreachable || is_possibly_cold || now < entry.cold_until;
}

std::optional<cold_start> cold_table::find(std::string_view id, base::instant now) const {
    const auto found = this->states.find(id);
    if (found == this->states.end() || !this->is_cold(found->second, now)) {
        return std::nullopt;
    }
    return cold_start{.backend = found->first,
                      .started_at = found->second.started_at,
                      .rate = this->bound_of(found->second)->rate};
}

bool cold_table::is_cold(std::string_view id, base::instant now) const {
    if (this->bounds.empty()) {
        return false;
    }
    const auto found = this->states.find(id);
    return found != this->states.end() && this->is_cold(found->second, now);
}

std::size_t cold_table::cold_count(base::instant now) const {
    return static_cast<std::size_t>(std::count_if(
        this->states.begin(), this->states.end(),
        [&](const auto& item) { return item.second.listed && this->is_cold(item.second, now); }));
}

}  // namespace pearbarrow::slowstart
