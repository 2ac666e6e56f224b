/// Options of the back-end pool.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/forward/process_evidence.h"

namespace pearbarrow::forward {

/// Selection method for requests that state the number of their prompt tokens.
enum class choice_kind {
    /// Selects by requests per slot.
    load,
    /// Selects by expected completion time.
    cost,
};

struct pool_options {
    /// Name of this node. It seeds the order in which this node prefers back ends.
    std::string node;
    /// Zone of this node. Back ends in it are preferred over equally loaded ones in other zones.
    std::string zone;
    /// Region of each zone. If empty, all zones belong to one region.
    std::map<std::string, std::string, std::less<>> regions;
    choice_kind choice = choice_kind::load;
    /// Time after a request during which the connection to its back end is assumed to be open.
    base::milliseconds connection_lifetime{9'000};
    /// Time after the latest stream event during which the event interval of a back end is valid.
    base::milliseconds pace_lifetime{1'000};
    /// The preferred set of a node has as many back ends of a service as can each receive a request
    /// of this node per interval. Others are used once these are fuller. A connection that is
    /// opened for a single request costs its back end a handshake: 259 nodes with 153 back ends
    /// opened 36,046 connections for 95,581 requests without this rule, and 22,885 for 95,551 with
    /// it and `min_in_zone`.
    base::milliseconds reuse_interval{1'500};
    std::size_t min_preferred = 4;
    /// Minimum number of back ends in the local zone for which a program is placed there first.
    /// With fewer, the programs of a burst do not spread: a minimum of 4 lowers the served value
    /// (weighted share of requests served in time) by 0.046 +- 0.026. A minimum of 17 saves
    /// connections but raises the tokens read from 24.2 to 36.2 million: callers change zones.
    std::size_t min_in_zone = 8;
    /// Load added to back ends outside the preferred set, in requests. It approximates the cost of
    /// a handshake and of a cold prompt.
    double non_preferred_load = 1.0;
    /// Number of eligible back ends that are compared for a request without a key, in the order of
    /// this node. More are compared only while all of these are full.
    std::size_t compared = 128;
    /// Backoff after a back end was unreachable or rejected a request. It doubles with each
    /// consecutive failure up to the maximum.
    base::milliseconds min_backoff{100};
    base::milliseconds max_backoff{2'000};
    /// Backoff after another process responded at the address of the back end. It is longer than
    /// the directory service lists a process that has ended (three heartbeats of 1.2 s).
    base::milliseconds backoff_when_not_there{4'000};
    /// Number of failures that one silence, or one response of another process, counts as in the
    /// reports to other nodes. With thousands of back ends, each receives less than one request per
    /// second, and a second failure comes too late: with 985 nodes and 6,666 engines, five nodes
    /// sent retries of one program to the same dead engine six times. With `min_failures` and the
    /// half-life of the results, the weights exclude a back end for one and for two seconds.
    double silence_weight = 4;
    double not_there_weight = 8;
    /// Requests of this node at the preferred back end above which another one is selected while
    /// the load of other nodes is unknown.
    std::uint32_t affinity_bound = 4;
    /// While the load of other nodes is known, the preferred back end is selected up to this
    /// multiple of the mean load plus `affinity_slack` requests.
    double affinity_factor = 1.2;
    double affinity_slack = 3;
    /// If a back end is slower than the median by more than `tolerated_slowness`, its requests are
    /// weighted by its slowness, up to the maximum, so that it receives fewer requests but still
    /// some. A full batch is slower than an idle one by about the tolerated factor, and its load is
    /// counted already.
    double tolerated_slowness = 2;
    double max_slowness = 10;
    /// A back end is excluded while another one is eligible if a request has waited for the
    /// response head for this long and for `silence_factor` times the mean response time.
    base::milliseconds min_silence{700};
    double silence_factor = 4;
    /// Minimum patience with an attempt, as a multiple of the objective of the request.
    double objective_factor = 2;
    /// A back end is excluded while another one is eligible if this share of its recent requests
    /// from all nodes, and at least this number, have failed. One request in `trial_interval` still
    /// goes to it.
    double failing_share = 0.25;
    double min_failures = 2;
    std::uint32_t trial_interval = 20;
    /// Weight of failures from which on `choice_request::avoids_failures` applies. With it, one
    /// failure counts for 2.3 s: the list shows a replaced process after a heartbeat of 1.2 s and a
    /// watch of up to 1 s.
    double recent_failures = 0.2;
    /// Back ends that vanish from the list together remain in use for this long. After an outage,
    /// the directory service drops the entries of live back ends and restores them within about two
    /// seconds. The value is below the minimum time for which a draining back end continues to
    /// serve.
    base::milliseconds lapse_grace{1'800};
    /// Share of the back ends of a service that must vanish within `lapse_grace` to count as a
    /// lapse of the directory service.
    double lapse_share = 1.0 / 3;
    evidence_options evidence = {};
    /// Time for which a version without back ends is remembered. It is longer than the timeouts of
    /// routes.
    base::milliseconds version_memory{60'000};
    /// Minimum number of vanished back ends for a lapse.
    std::size_t min_lapsed = 2;
};

}  // namespace pearbarrow::forward
