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
    directory::backend_changes step{.revision = list.revision};
    for (const auto& [id, one] : this->states) {
        if (one.listed && list.backends.count(id) == 0) {
            step.gone.push_back(id);
        }
    }
    for (const auto& [id, backend] : list.backends) {
        step.present.push_back(backend);
    }
    this->apply(step, now);
}

void cold_table::apply(const directory::backend_changes& step, base::instant now) {
    for (const std::string& id : step.gone) {
        const auto found = this->states.find(id);
        if (found != this->states.end() && std::exchange(found->second.listed, false)) {
            found->second.vanished_at = now;
            this->departed.emplace_back(now, id);
        }
    }
    for (const directory::backend& backend : step.present) {
        this->take(backend, now);
    }
    this->forget_departed(now);
}

void cold_table::forget_departed(base::instant now) {
    while (!this->departed.empty() && now - this->departed.front().first > this->options.memory) {
        const auto found = this->states.find(this->departed.front().second);
        if (found != this->states.end() && !found->second.listed &&
            now - found->second.vanished_at > this->options.memory) {
            this->states.erase(found);
        }
        this->departed.pop_front();
    }
}

/// A time left is counted from when it was heard, and what was said before is not taken back: news
/// come a second late and more, and a "warm" may be older than the start that is suspected. The
/// price is that permits are asked for somewhat longer than needed.
void cold_table::take(const directory::backend& backend, base::instant now) {
    state& one = this->states[backend.id];
    const bool is_back = !one.listed;
    const bool has_started = one.started_at != backend.started_at;
    // All of a node's first list too: where a tenth of the nodes had just started and took each
    // entry at its word, 3 of 200 simulated fleets passed the bound (57 in a second of 53).
    if (is_back || has_started) {
        one.suspected_at = now;
    }
    if (is_back || has_started || one.cold_left_ms != backend.cold_left_ms) {
        one.cold_until = std::max(one.cold_until, now + base::milliseconds{backend.cold_left_ms});
    }
    one.service = backend.service;
    one.zone = backend.zone;
    one.started_at = backend.started_at;
    one.cold_left_ms = backend.cold_left_ms;
    one.listed = true;
}

void cold_table::set_emptied_zones(const directory::emptied_zone_list& list, base::instant now) {
    std::set<std::string, std::less<>> next;
    for (const directory::emptied_zone& one : list.zones) {
        next.insert(one.zone);
    }
    // All nodes send to such a zone again at the same moment, before any entry says a word.
    for (auto& [id, one] : this->states) {
        if (this->emptied.count(one.zone) > 0 && next.count(one.zone) == 0) {
            one.suspected_at = now;
        }
    }
    this->emptied = std::move(next);
}

void cold_table::note_gap(base::instant now) {
    for (auto& [id, one] : this->states) {
        one.suspected_at = now;
    }
}

void cold_table::note_unreachable(std::string_view id) {
    if (const auto found = this->states.find(id); found != this->states.end()) {
        found->second.out_of_reach = true;
    }
}

void cold_table::note_reached(std::string_view id, base::instant now) {
    const auto found = this->states.find(id);
    if (found != this->states.end() && std::exchange(found->second.out_of_reach, false)) {
        found->second.suspected_at = now;
    }
}

const cold_table::service_bound* cold_table::bound_of(const state& one) const {
    const auto found = this->bounds.find(one.service);
    return found == this->bounds.end() ? nullptr : &found->second;
}

bool cold_table::is_cold(const state& one, base::instant now) const {
    const service_bound* bound = this->bound_of(one);
    if (bound == nullptr) {
        return false;
    }
    const bool is_suspected =
        one.suspected_at.has_value() && now < *one.suspected_at + bound->cold_time;
    return one.out_of_reach || is_suspected || now < one.cold_until;
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
