#include "pearbarrow/suspects/suspect_table.h"

#include <algorithm>
#include <tuple>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::suspects {
namespace {

constexpr std::size_t digest_length = 32;
constexpr std::size_t max_ends_kept = 8;
/// Two lethal requests may share one back end.
constexpr std::size_t max_explained_ends = 1;
/// One in so many back ends may be reserved. More would crowd all other requests together, and the
/// next end would strike many of them.
constexpr std::size_t backends_per_reservation = 5;
/// A blocked request is remembered this many times as long as it is blocked.
constexpr int block_times_remembered = 2;

std::uint64_t age_in_milliseconds(base::microseconds age) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::floor<base::milliseconds>(age).count()));
}

}  // namespace

std::size_t suspect_table::entry::counted_ends() const {
    return static_cast<std::size_t>(
        std::count_if(this->ends.begin(), this->ends.end(),
                      [](const held_end& held) { return !held.end.is_excused; }));
}

std::size_t suspect_table::entry::unexplained_ends() const {
    return static_cast<std::size_t>(std::count_if(
        this->ends.begin(), this->ends.end(),
        [](const held_end& held) { return !held.end.is_excused && !held.is_explained; }));
}

base::instant suspect_table::entry::last_end() const {
    base::instant last{};
    for (const held_end& held : this->ends) {
        last = std::max(last, held.at);
    }
    return last;
}

bool suspect_table::entry::has(const suspected_end& end) const {
    return std::any_of(this->ends.begin(), this->ends.end(), [&](const held_end& held) {
        return held.end.backend == end.backend && held.end.started_at == end.started_at;
    });
}

bool suspect_table::is_well_formed(const suspect& reported) {
    return reported.digest.size() == digest_length && !reported.ends.empty();
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
        known.description.trial.clear();
        ++this->scopes[reported.scope];
    }
    const bool was_blocked = this->is_blocked(known, now);
    for (const suspected_end& end : reported.ends) {
        add_end(known, end, now);
    }
    add_trial(known, reported, now);
    ++this->changes;
    for (auto& [digest, other] : this->entries) {
        this->update_required_ends(other);
    }
    if (was_blocked) {
        return false;
    }
    this->mark_explained(known, now);
    if (!this->is_blocked(known, now)) {
        return false;
    }
    for (auto& [digest, other] : this->entries) {
        if (!this->is_blocked(other, now)) {
            this->mark_explained(other, now);
        }
    }
    return true;
}

void suspect_table::add_end(entry& known, const suspected_end& end, base::instant now) {
    for (held_end& held : known.ends) {
        if (held.end.backend == end.backend && held.end.started_at == end.started_at) {
            held.end.is_excused = held.end.is_excused || end.is_excused;
            return;
        }
    }
    const auto age = base::milliseconds{static_cast<std::int64_t>(end.age_ms)};
    known.ends.push_back({.end = end, .at = now - age});
    if (known.ends.size() > max_ends_kept) {
        known.ends.erase(std::min_element(known.ends.begin(), known.ends.end(),
                                          [](const held_end& left, const held_end& right) {
                                              return std::tuple(!left.end.is_excused, left.at) <
                                                     std::tuple(!right.end.is_excused, right.at);
                                          }));
    }
}

void suspect_table::add_trial(entry& known, const suspect& reported, base::instant now) {
    const base::instant at =
        now - base::milliseconds{static_cast<std::int64_t>(reported.trial_age_ms)};
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
    if (found == this->entries.end() || found->second.counted_ends() == 0) {
        return false;
    }
    for (held_end& held : found->second.ends) {
        held.end.is_excused = true;
    }
    ++this->changes;
    this->expire(now);
    return true;
}

void suspect_table::update_required_ends(entry& known) const {
    std::size_t required = this->options.max_ends;
    if (known.counted_ends() >= this->options.max_ends) {
        const std::size_t unit = this->options.unrelated_ends_per_end;
        const std::size_t more = (this->unrelated_ends(known) + unit / 2) / unit;
        required = std::min(required + more, max_ends_kept);
    }
    known.required_ends = std::max(known.required_ends, required);
}

std::size_t suspect_table::unrelated_ends(const entry& known) const {
    const base::instant last = known.last_end();
    // Whether some request had this back end and another one that ended.
    std::map<std::pair<std::string, std::uint64_t>, bool> is_repeated;
    for (const auto& [digest, other] : this->entries) {
        if (other.description.service != known.description.service) {
            continue;
        }
        for (const held_end& held : other.ends) {
            const bool is_recent = held.at <= last && last - held.at < this->options.series_time;
            if (is_recent && !known.has(held.end)) {
                bool& repeated = is_repeated[{held.end.backend, held.end.started_at}];
                repeated = repeated || other.counted_ends() > 1;
            }
        }
    }
    return static_cast<std::size_t>(std::count_if(is_repeated.begin(), is_repeated.end(),
                                                  [](const auto& item) { return !item.second; }));
}

/// Two requests that had exactly the same back ends cannot be told apart, so neither explains the
/// ends of the other.
bool suspect_table::entry::explains(const entry& other) const {
    return this->counted_ends() > other.counted_ends() ||
           std::any_of(this->ends.begin(), this->ends.end(),
                       [&](const held_end& held) { return !other.has(held.end); });
}

void suspect_table::mark_explained(entry& other, base::instant now) const {
    for (const auto& [digest, blocked] : this->entries) {
        if (&blocked == &other || !this->is_blocked(blocked, now) || !blocked.explains(other)) {
            continue;
        }
        for (held_end& held : other.ends) {
            held.is_explained = held.is_explained || blocked.has(held.end);
        }
    }
}

bool suspect_table::may_be_blocked(const entry& known) const {
    return this->options.max_ends > 0 && known.counted_ends() >= known.required_ends &&
           known.unexplained_ends() + max_explained_ends >= known.required_ends;
}

bool suspect_table::is_blocked(const entry& known, base::instant now) const {
    return this->may_be_blocked(known) && now - known.last_end() < this->options.block_time;
}

bool suspect_table::is_expired(const entry& known, base::instant now) const {
    const base::milliseconds kept = this->may_be_blocked(known)
                                        ? this->options.block_time * block_times_remembered
                                        : this->options.suspicion_time;
    return now - known.last_end() >= kept;
}

suspect_status suspect_table::status_of(const std::string& digest, base::instant now) const {
    const auto found = this->entries.find(digest);
    if (found == this->entries.end() || this->is_expired(found->second, now)) {
        return {};
    }
    const entry& known = found->second;
    suspect_status status{.ends = known.counted_ends()};
    status.is_blocked = this->is_blocked(known, now);
    if (status.is_blocked) {
        status.blocked_for = std::chrono::ceil<base::milliseconds>(known.last_end() +
                                                                   this->options.block_time - now);
    }
    return status;
}

suspect suspect_table::described(const entry& known, base::instant now) {
    suspect description = known.description;
    description.trial_age_ms = age_in_milliseconds(now - known.trial_at);
    for (const held_end& held : known.ends) {
        suspected_end& end = description.ends.emplace_back(held.end);
        end.age_ms = age_in_milliseconds(now - held.at);
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
        if (known.counted_ends() > 0 && !this->is_expired(known, now)) {
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
        const bool is_active = known.description.service == service && known.counted_ends() > 0 &&
                               now - known.last_end() < this->options.isolation_time;
        if (is_active && !this->is_blocked(known, now)) {
            active.push_back(&known);
        }
    }
    const bool are_too_many = active.size() > backend_count;
    std::sort(active.begin(), active.end(), [are_too_many](const entry* left, const entry* right) {
        const auto rank = [are_too_many](const entry& known) {
            return std::tuple(are_too_many ? max_ends_kept - known.counted_ends() : 0,
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
        for (const held_end& held : known.ends) {
            unavailable.insert(held.end.backend);
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
            const bool is_last_trial = known->counted_ends() + 1 >= this->options.max_ends;
            if (is_last_trial && plan.reserved.size() < max_reserved) {
                plan.reserved.insert(backend);
            }
            break;
        }
    }
    return plan;
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
