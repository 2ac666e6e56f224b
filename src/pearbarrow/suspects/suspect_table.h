/// Requests under which back ends have ended or may have ended, as one node knows them, and the
/// decision which of them are blocked or held back.
///
/// A pure state machine; time is a parameter. All nodes merge the same reports: an attempt is added
/// once, its evidence only becomes stronger, and it only ever becomes excused, so the order of the
/// reports does not matter.
///
/// The bound is on what may have ended: each attempt that broke off without a sign that its back
/// end went on counts, and so does one that is under way. A request with `max_ends` of these is not
/// sent. It is blocked if they are ends, and held back for a short time while some of them are
/// still being examined.
///
/// An end is no proof against a request: every request that the back end had is a suspect. Suspects
/// are therefore tried at different back ends, and a suspect that is completed is excused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/suspects/request_fingerprint.h"
#include "pearbarrow/suspects/suspect_messages.h"

namespace pearbarrow::suspects {

struct suspect_options {
    /// Ends after which a request is blocked. 0 disables blocking.
    std::size_t max_ends = 3;
    /// How long attempts of a request that is not blocked are remembered.
    base::milliseconds suspicion_time{60'000};
    /// How long a request is blocked after its last end. It may then be tried again, and one more
    /// end blocks it again.
    base::milliseconds block_time{600'000};
    /// A lost connection is examined for this long before the back end counts as going on.
    base::milliseconds settle_time{4'000};
    /// An attempt that could not be resolved for this long counts as an end.
    base::milliseconds resolution_time{10'000};
    /// The same for an attempt of which no result is known. It may still be under way.
    base::milliseconds open_attempt_time{60'000};
    /// How long after its last end a suspect keeps a back end to itself.
    base::milliseconds isolation_time{3'000};
    /// Further trials of the service wait while the back ends that trials ended within this time
    /// are too many (`max_trial_ends`).
    base::milliseconds trial_pause{2'000};
    std::size_t max_suspects = 2'048;
    /// Bounds what one tenant can displace.
    std::size_t max_suspects_of_tenant = 1'024;
};

struct suspect_status {
    /// Back ends that have ended under the request.
    std::size_t ends = 0;
    /// The same, and back ends that may have ended or have the request now.
    std::size_t possible_ends = 0;
    bool is_blocked = false;
    /// Whether the request is not blocked, but may not be sent before its attempts are resolved.
    bool is_held = false;
    /// Whether an attempt may be resolved soon, so that a request that is held back should wait.
    bool resolves_soon = false;
    /// Whether the only attempt that counts is one of which just the reservation is known.
    bool is_only_reserved = false;
    /// Time until the request may be tried again.
    base::milliseconds retry_after{0};

    /// Whether a back end may have ended, apart from a single attempt that may just have been lost
    /// with its edge.
    bool shows_trouble() const { return this->possible_ends > 0 && !this->is_only_reserved; }
};

/// Back ends of a service that are reserved for suspects.
struct isolation_plan {
    /// Back end at which each suspect is tried next, by digest.
    std::map<std::string, std::string> trials;
    /// Back ends of suspects that one more end blocks. Other requests avoid them.
    std::set<std::string> reserved;
    /// Whether trials have ended so many back ends that no suspect is sent now.
    bool is_paused = false;
};

class suspect_table {
  public:
    explicit suspect_table(suspect_options options) : options(options) {}

    std::size_t max_ends() const { return this->options.max_ends; }
    bool is_empty() const { return this->entries.empty(); }
    /// Returns whether a request of the scope is known. Only then is its digest needed.
    bool may_contain(std::uint64_t scope) const { return this->scopes.count(scope) > 0; }
    /// Adds the attempts of a suspect. Returns whether this blocked the request.
    bool merge(const suspect& reported, base::instant now);
    /// Excuses a request that was completed from its attempts, or one that an operator released.
    /// Returns whether it was a suspect.
    bool excuse(const std::string& digest, base::instant now);
    /// Excuses the request from one attempt that ended no back end; `backend` is empty if it is not
    /// known. Returns whether it counted.
    bool excuse_attempt(const std::string& digest, const std::string& request,
                        const std::string& backend);
    /// Records that a suspect is sent to the back end.
    void set_trial(const std::string& digest, const std::string& backend, base::instant now);
    suspect_status status_of(const std::string& digest, base::instant now) const;
    /// Returns what is known of a suspect, for reports and logs; nothing if it is unknown.
    std::optional<suspect> find(const std::string& digest, base::instant now) const;
    /// Returns the suspects that are remembered, with the attempts from which they are excused.
    std::vector<suspect> all(base::instant now) const;
    /// Assigns the suspects of the service to different back ends. A suspect keeps the one that it
    /// was last sent to. `backends` are the ids that may be chosen, in an order on which all nodes
    /// agree.
    isolation_plan plan(const std::string& service, const std::vector<std::string>& backends,
                        base::instant now) const;
    /// Forgets what has expired.
    void expire(base::instant now);

    std::size_t size() const { return this->entries.size(); }
    std::size_t blocked_count(base::instant now) const;
    /// Increases with each change.
    std::uint64_t revision() const { return this->changes; }

  private:
    struct held_attempt {
        suspected_end end;
        /// When the request was sent; the beginning of time if unknown.
        base::instant sent_at{};
        /// When the attempt broke off. An attempt under way has not.
        base::instant ended_at{};
    };
    struct entry {
        suspect description;
        std::vector<held_attempt> attempts;
        base::instant trial_at{};

        base::instant last_end() const;
    };
    using entry_map = std::map<std::string, entry>;

    static bool is_well_formed(const suspect& reported);
    static void add_trial(entry& known, const suspect& reported, base::instant now);
    static void add_attempt(entry& known, const suspected_end& end, base::instant now);
    static suspect described(const entry& known, base::instant now);
    /// Returns the number of back ends that may have ended. Attempts that one process may have had
    /// at the same time count once.
    template <typename Predicate>
    static std::size_t count_ends(const entry& known, Predicate counts);
    static std::size_t possible_ends(const entry& known);
    /// The same without attempts of which just the reservation is known.
    static std::size_t observed_ends(const entry& known);
    /// Whether more is known of the request than the reservation of one attempt.
    static bool shows_trouble(const entry& known);
    bool resolves_soon(const entry& known, base::instant now) const;
    std::size_t ends(const entry& known, base::instant now) const;
    /// Returns whether the attempt counts as an end, not only as a possible one.
    bool is_end(const held_attempt& attempt, base::instant now) const;
    bool is_blocked(const entry& known, base::instant now) const;
    bool is_expired(const entry& known, base::instant now) const;
    /// Returns the time until the first attempt without proof is resolved.
    base::milliseconds time_to_resolve(const entry& known, base::instant now) const;
    std::vector<const entry*> active_suspects(const std::string& service, std::size_t backend_count,
                                              base::instant now) const;
    /// Returns the number of back ends of the service that ended shortly before under requests that
    /// were suspects already.
    std::size_t recent_trial_ends(const std::string& service, base::instant now) const;
    void make_room(const std::string& tenant, base::instant now);
    /// Erases the least recent suspect of the tenant, or of any; one that is not blocked if
    /// possible.
    void evict(const std::optional<std::string>& tenant, base::instant now);
    void erase(entry_map::iterator at);
    std::size_t count_of(const std::string& tenant) const;

    suspect_options options;
    entry_map entries;
    /// Number of entries by scope.
    std::map<std::uint64_t, std::size_t> scopes;
    std::uint64_t changes = 0;
};

}  // namespace pearbarrow::suspects
