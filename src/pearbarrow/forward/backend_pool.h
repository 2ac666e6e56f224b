/// State of the back ends as one edge sees it, and the selection of a back end for each
/// request.
///
/// The pool is a pure state machine: time is a parameter, and the random source is passed to the
/// constructor. The node tracks its own requests exactly; without load reports, the load of other
/// nodes shows only in rejections and latency.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_report.h"
#include "pearbarrow/dispatch/shared_load.h"
#include "pearbarrow/forward/choice_policy.h"
#include "pearbarrow/forward/pool_entry.h"
#include "pearbarrow/forward/pool_options.h"
#include "pearbarrow/forward/prefill_rate_estimate.h"
#include "pearbarrow/forward/program_admission.h"
#include "pearbarrow/forward/request_rate.h"
#include "pearbarrow/forward/round_trip_estimates.h"
#include "pearbarrow/forward/service_backends.h"
#include "pearbarrow/places/zone_rules.h"
#include "pearbarrow/slowstart/cold_table.h"

namespace pearbarrow::forward {

/// Result of an attempt at a back end, as far as it matters for later selections.
enum class attempt_result {
    served,
    /// The back end rejected the request without executing it.
    refused,
    /// No connection could be established.
    unreachable,
    /// The connection broke, the response was malformed or the attempt timed out.
    broken,
    /// The back end responded with an error of its own.
    failed,
    /// The caller left before the response was complete.
    abandoned,
    /// The caller left after the back end had been silent long enough to be excluded.
    silent,
    /// Another process responded at the address of the back end.
    not_there,
};

std::string_view to_string(attempt_result result);

struct choice_request {
    std::string service;
    /// If present, only back ends of this version are eligible.
    std::optional<directory::software_version> version = {};
    /// Requests with the same key go to the same back end while it is not overloaded. If empty, any
    /// back end is suitable.
    std::string affinity_key;
    /// Whether back ends with a recent failure are selected only if there is no other one. Without
    /// `requires_proof`, those under whose id another process may start
    /// (`directory::backend::started_at`) are not selected at all: it may have another version that
    /// is not listed yet.
    bool avoids_failures = false;
    /// Whether only back ends are selected whose process is known to be the listed one.
    bool requires_proof = false;
    /// With `requires_proof`, whether back ends that state no start time need no proof.
    bool accepts_unstated = false;
    /// Back ends to which this request was already sent, by id: a back end that restarted just
    /// after the request broke there is the least likely to serve it in time.
    std::set<std::string> excluded;
    /// Back ends that are selected only if no other one is eligible, by id.
    std::set<std::string> avoided = {};
    /// Back end that is selected if it is eligible and not deferred; empty if there is none.
    std::string assigned_backend = {};
    /// Zones and regions to which the request may go.
    places::region_limits region_limits;
    /// Cold back ends that rejected a permit for this request. If not empty, a cold back end is
    /// selected only if no other is eligible.
    std::set<std::string> without_permit;
    /// Number of prompt tokens, or 0 if unknown.
    std::uint64_t prompt_tokens = 0;
    /// Whether this is the first request with its key.
    bool is_first = false;
    /// Back end that executed the previous request with the same key, or 0 if unknown.
    dispatch::backend_key previous_backend = 0;
};

/// Version that a request would be executed by.
struct version_choice {
    directory::software_version version;
    /// Whether the process of the back end may have another version than its entry. The request
    /// should then go to the back end that was selected.
    bool is_provisional = false;
    std::string backend = {};
    dispatch::backend_key key = 0;
};

/// Back ends of one version of a service.
struct version_status {
    /// Number of back ends that accept requests.
    std::size_t usable = 0;
    /// Whether a back end of the version has just left without draining. A process that has ended
    /// unexpectedly usually starts again with its version.
    bool may_return = false;
};

/// Estimated prefill work of a prompt that was sent to a back end.
struct prompt_ticket {
    /// Tokens to be read for this prompt, and tokens queued before it.
    double own_tokens = 0;
    double queued_tokens = 0;
    bool is_open = false;
};

struct choice {
    directory::backend target;
    /// In-flight requests of this node at the target, for logs.
    std::uint32_t in_flight = 0;
    /// In-flight requests of other nodes at the target, or 0 if unknown.
    std::uint32_t remote_requests = 0;
    bool is_remote_load_known = false;
    choice_reason reason = choice_reason::least_load;
    std::size_t candidates = 0;
    /// Number of candidates in the preferred set of this node.
    std::size_t preferred = 0;
    /// Present if a permit is needed before the request is sent.
    std::optional<slowstart::cold_start> cold;
    choice_cost cost;
    prompt_ticket prompt;
};

class backend_pool {
  public:
    backend_pool(pool_options options, base::random_source& random);

    /// Sets the source of the load of other nodes. It must outlive the pool.
    void set_shared_load(const dispatch::shared_load& load) { remote_load_ = &load; }

    /// Sets the zone rules. They must outlive the pool. Without them, requests may go anywhere.
    void set_zone_rules(const places::zone_rules& rules) { zone_rules_ = &rules; }
    /// Sets the table of cold back ends. It must outlive the pool.
    void set_cold_table(slowstart::cold_table& table) { cold_ = &table; }

    /// Applies a set of changes to the list of back ends.
    void apply(const directory::backend_changes& step, base::instant now);
    /// Replaces the list of back ends.
    void set_backends(const directory::backend_list& list, base::instant now);

    /// Selects a back end and counts the request as sent. Returns nothing if no back end is
    /// eligible.
    std::optional<choice> choose(const choice_request& request, base::instant now);
    /// Returns the version of the back end that would be selected, without selecting it.
    std::optional<version_choice> version_for(const choice_request& request,
                                              base::instant now) const;
    /// Returns the version of all back ends of the service, if it is known and no back end of
    /// another version has left within `period`. Versions that had left before this node received
    /// the list are not known: a process is listed for seconds after its last new request.
    std::optional<directory::software_version> sole_version(const std::string& service,
                                                            base::milliseconds period,
                                                            base::instant now) const;
    /// Returns the back end if it is listed.
    std::optional<directory::backend> find_listed(dispatch::backend_key backend) const;
    std::optional<directory::backend> find_listed(const std::string& id) const;
    // Processes of back ends, pool_processes.cc.
    /// Records that the back end was heard on a connection whose first bytes came at
    /// `first_heard_at`.
    void on_process_heard(const directory::backend_incarnation& incarnation,
                          base::instant first_heard_at, base::instant now);
    /// Records that the process at the address has stated the start time of this incarnation.
    void on_process_stated(const directory::backend_incarnation& incarnation, base::instant now);
    /// Records a sign that the process may have ended.
    void on_process_doubted(const directory::backend_incarnation& incarnation, base::instant now);
    void on_process_doubted(dispatch::backend_key backend, base::instant now);
    /// Returns whether the connection led to the listed process when it was last heard. If the
    /// entry has changed since, only what was known before counts.
    bool was_process_proven(const directory::backend& backend, base::instant first_heard_at,
                            base::instant now) const;
    /// Returns whether a request that requires proof may be sent on the connection.
    bool may_use_connection(const directory::backend_incarnation& incarnation,
                            const choice_request& request, base::instant first_heard_at,
                            base::instant now) const;
    /// Returns back ends that the request may be able to select by `deadline`: their processes
    /// state a start time, or will have been observed for long enough.
    std::vector<directory::backend> unproven_backends(const choice_request& request,
                                                      std::size_t most, base::instant deadline,
                                                      base::instant now) const;
    /// Returns the listed back end with this key and version, or nothing if its entry has changed.
    std::optional<directory::backend> find_unchanged(
        dispatch::backend_key backend, const directory::software_version& version) const;
    /// Returns whether the list shows a later incarnation of the back end with another version.
    bool has_restarted_with_other_version(const directory::backend& backend) const;
    version_status status_of(const std::string& service, const directory::software_version& version,
                             base::instant now) const;
    /// Undoes a selection made at `started_at` for which nothing was sent.
    void withdraw(choice& chosen, base::instant started_at, base::instant now);
    /// Records the response head of an attempt that started at `started_at`.
    void on_response_head(const directory::backend_incarnation& incarnation,
                          base::instant started_at);
    /// Records that a response head or event of the back end has arrived.
    void on_heard(const directory::backend_incarnation& incarnation, base::instant now);
    /// Returns whether a response head or event of the back end has arrived since.
    bool was_heard_since(const directory::backend_incarnation& incarnation,
                         base::instant since) const;
    /// Returns whether an attempt that has waited this long for the response head causes the
    /// exclusion of the back end.
    bool is_long_silence(const directory::backend_incarnation& incarnation,
                         base::microseconds silence) const;
    /// Records the end of an attempt. Call `on_response_head` first. `took`: time to the response
    /// or, of an attempt without a whole response, its duration.
    void on_attempt_ended(const directory::backend_incarnation& incarnation, attempt_result result,
                          base::microseconds took, base::instant now);
    /// Records the time from sending a request to the end of its response.
    void record_service_time(const directory::backend_incarnation& incarnation,
                             base::microseconds service_time);
    /// Records a stream event that was received `gap` after the previous one.
    void record_event(const directory::backend_incarnation& incarnation, base::microseconds gap,
                      base::instant now);
    /// Records the first event of a response, which shows that the back end has read the prompt.
    void on_prompt_read(choice& chosen, base::microseconds took, base::instant now);
    /// Records that no first event will be received.
    void on_prompt_dropped(choice& chosen);
    /// Records a new connection to the back end.
    void record_connection(const directory::backend_incarnation& incarnation,
                           base::microseconds took, base::instant now);
    /// Returns how long an attempt may wait for the response head before a retry at another back
    /// end is worthwhile. Applies to requests that may be executed again.
    base::microseconds patience(const directory::backend_incarnation& incarnation,
                                base::microseconds objective) const;
    /// Returns the aggregate load of the back ends of the service that accept requests.
    service_load load_of(std::string_view service, base::instant now) const;
    std::size_t backend_count(std::string_view service) const;
    /// Returns the ids of the listed back ends of the service that are not draining, sorted.
    std::vector<std::string> open_backends(const std::string& service) const;
    /// Returns whether the back end has announced its end, or has left the list.
    bool is_leaving(const directory::backend_incarnation& incarnation) const;
    /// Returns why the zone rules exclude the back ends of the service, or of one version of it.
    /// Returns `permitted` if at least one is permitted or there is none.
    places::zone_verdict placement_verdict_of(
        const std::string& service, const std::optional<directory::software_version>& version,
        const places::region_limits& request) const;
    /// Returns the number of in-flight requests of this node in emptied zones.
    std::uint32_t requests_in_emptied_zones() const;
    /// Returns the in-flight requests and recent failures of this node for each back end that has
    /// any.
    std::vector<dispatch::backend_load> own_loads(base::instant now) const;
    /// Returns the number of back ends excluded because of failures.
    std::size_t failing_count(base::instant now) const;
    /// Returns the number of back ends in use although they have vanished from the list.
    std::size_t lapsed_count(base::instant now) const;
    std::uint64_t revision() const { return revision_; }
    /// Returns how long this node has known the list of back ends.
    base::microseconds watched_for(base::instant now) const {
        return watched_since_.has_value() ? now - *watched_since_ : base::microseconds{0};
    }
    const pool_options& options() const { return options_; }

  private:
    using entry_map = std::map<std::string, pool_entry>;

    /// A back end under comparison, with the load reported by other nodes.
    struct candidate_entry {
        const pool_entry* entry;
        dispatch::backend_load others;
        /// Attempts of this node that ended early and count as in flight. Otherwise the back end
        /// that fails fastest, or whose callers leave first, would seem the least loaded.
        std::size_t ended_early = 0;
        /// Whether the back end is in the preferred set of this node.
        bool is_preferred = true;
        /// See `choice_candidate::is_reused`.
        bool is_reused = false;
    };
    using candidate_entries = std::vector<candidate_entry>;

    /// The eligible back ends of a request, and the one that the policy selects.
    struct ranked_candidates {
        candidate_entries fit;
        std::vector<choice_candidate> loaded;
        ranked_choice selected;
        std::size_t preferred = 0;

        const pool_entry& entry() const { return *this->fit[this->selected.index].entry; }
    };

    /// Back ends of one version of a service. Each version has an index of its own, so that a
    /// selection does not visit back ends of other versions.
    struct version_backends {
        explicit version_backends(const std::string& own_zone) : backends(own_zone) {}

        service_backends backends;
        /// Time at which the last back end left. Valid only while there is none.
        base::instant left_at{};
    };
    using version_map = std::map<directory::software_version, version_backends>;

    /// Statistics on the streams of a service.
    struct stream_work {
        prefill_rate_estimate prefill_rate;
        /// Decaying counts over the latest few hundred responses.
        double events = 0;
        double answers = 0;

        double events_per_answer() const { return answers > 0 ? events / answers : 0; }
    };

    /// Returns the entry of this incarnation of a back end, or end if the entry is missing or
    /// belongs to another incarnation.
    entry_map::iterator find(const directory::backend_incarnation& incarnation);
    base::microseconds max_silence(const pool_entry& entry) const;
    /// Records a result for this node and for its reports to other nodes.
    void record_result(pool_entry& entry, attempt_result result, base::instant now) const;
    base::milliseconds backoff_after(const pool_entry& entry, attempt_result result) const;
    void record_early_end(pool_entry& entry, base::microseconds took, base::instant now) const;
    void apply_present(const directory::backend& backend, base::instant now);
    /// Forgets versions whose back ends left some time ago.
    void remove_departed_versions(base::instant now);
    void apply_gone(const std::string& id, base::instant now);
    void erase(entry_map::iterator at, base::instant now);
    /// Adds the entry to the orders of its service and version, or removes it before a change.
    void add_to_orders(pool_entry& entry);
    void remove_from_orders(pool_entry& entry, base::instant now);
    /// Removes back ends that left the list some time ago.
    void remove_departed(base::instant now);
    service_backends& service_of(const std::string& name);
    /// Returns the back ends that a request may select from, or null if there are none.
    const service_backends* find_backends(
        const std::string& service,
        const std::optional<directory::software_version>& version) const;
    /// Ranks the eligible back ends, or returns nothing if there are none.
    std::optional<ranked_candidates> rank(const choice_request& request, base::instant now) const;

    // Candidates for a request, pool_candidates.cc.
    /// Groups the visited back ends into eligible, deferred and cold ones.
    class candidate_collector;
    /// `preferred` is the size of the preferred set in the order of this node.
    candidate_entries candidates(const choice_request& request, std::size_t preferred,
                                 base::instant now) const;
    static void visit_ring_windows(const service_backends& service, std::uint64_t point,
                                   candidate_collector& collector);
    void visit_previous(const choice_request& request, candidate_collector& collector) const;
    void visit_connected(const choice_request& request, const service_backends& service,
                         candidate_collector& collector) const;
    void visit_assigned(const choice_request& request, candidate_collector& collector) const;
    /// Selects the assigned back end of the request if it is among the candidates.
    static void select_assigned(const choice_request& request, ranked_candidates& ranked);
    bool has_many(const service_backends& service) const;
    /// Returns whether an open connection to the back end is assumed to be idle.
    bool is_connected(const pool_entry& entry, base::instant now) const;
    void visit_in_own_order(const service_backends& service, std::size_t preferred,
                            candidate_collector& collector) const;
    places::zone_verdict zone_verdict(std::string_view zone,
                                      const places::region_limits& request) const;
    bool is_in_emptied_zone(std::string_view zone) const;
    bool is_cold(const pool_entry& entry, base::instant now) const;
    /// Marks the preferred set of this node: back ends of its own zone first, in an order that
    /// differs between nodes, so that all nodes together use the back ends evenly.
    void mark_preferred(candidate_entries& fit, std::size_t count) const;
    std::size_t preferred_count(const std::string& service, base::instant now) const;
    /// Returns whether so many back ends of the service have just vanished that a lapse of the
    /// directory service is more likely than their end.
    bool has_lapsed(const service_backends& service, base::instant now) const;
    /// Returns whether the back end recently left the list without draining.
    bool has_just_vanished(const pool_entry& entry, base::instant now) const;
    bool is_backing_off(const pool_entry& entry, base::instant now) const;
    bool is_failing(const candidate_entry& item, base::instant now) const;
    /// Returns whether a new connection, or the idle one, is known to lead to the listed process.
    bool has_proven_process(const pool_entry& entry, base::instant now) const;
    bool accepts_process(const pool_entry& entry, const choice_request& request,
                         base::instant now) const;
    /// Returns whether this node or another one reports a recent failure.
    bool has_recent_failure(const candidate_entry& item, base::instant now) const;

    std::vector<choice_candidate> with_load(const candidate_entries& fit, base::instant now) const;
    // Selection by cost, cost_inputs.cc.
    void add_work(std::vector<choice_candidate>& loaded, const candidate_entries& fit,
                  const choice_request& request, base::instant now) const;
    /// Returns the recent mean time of one event in microseconds, or 0 if unknown. The fewer
    /// requests a back end has, the closer the value is to the typical time.
    double event_time(const candidate_entry& item, double typical, base::instant now) const;
    double recent_pace(const candidate_entry& item, base::instant now) const;
    double prefill_us_per_token(const std::string& service) const;
    /// Returns whether recent load reports of other nodes are available.
    bool is_remote_load_known(base::instant now) const;
    candidate_entry with_remote_load(const pool_entry& entry, base::instant now) const;

    // Slowness and load of back ends, service_load.cc.
    /// Returns the back end's mean event interval over all nodes in microseconds, or 0 if unknown.
    static double mean_pace(const candidate_entry& item);
    /// Returns the median event interval of the entries, or 0 if none is known.
    static double typical_pace(const candidate_entries& entries);
    /// Returns the event interval relative to `typical` if above the tolerated slowness, else 1.
    double slowness_of(const candidate_entry& item, double typical, base::instant now) const;
    /// Returns the number of concurrent requests the back end can serve, in slots of a typical back
    /// end.
    double effective_slots(const candidate_entry& item, double typical, bool counts_cold,
                           base::instant now) const;
    /// Returns the in-flight requests of all nodes at the back end plus one, per slot.
    static double fullness(const candidate_entry& item);
    /// Returns the back ends of the service for which this node or others have data beyond the
    /// directory entry, or all back ends if cold ones must be distinguished.
    candidate_entries known_entries(std::string_view service, base::instant now) const;

    pool_options options_;
    base::random_source& random_;
    std::unique_ptr<choice_policy> policy_;
    const dispatch::shared_load* remote_load_ = nullptr;
    const places::zone_rules* zone_rules_ = nullptr;
    slowstart::cold_table* cold_ = nullptr;
    entry_map entries_;
    std::unordered_map<dispatch::backend_key, pool_entry*> by_key_;
    std::map<std::string, service_backends, std::less<>> services_;
    std::map<std::string, version_map, std::less<>> versions_;
    /// Entries with in-flight requests of this node or past responses.
    std::unordered_set<pool_entry*> used_;
    /// Ids that have left the list, with the time of departure.
    std::deque<std::pair<base::instant, std::string>> departed_;
    /// Request rate by service.
    std::map<std::string, request_rate, std::less<>> rates_;
    /// Mean time of recent requests at a back end, in seconds, by service.
    std::map<std::string, double, std::less<>> mean_service_times_;
    std::map<std::string, stream_work, std::less<>> streams_;
    round_trip_estimates round_trips_;
    std::uint64_t revision_ = 0;
    /// When this node received its first list.
    std::optional<base::instant> watched_since_;
};

}  // namespace pearbarrow::forward
