// Selection of a bounded number of candidates for a request.
#include <algorithm>
#include <tuple>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

/// Collects eligible back ends, deferred ones (in backoff or failing), and cold ones that need a
/// permit.
class backend_pool::candidate_collector {
  public:
    candidate_collector(const backend_pool& pool, const choice_request& request,
                        const service_backends& service, base::instant now)
        : pool(pool), request(request), lapsed(pool.has_lapsed(service, now)), at(now) {}

    base::instant now() const { return this->at; }

    void visit(const pool_entry& entry) {
        if (!this->may_serve(entry)) {
            return;
        }
        if (!this->pool.accepts_process(entry, this->request, this->at)) {
            return;
        }
        const candidate_entry item = this->pool.with_remote_load(entry, this->at);
        const bool may_be_replaced =
            this->request.avoids_failures && this->pool.has_recent_failure(item, this->at);
        if (may_be_replaced && entry.backend.started_at != 0 && !this->request.requires_proof) {
            // Its id may already belong to a process of another version.
            return;
        }
        const bool passed_over =
            may_be_replaced || this->request.avoided.count(entry.backend.id) > 0 ||
            this->pool.is_backing_off(entry, this->at) ||
            (this->pool.is_failing(item, this->at) &&
             this->pool.random_.below(this->pool.options_.trial_interval) != 0);
        if (passed_over) {
            this->deferred.push_back(item);
        } else if (!this->request.without_permit.empty() && this->pool.is_cold(entry, this->at)) {
            this->cold.push_back(item);
        } else {
            this->has_room = this->has_room || fullness(item) <= 1;
            this->fit.push_back(item);
        }
    }

    /// Marks the back end as reused if it is eligible.
    void mark_reused(const pool_entry& entry) {
        for (candidate_entry& item : this->fit) {
            item.is_reused = item.is_reused || item.entry == &entry;
        }
    }

    bool has_seen(const pool_entry& entry) const {
        return holds(this->fit, entry) || holds(this->deferred, entry) || holds(this->cold, entry);
    }

    /// Returns the best non-empty group. A deferred back end may have recovered, so it is better
    /// than none.
    candidate_entries best() && {
        if (!this->fit.empty()) {
            return std::move(this->fit);
        }
        return this->cold.empty() ? std::move(this->deferred) : std::move(this->cold);
    }

    candidate_entries fit;
    /// Whether an eligible back end has a free slot.
    bool has_room = false;

  private:
    static bool holds(const candidate_entries& list, const pool_entry& entry) {
        return std::any_of(list.begin(), list.end(),
                           [&](const candidate_entry& item) { return item.entry == &entry; });
    }
    bool may_serve(const pool_entry& entry) const {
        const bool is_known =
            entry.listed || (this->lapsed && this->pool.has_just_vanished(entry, this->at));
        const bool is_of_version =
            !this->request.version.has_value() || entry.backend.version == *this->request.version;
        return is_known && is_of_version && !entry.backend.draining &&
               this->request.excluded.count(entry.backend.id) == 0 &&
               this->request.without_permit.count(entry.backend.id) == 0 &&
               this->pool.zone_verdict(entry.backend.zone, this->request.region_limits) ==
                   places::zone_verdict::permitted;
    }

    const backend_pool& pool;
    const choice_request& request;
    bool lapsed;
    base::instant at;
    candidate_entries deferred;
    candidate_entries cold;
};

/// Visits the same windows on every node, so that each node finds the engine of a program. Further
/// windows are visited only while no back end is eligible.
void backend_pool::visit_ring_windows(const service_backends& service, std::uint64_t point,
                                      candidate_collector& collector) {
    bool is_more = true;
    for (std::size_t skip = 0; is_more && collector.fit.empty(); skip += ring_window) {
        is_more = false;
        for (const auto& [name, zone] : service.zones()) {
            for (const pool_entry* entry :
                 service_backends::from_point(zone, point, skip, ring_window)) {
                collector.visit(*entry);
            }
            is_more = is_more || zone.ring.size() > skip + ring_window;
        }
    }
}

/// Visits back ends until enough are eligible and at least one has a free slot.
void backend_pool::visit_in_own_order(const service_backends& service, std::size_t preferred,
                                      candidate_collector& collector) const {
    const std::size_t enough = std::max(preferred, options_.compared);
    for (const auto& [is_far, order, entry] : service.in_own_order()) {
        if (collector.fit.size() >= enough && collector.has_room) {
            return;
        }
        collector.visit(*entry);
    }
}

/// Visits the back end of the previous turn, which may lie outside the windows because of a
/// fallback or because other back ends have joined since.
void backend_pool::visit_previous(const choice_request& request,
                                  candidate_collector& collector) const {
    const auto previous = by_key_.find(request.previous_backend);
    if (previous != by_key_.end() && previous->second->backend.service == request.service &&
        !collector.has_seen(*previous->second)) {
        collector.visit(*previous->second);
    }
}

bool backend_pool::is_connected(const pool_entry& entry, base::instant now) const {
    return entry.last_connected.has_value() && entry.in_flight == 0 &&
           now - *entry.last_connected < options_.connection_lifetime;
}

/// If a zone is larger than a window, a node sends too few requests to balance the load, so reusing
/// connections is more important. In a smaller zone all back ends are compared, most of them are
/// connected, and few nodes cause the load of each.
bool backend_pool::has_many(const service_backends& service) const {
    const auto zone = service.zones().find(options_.zone);
    return zone != service.zones().end() && zone->second.ring.size() > ring_window;
}

/// The first request of a program may go to a back end with an idle connection, because storage
/// members report the engine to its later requests. The back end is selected at random among these,
/// so that concurrent requests do not all go to the same idle one.
void backend_pool::visit_connected(const choice_request& request, const service_backends& service,
                                   candidate_collector& collector) const {
    if (!request.is_first || !has_many(service)) {
        return;
    }
    std::vector<const pool_entry*> connected;
    for (const pool_entry* entry : used_) {
        if (entry->backend.service == request.service && entry->backend.zone == options_.zone &&
            is_connected(*entry, collector.now())) {
            connected.push_back(entry);
        }
    }
    if (connected.empty()) {
        return;
    }
    const pool_entry& entry = *connected[random_.below(connected.size())];
    if (!collector.has_seen(entry)) {
        collector.visit(entry);
    }
    collector.mark_reused(entry);
}

void backend_pool::visit_assigned(const choice_request& request,
                                  candidate_collector& collector) const {
    const auto assigned = entries_.find(request.assigned_backend);
    if (assigned != entries_.end() && assigned->second.backend.service == request.service &&
        !collector.has_seen(assigned->second)) {
        collector.visit(assigned->second);
    }
}

void backend_pool::select_assigned(const choice_request& request, ranked_candidates& ranked) {
    const auto assigned =
        std::find_if(ranked.fit.begin(), ranked.fit.end(), [&](const candidate_entry& item) {
            return item.entry->backend.id == request.assigned_backend;
        });
    if (assigned != ranked.fit.end()) {
        ranked.selected = {.index = static_cast<std::size_t>(assigned - ranked.fit.begin()),
                           .reason = choice_reason::assigned};
    }
}

backend_pool::candidate_entries backend_pool::candidates(const choice_request& request,
                                                         std::size_t preferred,
                                                         base::instant now) const {
    const service_backends* backends = find_backends(request.service, request.version);
    if (backends == nullptr) {
        return {};
    }
    candidate_collector collector(*this, request, services_.find(request.service)->second, now);
    if (request.affinity_key.empty()) {
        visit_in_own_order(*backends, preferred, collector);
    } else {
        visit_ring_windows(*backends, base::stable_hash(request.affinity_key), collector);
        visit_previous(request, collector);
        visit_connected(request, *backends, collector);
    }
    if (!request.assigned_backend.empty()) {
        visit_assigned(request, collector);
    }
    return std::move(collector).best();
}

void backend_pool::mark_preferred(candidate_entries& fit, std::size_t count) const {
    std::vector<candidate_entry*> ordered;
    for (candidate_entry& item : fit) {
        ordered.push_back(&item);
    }
    const auto end = ordered.begin() + static_cast<std::ptrdiff_t>(std::min(count, fit.size()));
    std::partial_sort(ordered.begin(), end, ordered.end(),
                      [this](const candidate_entry* left, const candidate_entry* right) {
                          const bool left_is_far = left->entry->backend.zone != options_.zone;
                          const bool right_is_far = right->entry->backend.zone != options_.zone;
                          return std::tie(left_is_far, left->entry->order) <
                                 std::tie(right_is_far, right->entry->order);
                      });
    for (auto at = ordered.begin(); at != ordered.end(); ++at) {
        (*at)->is_preferred = at < end;
    }
}

std::optional<backend_pool::ranked_candidates> backend_pool::rank(const choice_request& request,
                                                                  base::instant now) const {
    const std::size_t wanted_preferred = preferred_count(request.service, now);
    ranked_candidates ranked;
    ranked.fit = candidates(request, wanted_preferred, now);
    if (ranked.fit.empty()) {
        return std::nullopt;
    }
    ranked.preferred = std::min(wanted_preferred, ranked.fit.size());
    mark_preferred(ranked.fit, ranked.preferred);
    ranked.loaded = with_load(ranked.fit, now);
    add_work(ranked.loaded, ranked.fit, request, now);
    ranked.selected = policy_->choose(
        ranked.loaded, {.affinity_key = request.affinity_key,
                        .is_remote_load_known = is_remote_load_known(now),
                        .prefers_connected = has_many(services_.find(request.service)->second),
                        .prompt_tokens = request.prompt_tokens,
                        .is_first = request.is_first,
                        .prefill_us_per_token = prefill_us_per_token(request.service)});
    if (!request.assigned_backend.empty()) {
        select_assigned(request, ranked);
    }
    return ranked;
}

}  // namespace pearbarrow::forward
