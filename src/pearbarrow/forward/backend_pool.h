/// The back ends as one forwarding node sees them, and the choice among them.
///
/// A pure state machine: time and random numbers are given. What this node has sent and what has
/// ended is known at once; the load that other nodes bring shows only by refusals and delays.
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
#include "pearbarrow/forward/program_gate.h"
#include "pearbarrow/forward/reading_pace.h"
#include "pearbarrow/forward/request_rate.h"
#include "pearbarrow/forward/service_backends.h"
#include "pearbarrow/forward/way_times.h"
#include "pearbarrow/places/place_rules.h"
#include "pearbarrow/slowstart/cold_table.h"

namespace pearbarrow::forward {

/// How an attempt at a back end ended, as far as the choice of the next one goes.
enum class attempt_result {
    served,
    /// It turned the request away without running it.
    refused,
    /// No connection came up.
    unreachable,
    /// The connection broke, the answer was malformed, or nothing came in time.
    broken,
    /// It answered with an error of its own.
    failed,
    /// Nobody waits for the answer any longer.
    abandoned,
    /// The same, after it had been silent for so long that it would be passed over.
    silent,
    /// Another process answers at its address.
    not_there,
};

std::string_view to_string(attempt_result result);

/// How a back end is chosen for a request whose prompt's tokens are told.
enum class choice_kind {
    /// By requests for each place.
    load,
    /// By expected time.
    cost,
};

struct pool_options {
    /// This node's name: each node has its own order of the back ends.
    std::string node;
    /// Zone of this node; a back end in it goes before an equal one elsewhere.
    std::string zone;
    /// Region by zone; empty: all zones are in one.
    std::map<std::string, std::string, std::less<>> regions;
    choice_kind choice = choice_kind::load;
    /// A connection is believed to be open for so long after a request at the back end.
    base::milliseconds connection_kept{9'000};
    /// A back end's pace counts for so long after the latest event of a stream from it.
    base::milliseconds pace_lifetime{1'000};
    /// A node works with as many back ends of a service as make it send one of them a request every
    /// so often, and with others once those are fuller: a connection that is opened for a single
    /// request costs its back end the handshake. 259 nodes opened 36,046 connections to 153 back
    /// ends for 95,581 requests before, 22,885 for 95,551 with this and `least_in_zone` (one day).
    base::milliseconds reuse_interval{1'500};
    std::size_t least_near = 4;
    /// A program's back end is looked for in the own zone first where that has so many: among
    /// fewer, programs of a burst don't spread. With 4 in a zone worth fell by 0.046 +- 0.026
    /// (three days, three seeds). With 17 it saves connections and pays in prompts: 36.2 million
    /// tokens were read where 24.2 had been, since callers change zones (one day).
    std::size_t least_in_zone = 8;
    /// Load that a back end beyond those is charged, in requests: about what a handshake's time and
    /// a cold prompt are worth.
    double beyond_load = 1.0;
    /// So many fit back ends are weighed for a request without a key, in the node's own order; more
    /// only while all of these are full.
    std::size_t weighed = 128;
    /// A back end that could not be reached, or refused, rests this long; doubled each time in a
    /// row up to the most.
    base::milliseconds least_rest{100};
    base::milliseconds most_rest{2'000};
    /// The same after another process has answered at its address: longer than the outside service
    /// lists a process that has ended (three heartbeats of 1.2 s).
    base::milliseconds rest_when_not_there{4'000};
    /// As how many failures a silence, and another process's answer, are told to other nodes. Among
    /// thousands of back ends each gets less than a request a second, and nobody would see a second
    /// failure in time: the tries of one program went to the engine that had died with its first
    /// turn six times, by five nodes (985 nodes, 6,666 engines). By `least_failures` and their
    /// half-life they count for one second and for two.
    double silence_weight = 4;
    double not_there_weight = 8;
    /// Requests of this node at the preferred back end above which another one is taken, while the
    /// load of other nodes is not known.
    std::uint32_t affinity_bound = 4;
    /// While it is known: the preferred back end is taken up to this many times the mean load of
    /// all, and `affinity_slack` requests more.
    double affinity_factor = 1.2;
    double affinity_slack = 3;
    /// The requests of a back end that is slower than the middle one by more than the first count
    /// for as much more as it is slower, up to the second: it gets less, not none. A full batch is
    /// slower than an idle one by about the first, and its load is counted already.
    double tolerated_slowness = 2;
    double most_slowness = 10;
    /// A back end that has left a request without the head of an answer for this long, and for
    /// `silence_factor` times its mean answer, is passed over while another one is fit.
    base::milliseconds least_silence{700};
    double silence_factor = 4;
    /// The least patience with an attempt, in times of the request's objective.
    double objective_factor = 2;
    /// A back end of which this share of the latest requests of all nodes has failed, and so many,
    /// is passed over while another one is fit; one request in `trial_interval` tries it all the
    /// same.
    double failing_share = 0.25;
    double least_failures = 2;
    std::uint32_t trial_interval = 20;
    /// Back ends that vanish from the list together are used for this long all the same: the
    /// outside service drops the entries of living ones when it has been away, and has them back
    /// within about two seconds. Below the least time that a leaving one goes on serving.
    base::milliseconds lapse_grace{1'800};
    /// Share of a service's back ends that vanish within `lapse_grace` from which it is a lapse.
    double lapse_share = 1.0 / 3;
    /// Fewer than these are no lapse, whatever their share.
    std::size_t least_lapsed = 2;
};

struct choice_request {
    std::string service;
    /// Requests of the same key go to the same back end while it isn't overloaded; empty: any.
    std::string affinity_key;
    /// Back ends that this request was sent to already. By id: one that started again just after
    /// the request broke there is the least likely to serve it in time.
    std::set<std::string> excluded;
    /// Where it may go.
    places::place_request place;
    /// Cold back ends that gave it no permit. Unless this is empty, a cold one is taken only when
    /// no other is fit.
    std::set<std::string> without_permit;
    /// Tokens of the prompt; 0: not told.
    std::uint64_t prompt_tokens = 0;
    /// The first request of its key.
    bool begins = false;
    /// The back end that ran the key's earlier request; 0: not told.
    dispatch::backend_key earlier = 0;
};

/// A prompt on its way, as counted at the choice.
struct prompt_ticket {
    /// Believed to be read for it, and before it.
    double to_read = 0;
    double before = 0;
    bool is_open = false;
};

struct choice {
    directory::backend target;
    /// For logs: requests of this node at the target, and how many back ends were fit.
    std::uint32_t in_flight = 0;
    /// Requests of other nodes there; 0 when they are not known.
    std::uint32_t elsewhere = 0;
    bool elsewhere_known = false;
    choice_reason reason = choice_reason::least_load;
    std::size_t candidates = 0;
    /// Of these, the ones that this node works with first.
    std::size_t near = 0;
    /// What a permit is asked for before anything is sent; absent: none is needed.
    std::optional<slowstart::cold_start> cold;
    choice_cost cost;
    prompt_ticket prompt;
};

class backend_pool {
  public:
    backend_pool(pool_options options, base::random_source& random);

    /// Where the load of other nodes is looked up; it outlives the pool.
    void set_shared_load(const dispatch::shared_load& load) { elsewhere_ = &load; }

    /// Who says where a request may go; it outlives the pool. Before: anywhere.
    void set_places(const places::place_rules& rules) { places_ = &rules; }
    /// Where it is looked up which back ends are cold; it outlives the pool.
    void set_cold_table(slowstart::cold_table& table) { cold_ = &table; }

    /// Takes what has changed in the list of back ends.
    void apply(const directory::backend_changes& step, base::instant now);
    /// The same from a whole list.
    void set_backends(const directory::backend_list& list, base::instant now);

    /// The back end to send to, counted as sent; none when no back end is fit.
    std::optional<choice> choose(const choice_request& request, base::instant now);
    /// Nothing was sent for the choice made at `began`: it is as if it had not been made.
    void withdraw(choice& chosen, base::instant began, base::instant now);
    /// The head of an answer has come for an attempt that began at `began`.
    void answered(const directory::backend_run& run, base::instant began);
    /// Whether an attempt without the head of an answer for so long makes the back end one to be
    /// passed over.
    bool is_long_silence(const directory::backend_run& run, base::microseconds silence) const;
    /// An attempt at the back end has ended; call `answered` before. `took` counts for answers
    /// only.
    void ended(const directory::backend_run& run, attempt_result result, base::microseconds took,
               base::instant now);
    /// An answered request was at the back end for this long, from its sending to its end.
    void note_stay(const directory::backend_run& run, base::microseconds stay);
    /// An event of a stream has come, `gap` after the one before.
    void note_event(const directory::backend_run& run, base::microseconds gap, base::instant now);
    /// The first event has come: the back end has read the prompt of this choice.
    void prompt_read(choice& chosen, base::microseconds took, base::instant now);
    /// No first event will come.
    void prompt_dropped(choice& chosen);
    /// A connection to the back end has come up.
    void note_connection(const directory::backend_run& run, base::microseconds took,
                         base::instant now);
    /// How long an attempt at the back end may stay without the head of an answer before another
    /// one is worth trying, for a request that may run again.
    base::microseconds patience(const directory::backend_run& run,
                                base::microseconds objective) const;
    /// The service's back ends together, as far as they take requests.
    service_load load_of(std::string_view service, base::instant now) const;
    std::size_t backend_count(std::string_view service) const;
    /// Why the service's back ends may not be used for the request; `permitted` when one may, or
    /// there is none.
    places::place_verdict closed_by(std::string_view service,
                                    const places::place_request& request) const;
    /// This node's requests in zones that are emptied.
    std::uint32_t requests_in_emptied() const;
    /// This node's requests at each back end that has any, and what has failed of late.
    std::vector<dispatch::backend_load> own_loads(base::instant now) const;
    /// Back ends that are passed over since their requests fail.
    std::size_t failing_count(base::instant now) const;
    /// Back ends that are used although they have vanished from the list.
    std::size_t lapsed_count(base::instant now) const;
    std::uint64_t revision() const { return revision_; }

  private:
    using entry_map = std::map<std::string, pool_entry>;

    /// A back end that a choice weighs, with what other nodes have told of it.
    struct weighed_entry {
        const pool_entry* one;
        dispatch::backend_load others;
        /// Among those that this node works with first.
        bool is_near = true;
        /// As `choice_candidate::is_reused`.
        bool is_reused = false;
    };
    using weighed_entries = std::vector<weighed_entry>;

    /// What is known of a service's streams.
    struct stream_work {
        reading_pace pace;
        /// Of the latest few hundred answers.
        double events = 0;
        double answers = 0;

        double events_per_answer() const { return answers > 0 ? events / answers : 0; }
    };

    /// The entry of this run of a back end; end when there is none, or it is that of another run.
    entry_map::iterator find(const directory::backend_run& run);
    base::microseconds longest_silence(const pool_entry& one) const;
    /// Notes a result for this node and, by its reports, for the others.
    void note_result(pool_entry& one, attempt_result result, base::instant now) const;
    base::milliseconds rest_after(const pool_entry& one, attempt_result result) const;
    void take_present(const directory::backend& backend);
    void take_gone(const std::string& id, base::instant now);
    void erase(entry_map::iterator at);
    /// Forgets back ends that have left a while ago.
    void forget_departed(base::instant now);
    service_backends& service_of(const std::string& name);

    // Which back ends a request is weighed among, pool_candidates.cc.
    /// Sorts the back ends that a choice looks at by what speaks against them.
    class candidate_sieve;
    /// `near`: how many of the own order make up the back ends that this node works with first.
    weighed_entries candidates(const choice_request& request, std::size_t near,
                               base::instant now) const;
    static void look_from_point(const service_backends& service, std::uint64_t point,
                                candidate_sieve& sieve);
    void look_at_earlier(const choice_request& request, candidate_sieve& sieve) const;
    void look_at_connected(const choice_request& request, const service_backends& service,
                           candidate_sieve& sieve) const;
    bool has_many(const service_backends& service) const;
    /// Whether an open connection to the back end is believed to be free.
    bool is_connected(const pool_entry& one, base::instant now) const;
    void look_in_own_order(const service_backends& service, std::size_t near,
                           candidate_sieve& sieve) const;
    places::place_verdict judge(std::string_view zone, const places::place_request& request) const;
    bool is_in_emptied(std::string_view zone) const;
    bool is_cold(const pool_entry& one, base::instant now) const;
    /// Marks the back ends that this node works with first: those of its own zone before others,
    /// in an order that differs from node to node, so that together they use all of them evenly.
    void mark_near(weighed_entries& fit, std::size_t count) const;
    std::size_t near_count(const std::string& service, base::instant now);
    /// Whether so many of the service's back ends have just vanished that it is no proof that they
    /// have gone.
    bool has_lapsed(const service_backends& service, base::instant now) const;
    /// Whether the back end left the list a short while ago without saying that it would.
    bool has_just_vanished(const pool_entry& one, base::instant now) const;
    bool is_resting(const pool_entry& one, base::instant now) const;
    bool is_failing(const weighed_entry& item, base::instant now) const;

    std::vector<choice_candidate> with_load(const weighed_entries& fit, base::instant now) const;
    // The choice by cost, prompt_work.cc.
    void add_work(std::vector<choice_candidate>& loaded, const weighed_entries& fit,
                  const choice_request& request, base::instant now) const;
    /// Recent mean time of one event there, drawn to the typical one the fewer requests speak for
    /// it. Microseconds; 0: not known.
    double event_time(const weighed_entry& item, double typical, base::instant now) const;
    double recent_pace(const weighed_entry& item, base::instant now) const;
    double read_us(const std::string& service) const;
    /// Whether the load of other nodes has been told of late.
    bool knows_others(base::instant now) const;
    weighed_entry with_others(const pool_entry& one, base::instant now) const;

    // How slow and how full back ends are, service_load.cc.
    /// Mean pace of the back end over all nodes. Microseconds; 0: not known.
    static double pace_of(const weighed_entry& item);
    /// The middle pace of some back ends; 0: none is known.
    static double typical_pace(const weighed_entries& entries);
    /// How often the typical pace the back end takes, where that is more than tolerated; else 1.
    double slowness_of(const weighed_entry& item, double typical, base::instant now) const;
    /// Requests that the back end works on at once, in those of a usual one.
    double places_of(const weighed_entry& item, double typical, bool counts_cold,
                     base::instant now) const;
    /// Requests at the back end, of this node and all others, with one more, for each place.
    static double fullness(const weighed_entry& item);
    /// Back ends of the service of which this node or others know more than their entries; all,
    /// where cold ones are to be told apart.
    weighed_entries known_of(std::string_view service, base::instant now) const;

    pool_options options_;
    base::random_source& random_;
    std::unique_ptr<choice_policy> policy_;
    const dispatch::shared_load* elsewhere_ = nullptr;
    const places::place_rules* places_ = nullptr;
    slowstart::cold_table* cold_ = nullptr;
    entry_map entries_;
    std::unordered_map<dispatch::backend_key, pool_entry*> by_key_;
    std::map<std::string, service_backends, std::less<>> services_;
    /// Those that have requests of this node, or have answered some.
    std::unordered_set<pool_entry*> used_;
    /// Ids that have left the list, by when.
    std::deque<std::pair<base::instant, std::string>> departed_;
    /// By service.
    std::map<std::string, request_rate, std::less<>> rates_;
    /// By service: mean time of recent requests at a back end. Seconds.
    std::map<std::string, double, std::less<>> stays_;
    std::map<std::string, stream_work, std::less<>> streams_;
    way_times ways_;
    std::uint64_t revision_ = 0;
};

}  // namespace pearbarrow::forward
