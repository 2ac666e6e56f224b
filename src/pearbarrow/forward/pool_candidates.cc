// Which back ends a request is weighed among: a bounded number of those that may serve it.
#include <algorithm>
#include <tuple>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

/// Fit ones, those passed over since they rest or fail, and cold ones that need a permit.
class backend_pool::candidate_sieve {
  public:
    candidate_sieve(const backend_pool& pool, const choice_request& request,
                    const service_backends& service, base::instant now)
        : pool(pool), request(request), lapsed(pool.has_lapsed(service, now)), at(now) {}

    base::instant now() const { return this->at; }

    void look_at(const pool_entry& one) {
        if (!this->may_serve(one)) {
            return;
        }
        const weighed_entry item = this->pool.with_others(one, this->at);
        const bool passed_over =
            this->pool.is_resting(one, this->at) ||
            (this->pool.is_failing(item, this->at) &&
             this->pool.random_.below(this->pool.options_.trial_interval) != 0);
        if (passed_over) {
            this->resting.push_back(item);
        } else if (!this->request.without_permit.empty() && this->pool.is_cold(one, this->at)) {
            this->cold.push_back(item);
        } else {
            this->has_room = this->has_room || fullness(item) <= 1;
            this->fit.push_back(item);
        }
    }

    /// Marks it, where it is fit.
    void mark_reused(const pool_entry& one) {
        for (weighed_entry& item : this->fit) {
            item.is_reused = item.is_reused || item.one == &one;
        }
    }

    bool has_seen(const pool_entry& one) const {
        return holds(this->fit, one) || holds(this->resting, one) || holds(this->cold, one);
    }

    /// A resting back end may have recovered: better than none.
    weighed_entries best() && {
        if (!this->fit.empty()) {
            return std::move(this->fit);
        }
        return this->cold.empty() ? std::move(this->resting) : std::move(this->cold);
    }

    weighed_entries fit;
    /// Some fit one has a place free.
    bool has_room = false;

  private:
    static bool holds(const weighed_entries& list, const pool_entry& one) {
        return std::any_of(list.begin(), list.end(),
                           [&](const weighed_entry& item) { return item.one == &one; });
    }
    bool may_serve(const pool_entry& one) const {
        const bool is_known =
            one.listed || (this->lapsed && this->pool.has_just_vanished(one, this->at));
        return is_known && !one.backend.draining &&
               this->request.excluded.count(one.backend.id) == 0 &&
               this->request.without_permit.count(one.backend.id) == 0 &&
               this->pool.judge(one.backend.zone, this->request.place) ==
                   places::place_verdict::permitted;
    }

    const backend_pool& pool;
    const choice_request& request;
    bool lapsed;
    base::instant at;
    weighed_entries resting;
    weighed_entries cold;
};

/// The same windows on every node: the engine that a program goes to is found by each of them. The
/// next windows only while none of these is fit.
void backend_pool::look_from_point(const service_backends& service, std::uint64_t point,
                                   candidate_sieve& sieve) {
    bool is_more = true;
    for (std::size_t skip = 0; is_more && sieve.fit.empty(); skip += ring_window) {
        is_more = false;
        for (const auto& [name, zone] : service.zones()) {
            for (const pool_entry* one :
                 service_backends::from_point(zone, point, skip, ring_window)) {
                sieve.look_at(*one);
            }
            is_more = is_more || zone.ring.size() > skip + ring_window;
        }
    }
}

/// Until enough are fit and one of them has a place free.
void backend_pool::look_in_own_order(const service_backends& service, std::size_t near,
                                     candidate_sieve& sieve) const {
    const std::size_t enough = std::max(near, options_.weighed);
    for (const auto& [is_far, order, one] : service.in_own_order()) {
        if (sieve.fit.size() >= enough && sieve.has_room) {
            return;
        }
        sieve.look_at(*one);
    }
}

/// The one that ran the program's turn before may have been chosen beyond the windows, or before
/// others came into them.
void backend_pool::look_at_earlier(const choice_request& request, candidate_sieve& sieve) const {
    const auto earlier = by_key_.find(request.earlier);
    if (earlier != by_key_.end() && earlier->second->backend.service == request.service &&
        !sieve.has_seen(*earlier->second)) {
        sieve.look_at(*earlier->second);
    }
}

bool backend_pool::is_connected(const pool_entry& one, base::instant now) const {
    return one.last_connected.has_value() && one.in_flight == 0 &&
           now - *one.last_connected < options_.connection_kept;
}

/// Where a zone has more than a window, this node's requests are too few to even out anything: what
/// counts is that connections are used again. Where it has no more, its back ends are all weighed,
/// mostly connected, and few nodes' requests make up the load of each.
bool backend_pool::has_many(const service_backends& service) const {
    const auto zone = service.zones().find(options_.zone);
    return zone != service.zones().end() && zone->second.ring.size() > ring_window;
}

/// A program's first request may go to one to which a connection is free: its further ones find the
/// engine by what storage members tell. One of them, drawn, so that requests that are chosen
/// together don't all meet at the one that was idle a moment ago.
void backend_pool::look_at_connected(const choice_request& request, const service_backends& service,
                                     candidate_sieve& sieve) const {
    if (!request.begins || !has_many(service)) {
        return;
    }
    std::vector<const pool_entry*> connected;
    for (const pool_entry* one : used_) {
        if (one->backend.service == request.service && one->backend.zone == options_.zone &&
            is_connected(*one, sieve.now())) {
            connected.push_back(one);
        }
    }
    if (connected.empty()) {
        return;
    }
    const pool_entry& one = *connected[random_.below(connected.size())];
    if (!sieve.has_seen(one)) {
        sieve.look_at(one);
    }
    sieve.mark_reused(one);
}

backend_pool::weighed_entries backend_pool::candidates(const choice_request& request,
                                                       std::size_t near, base::instant now) const {
    const auto found = services_.find(request.service);
    if (found == services_.end()) {
        return {};
    }
    candidate_sieve sieve(*this, request, found->second, now);
    if (request.affinity_key.empty()) {
        look_in_own_order(found->second, near, sieve);
    } else {
        look_from_point(found->second, base::stable_hash(request.affinity_key), sieve);
        look_at_earlier(request, sieve);
        look_at_connected(request, found->second, sieve);
    }
    return std::move(sieve).best();
}

void backend_pool::mark_near(weighed_entries& fit, std::size_t count) const {
    std::vector<weighed_entry*> ordered;
    for (weighed_entry& item : fit) {
        ordered.push_back(&item);
    }
    const auto end = ordered.begin() + static_cast<std::ptrdiff_t>(std::min(count, fit.size()));
    std::partial_sort(ordered.begin(), end, ordered.end(),
                      [this](const weighed_entry* left, const weighed_entry* right) {
                          const bool left_is_far = left->one->backend.zone != options_.zone;
                          const bool right_is_far = right->one->backend.zone != options_.zone;
                          return std::tie(left_is_far, left->one->order) <
                                 std::tie(right_is_far, right->one->order);
                      });
    for (auto at = ordered.begin(); at != ordered.end(); ++at) {
        (*at)->is_near = at < end;
    }
}

}  // namespace pearbarrow::forward
