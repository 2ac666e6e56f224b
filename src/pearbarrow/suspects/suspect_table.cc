#include "pearbarrow/suspects/suspect_table.h"

#include <algorithm>
#include <tuple>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::suspects {
namespace {

constexpr std::size_t digest_length = 32;
constexpr std::size_t max_attempts_kept = 16;
/// One in so many back ends may be reserved. More would crowd all other requests together, and the
/// next end would strike many of them.
constexpr std::size_t backends_per_reservation = 5;
/// One in so many back ends may end under suspects within `trial_pause`.
constexpr std::size_t backends_per_trial_end = 5;
/// A blocked request is remembered this many times as long as it is blocked.
constexpr int block_times_remembered = 2;
/// Retry delay of a request that is held back because of attempts under way.
constexpr base::milliseconds open_attempt_retry{200};

std::uint64_t age_in_milliseconds(base::microseconds age) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::floor<base::milliseconds>(age).count()));
}

base::milliseconds milliseconds_of(std::uint64_t count) {
    return base::milliseconds{static_cast<std::int64_t>(count)};
}

/// Evidence that a later report replaces has a lower strength.
int strength_of(end_evidence evidence) {
    if (is_proof(evidence)) {
        return 2;
    }
    return is_open(evidence) ? 0 : 1;
}

/// A reservation does not name the back end of its attempt.
bool is_backend_unknown(const suspected_end& attempt) {
    return attempt.backend.empty();
}

bool is_same_attempt(const suspected_end& left, const suspected_end& right) {
    const bool is_same_backend =
        left.backend == right.backend && left.started_at == right.started_at;
    return left.request == right.request &&
           (is_same_backend || is_backend_unknown(left) || is_backend_unknown(right));
}

bool is_same_process(const suspected_end& left, const suspected_end& right) {
    return !is_backend_unknown(left) && left.backend == right.backend &&
           left.started_at == right.started_at;
}

}  // namespace

base::instant suspect_table::entry::last_end() const {
    base::instant last{};
    for (const held_attempt& held : this->attempts) {
        last = std::max(last, held.ended_at);
    }
    return last;
}

/// A process that restarts under its id without a start time is told apart by time: an attempt that
/// was sent after another one had broken off met another process.
template <typename Predicate>
std::size_t suspect_table::count_ends(const entry& known, Predicate counts) {
    std::vector<const held_attempt*> counted;
    for (const held_attempt& held : known.attempts) {
        if (!held.end.is_excused && counts(held)) {
            counted.push_back(&held);
        }
    }
    std::sort(counted.begin(), counted.end(),
              [](const held_attempt* left, const held_attempt* right) {
                  return std::tie(left->end.backend, left->end.started_at, left->sent_at) <
                         std::tie(right->end.backend, right->end.started_at, right->sent_at);
              });
    std::size_t count = 0;
    const held_attempt* previous = nullptr;
    base::instant process_end{};
    bool has_doubt = false;
    for (const held_attempt* held : counted) {
        const bool is_doubt = !is_proof(held->end.evidence);
        const bool is_first = previous == nullptr || !is_same_process(previous->end, held->end);
        const bool is_later = !is_first && held->sent_at > process_end;
        const bool counts_again = is_doubt ? is_later && !has_doubt : is_later;
        count += is_first || counts_again ? 1 : 0;
        if (is_first || (!is_doubt && is_later)) {
            // A process whose end is not proved may be the one that all later attempts met.
            process_end = is_doubt ? base::instant::max() : held->ended_at;
            has_doubt = is_doubt;
        } else {
            process_end = is_doubt ? process_end : std::min(process_end, held->ended_at);
            has_doubt = has_doubt || (is_doubt && is_later);
        }
        previous = held;
    }
    return count;
}

std::size_t suspect_table::possible_ends(const entry& known) {
    return count_ends(known, [](const held_attempt& /*held*/) { return true; });
}

std::size_t suspect_table::observed_ends(const entry& known) {
    return count_ends(known, [](const held_attempt& held) {
        return held.end.evidence != end_evidence::reserved;
    });
}

std::size_t suspect_table::ends(const entry& known, base::instant now) const {
    return count_ends(known,
                      [this, now](const held_attempt& held) { return this->is_end(held, now); });
}

bool suspect_table::is_end(const held_attempt& attempt, base::instant now) const {
    const end_evidence evidence = attempt.end.evidence;
    const base::milliseconds limit =
        is_open(evidence) ? this->options.open_attempt_time : this->options.resolution_time;
    return is_proof(evidence) || now - attempt.ended_at >= limit;
}

bool suspect_table::shows_trouble(const entry& known) {
    const auto counts = [](const held_attempt& held) { return !held.end.is_excused; };
    return std::count_if(known.attempts.begin(), known.attempts.end(), counts) > 1 ||
           std::any_of(known.attempts.begin(), known.attempts.end(), [&](const auto& held) {
               return counts(held) && held.end.evidence != end_evidence::reserved;
           });
}

bool suspect_table::resolves_soon(const entry& known, base::instant now) const {
    return std::any_of(known.attempts.begin(), known.attempts.end(), [&](const auto& held) {
        const bool is_announced = held.end.evidence == end_evidence::sent;
        return !held.end.is_excused && !is_proof(held.end.evidence) &&
               (is_announced || now - held.ended_at < this->options.settle_time);
    });
}

bool suspect_table::is_well_formed(const suspect& reported) {
    return reported.digest.size() == digest_length &&
           !(reported.ends.empty() && reported.unproved.empty());
}

bool suspect_table::merge(const suspect& reported, base::instant now) {
    if (!is_well_formed(reported)) {
        return false;
    }
    this->expire(now);
    if (this->entries.count(reported.digest) == 0) {
        this->make_room(reported.tenant, now);
    }
    const auto [at, is_new] = this->entries.try_emplace(reported.digest);
    entry& known = at->second;
    if (is_new) {
        known.description = reported;
        known.description.ends.clear();
        known.description.unproved.clear();
        known.description.trial.clear();
        ++this->scopes[reported.scope];
    }
    known.description.is_reserved = known.description.is_reserved || reported.is_reserved;
    if (known.description.service.empty()) {
        known.description.service = reported.service;
    }
    const bool was_blocked = this->is_blocked(known, now);
    for (const suspected_end& end : reported.ends) {
        add_attempt(known, end, now);
    }
    for (const suspected_end& end : reported.unproved) {
        add_attempt(known, end, now);
    }
    add_trial(known, reported, now);
    ++this->changes;
    return !was_blocked && this->is_blocked(known, now);
}

void suspect_table::add_attempt(entry& known, const suspected_end& end, base::instant now) {
    const held_attempt added{
        .end = end,
        .sent_at = end.sent_age_ms == 0 ? base::instant{} : now - milliseconds_of(end.sent_age_ms),
        .ended_at = now - milliseconds_of(end.age_ms)};
    const auto strengthen = [&added](held_attempt& held) {
        if (strength_of(added.end.evidence) > strength_of(held.end.evidence)) {
            held.end.evidence = added.end.evidence;
            held.end.node = added.end.node;
            held.ended_at = added.ended_at;
        }
    };
    const auto complete = [&added](held_attempt& held) {
        if (is_backend_unknown(held.end) && !is_backend_unknown(added.end)) {
            held.end.backend = added.end.backend;
            held.end.started_at = added.end.started_at;
            held.end.evidence = added.end.evidence;
            held.end.node = added.end.node;
            held.sent_at = added.sent_at;
            held.ended_at = added.ended_at;
        }
    };
    for (held_attempt& held : known.attempts) {
        if (is_same_attempt(held.end, end)) {
            complete(held);
            strengthen(held);
            held.end.is_excused = held.end.is_excused || end.is_excused;
            return;
        }
    }
    // Attempts that one end broke off are kept once, so that they do not displace other ends.
    const bool has_broken_off = !end.is_excused && !is_open(end.evidence);
    for (held_attempt& held : known.attempts) {
        const bool is_same_end = has_broken_off && !held.end.is_excused &&
                                 !is_open(held.end.evidence) && is_same_process(held.end, end) &&
                                 added.sent_at <= held.ended_at && held.sent_at <= added.ended_at;
        if (is_same_end) {
            strengthen(held);
            return;
        }
    }
    known.attempts.push_back(added);
    if (known.attempts.size() > max_attempts_kept) {
        known.attempts.erase(
            std::min_element(known.attempts.begin(), known.attempts.end(),
                             [](const held_attempt& left, const held_attempt& right) {
                                 return std::tuple(!left.end.is_excused, left.ended_at) <
                                        std::tuple(!right.end.is_excused, right.ended_at);
                             }));
    }
}

void suspect_table::add_trial(entry& known, const suspect& reported, base::instant now) {
    const base::instant at = now - milliseconds_of(reported.trial_age_ms);
    if (!reported.trial.empty() && at > known.trial_at) {
        known.description.trial = reported.trial;
        known.trial_at = at;
    }
}

void suspect_table::set_trial(const std::string& digest, const std::string& backend,
                              base::instant now) {
    const auto found = this->entries.find(digest);
    if (found != this->entries.end()) {
        found->second.description.trial = backend;
        found->second.trial_at = now;
        ++this->changes;
    }
}

bool suspect_table::excuse(const std::string& digest, base::instant now) {
    const auto found = this->entries.find(digest);
    if (found == this->entries.end() || possible_ends(found->second) == 0) {
        return false;
    }
    for (held_attempt& held : found->second.attempts) {
        held.end.is_excused = true;
    }
    ++this->changes;
    this->expire(now);
    return true;
}

bool suspect_table::excuse_attempt(const std::string& digest, const std::string& request,
                                   const std::string& backend) {
    const auto found = this->entries.find(digest);
    if (found == this->entries.end()) {
        return false;
    }
    bool has_counted = false;
    for (held_attempt& held : found->second.attempts) {
        const bool is_meant =
            held.end.request == request &&
            (backend.empty() || held.end.backend == backend || is_backend_unknown(held.end)) &&
            !is_proof(held.end.evidence);
        has_counted = has_counted || (is_meant && !held.end.is_excused);
        held.end.is_excused = held.end.is_excused || is_meant;
    }
    this->changes += has_counted ? 1 : 0;
    return has_counted;
}

bool suspect_table::is_blocked(const entry& known, base::instant now) const {
    return this->options.max_ends > 0 && this->ends(known, now) >= this->options.max_ends &&
           now - known.last_end() < this->options.block_time;
}

bool suspect_table::is_expired(const entry& known, base::instant now) const {
    const bool may_be_blocked =
        this->options.max_ends > 0 && possible_ends(known) >= this->options.max_ends;
    const base::milliseconds kept = may_be_blocked
                                        ? this->options.block_time * block_times_remembered
                                        : this->options.suspicion_time;
    return now - known.last_end() >= kept;
}

base::milliseconds suspect_table::time_to_resolve(const entry& known, base::instant now) const {
    base::milliseconds shortest = this->options.settle_time;
    for (const held_attempt& held : known.attempts) {
        if (held.end.is_excused || is_proof(held.end.evidence)) {
            continue;
        }
        if (held.end.evidence == end_evidence::sent) {
            shortest = std::min(shortest, open_attempt_retry);
            continue;
        }
        const auto left =
            std::chrono::ceil<base::milliseconds>(held.ended_at + this->options.settle_time - now);
        const bool is_too_old = held.end.evidence == end_evidence::reserved && left.count() <= 0;
        if (!is_too_old) {
            shortest = std::min(shortest, std::max(left, open_attempt_retry));
        }
    }
    return shortest;
}

suspect_status suspect_table::status_of(const std::string& digest, base::instant now) const {
    const auto found = this->entries.find(digest);
    if (found == this->entries.end() || this->is_expired(found->second, now)) {
        return {};
    }
    const entry& known = found->second;
    suspect_status status{.ends = this->ends(known, now), .possible_ends = possible_ends(known)};
    status.is_blocked = this->is_blocked(known, now);
    status.is_only_reserved = status.possible_ends > 0 && !shows_trouble(known);
    status.resolves_soon = this->resolves_soon(known, now);
    if (status.is_blocked) {
        status.retry_after = std::chrono::ceil<base::milliseconds>(known.last_end() +
                                                                   this->options.block_time - now);
        return status;
    }
    const bool has_doubt = status.possible_ends > status.ends;
    status.is_held =
        this->options.max_ends > 0 && has_doubt && status.possible_ends >= this->options.max_ends;
    if (status.is_held) {
        status.retry_after = this->time_to_resolve(known, now);
    }
    return status;
}

suspect suspect_table::described(const entry& known, base::instant now) {
    suspect description = known.description;
    description.trial_age_ms = age_in_milliseconds(now - known.trial_at);
    for (const held_attempt& held : known.attempts) {
        auto& list = is_proof(held.end.evidence) ? description.ends : description.unproved;
        suspected_end& end = list.emplace_back(held.end);
        end.age_ms = age_in_milliseconds(now - held.ended_at);
        const bool is_sent_known = held.sent_at != base::instant{};
        end.sent_age_ms =
            is_sent_known ? std::max<std::uint64_t>(1, age_in_milliseconds(now - held.sent_at)) : 0;
    }
    return description;
}

std::optional<suspect> suspect_table::find(const std::string& digest, base::instant now) const {
    const auto found = this->entries.find(digest);
    return found == this->entries.end() ? std::nullopt
                                        : std::optional(described(found->second, now));
}

std::vector<suspect> suspect_table::all(base::instant now) const {
    std::vector<suspect> found;
    for (const auto& [digest, known] : this->entries) {
        if (!this->is_expired(known, now)) {
            found.push_back(described(known, now));
        }
    }
    return found;
}

/// Suspects that are at a back end come first, in the order of their last ends, so that later ones
/// do not displace them. With too few back ends, those with the most ends come first.
std::vector<const suspect_table::entry*> suspect_table::active_suspects(const std::string& service,
                                                                        std::size_t backend_count,
                                                                        base::instant now) const {
    std::vector<const entry*> active;
    for (const auto& [digest, known] : this->entries) {
        const bool is_active = known.description.service == service && shows_trouble(known) &&
                               now - known.last_end() < this->options.isolation_time;
        if (is_active && !this->is_blocked(known, now)) {
            active.push_back(&known);
        }
    }
    const bool are_too_many = active.size() > backend_count;
    std::sort(active.begin(), active.end(), [are_too_many](const entry* left, const entry* right) {
        const auto rank = [are_too_many](const entry& known) {
            return std::tuple(are_too_many ? max_attempts_kept - possible_ends(known) : 0,
                              known.trial_at < known.last_end(), known.last_end(),
                              known.description.digest);
        };
        return rank(*left) < rank(*right);
    });
    return active;
}

isolation_plan suspect_table::plan(const std::string& service,
                                   const std::vector<std::string>& backends,
                                   base::instant now) const {
    std::set<std::string> unavailable;
    for (const auto& [digest, known] : this->entries) {
        for (const held_attempt& held : known.attempts) {
            if (!held.end.is_excused && !is_open(held.end.evidence)) {
                unavailable.insert(held.end.backend);
            }
        }
    }
    // On a ring, back ends that come and go change the places of few suspects.
    std::vector<std::pair<std::uint64_t, std::string>> ring;
    ring.reserve(backends.size());
    for (const std::string& backend : backends) {
        ring.emplace_back(base::stable_hash(backend), backend);
    }
    std::sort(ring.begin(), ring.end());
    const std::size_t max_reserved =
        std::max<std::size_t>(1, backends.size() / backends_per_reservation);
    isolation_plan plan;
    for (const entry* known : this->active_suspects(service, backends.size(), now)) {
        const std::string& digest = known->description.digest;
        const std::uint64_t own = known->trial_at >= known->last_end()
                                      ? base::stable_hash(known->description.trial)
                                      : base::stable_hash(digest);
        const auto first =
            std::lower_bound(ring.begin(), ring.end(), std::pair(own, std::string()));
        const auto offset = static_cast<std::size_t>(first - ring.begin());
        for (std::size_t step = 0; step < ring.size(); ++step) {
            const std::string& backend = ring[(offset + step) % ring.size()].second;
            if (!unavailable.insert(backend).second) {
                continue;
            }
            plan.trials[digest] = backend;
            const bool is_last_trial = observed_ends(*known) + 1 >= this->options.max_ends;
            if (is_last_trial && plan.reserved.size() < max_reserved) {
                plan.reserved.insert(backend);
            }
            break;
        }
    }
    const std::size_t recent_ends = this->recent_trial_ends(service, now);
    plan.is_paused = recent_ends > 0 && recent_ends * backends_per_trial_end >= backends.size();
    return plan;
}

std::size_t suspect_table::recent_trial_ends(const std::string& service, base::instant now) const {
    // Several suspects may have met one end.
    std::set<std::pair<std::string, std::uint64_t>> ended;
    for (const auto& [digest, known] : this->entries) {
        if (known.description.service != service) {
            continue;
        }
        // The first end of a request was not a trial.
        const auto first =
            std::min_element(known.attempts.begin(), known.attempts.end(),
                             [](const held_attempt& left, const held_attempt& right) {
                                 return left.ended_at < right.ended_at;
                             });
        for (const held_attempt& held : known.attempts) {
            const bool has_ended =
                held.end.evidence == end_evidence::silent || this->is_end(held, now);
            const bool is_recent = now - held.ended_at < this->options.trial_pause;
            if (&held != &*first && !held.end.is_excused && has_ended && is_recent) {
                ended.emplace(held.end.backend, held.end.started_at);
            }
        }
    }
    return ended.size();
}

void suspect_table::expire(base::instant now) {
    for (auto at = this->entries.begin(); at != this->entries.end();) {
        const auto current = at++;
        if (this->is_expired(current->second, now)) {
            this->erase(current);
        }
    }
}

void suspect_table::make_room(const std::string& tenant, base::instant now) {
    if (this->count_of(tenant) >= this->options.max_suspects_of_tenant) {
        this->evict(tenant, now);
    }
    if (this->entries.size() >= this->options.max_suspects) {
        this->evict(std::nullopt, now);
    }
}

void suspect_table::evict(const std::optional<std::string>& tenant, base::instant now) {
    auto oldest = this->entries.end();
    const auto rank = [&](const entry& known) {
        return std::tuple(this->is_blocked(known, now), known.last_end());
    };
    for (auto at = this->entries.begin(); at != this->entries.end(); ++at) {
        if (tenant.has_value() && at->second.description.tenant != *tenant) {
            continue;
        }
        if (oldest == this->entries.end() || rank(at->second) < rank(oldest->second)) {
            oldest = at;
        }
    }
    if (oldest != this->entries.end()) {
        this->erase(oldest);
    }
}

void suspect_table::erase(entry_map::iterator at) {
    const auto scope = this->scopes.find(at->second.description.scope);
    if (--scope->second == 0) {
        this->scopes.erase(scope);
    }
    this->entries.erase(at);
    ++this->changes;
}

std::size_t suspect_table::count_of(const std::string& tenant) const {
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [&](const auto& item) { return item.second.description.tenant == tenant; }));
}

std::size_t suspect_table::blocked_count(base::instant now) const {
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [&](const auto& item) { return this->is_blocked(item.second, now); }));
}

}  // namespace pearbarrow::suspects
