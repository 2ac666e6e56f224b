/// Requests under which back ends have ended, as one node knows them, and the decision which of
/// them are blocked.
///
/// A pure state machine; time is a parameter. All nodes merge the same reports: an end is added
/// once, and only ever becomes excused, so the order of the reports does not matter.
///
/// An end is no proof against a request: every request that the back end had is a suspect. Suspects
/// are therefore tried at different back ends, and three rules separate the request that ends its
/// back ends from those that ran beside it:
///  - A suspect that is completed is excused from its ends.
///  - A request is blocked after `max_ends` ends.
///  - The ends of a blocked request are explained by it. A request that shares them is blocked only
///    if at most one of its ends is explained.
///
/// While back ends of the service crash in series without a request that was at several of them,
/// any request may meet three ends by chance. More are then needed.
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
    /// How long ends of a request that is not blocked are remembered.
    base::milliseconds suspicion_time{60'000};
    /// How long a request is blocked after its last end. It may then be tried again, and one more
    /// end blocks it again.
    base::milliseconds block_time{600'000};
    /// One more end is needed for so many unrelated ones within `series_time`, rounded.
    std::size_t unrelated_ends_per_end = 10;
    base::milliseconds series_time{10'000};
    /// How long after its last end a suspect keeps a back end to itself.
    base::milliseconds isolation_time{3'000};
    std::size_t max_suspects = 2'048;
    /// Bounds what one tenant can displace.
    std::size_t max_suspects_of_tenant = 1'024;
};

struct suspect_status {
    /// Ends from which the request is not excused.
    std::size_t ends = 0;
    bool is_blocked = false;
    /// Time until the request may be tried again.
    base::milliseconds blocked_for{0};
};

/// Back ends of a service that are reserved for suspects.
struct isolation_plan {
    /// Back end at which each suspect is tried next, by digest.
    std::map<std::string, std::string> trials;
    /// Back ends of suspects that one more end blocks. Other requests avoid them.
    std::set<std::string> reserved;
};

class suspect_table {
  public:
    explicit suspect_table(suspect_options options) : options(options) {}

    bool is_empty() const { return this->entries.empty(); }
    /// Returns whether a request of the scope is known. Only then is its digest needed.
    bool may_contain(std::uint64_t scope) const { return this->scopes.count(scope) > 0; }
    /// Adds the ends of a suspect. Returns whether this blocked the request.
    bool merge(const suspect& reported, base::instant now);
    /// Excuses a request that was completed from its ends, or one that an operator released.
    /// Returns whether it was a suspect.
    bool excuse(const std::string& digest, base::instant now);
    /// Records that a suspect is sent to the back end.
    void set_trial(const std::string& digest, const std::string& backend, base::instant now);
    suspect_status status_of(const std::string& digest, base::instant now) const;
    /// Returns what is known of a suspect, for reports and logs; nothing if it is unknown.
    std::optional<suspect> find(const std::string& digest, base::instant now) const;
    /// Returns the suspects that are not excused from all their ends.
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
    struct held_end {
        suspected_end end;
        base::instant at;
        /// A blocked request had the back end as well.
        bool is_explained = false;
    };
    struct entry {
        suspect description;
        std::vector<held_end> ends;
        base::instant trial_at{};
        /// Ends that block the request. Never decreases, since the ends of others expire earlier.
        std::size_t required_ends = 0;

        /// Number of ends from which the request is not excused.
        std::size_t counted_ends() const;
        /// Number of these that no blocked request explains.
        std::size_t unexplained_ends() const;
        base::instant last_end() const;
        bool has(const suspected_end& end) const;
        /// Returns whether this request, once blocked, explains ends that the other one shares.
        bool explains(const entry& other) const;
    };
    using entry_map = std::map<std::string, entry>;

    static bool is_well_formed(const suspect& reported);
    static void add_trial(entry& known, const suspect& reported, base::instant now);
    static void add_end(entry& known, const suspected_end& end, base::instant now);
    static suspect described(const entry& known, base::instant now);
    /// Returns whether the request has enough ends to be blocked, at any time.
    bool may_be_blocked(const entry& known) const;
    bool is_blocked(const entry& known, base::instant now) const;
    bool is_expired(const entry& known, base::instant now) const;
    /// Updates the number of ends that block the request.
    void update_required_ends(entry& known) const;
    /// Returns the number of back ends of the service that ended shortly before the last end of the
    /// request, without it, and without any other request that had two of them.
    std::size_t unrelated_ends(const entry& known) const;
    /// Marks the ends of a request that blocked requests explain.
    void mark_explained(entry& other, base::instant now) const;
    std::vector<const entry*> active_suspects(const std::string& service, std::size_t backend_count,
                                              base::instant now) const;
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
