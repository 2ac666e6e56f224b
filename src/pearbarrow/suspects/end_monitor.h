/// Finds out, on an edge, whether a back end has ended under its requests, and reports it.
///
/// A broken connection is no proof of an end: back ends break responses off, reset connections and
/// are cut off while they go on. After the connection of an attempt is lost, the monitor probes the
/// address once for all attempts at the back end. A refused connection proves the end. If the
/// connection is accepted or there is no reply, the end counts only if another process is found
/// there soon: a request is rejected with 421, or the directory lists a later incarnation.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/connect_probe.h"
#include "pearbarrow/net/ended_objects.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/suspects/request_fingerprint.h"
#include "pearbarrow/suspects/suspect_exchange.h"

namespace pearbarrow::suspects {

struct end_monitor_options {
    std::string node;
    /// Time for the machine of the back end to accept or refuse a connection.
    base::milliseconds probe_timeout{60};
    /// How long after a lost connection another process at the address proves an end.
    base::milliseconds late_evidence_time{5'000};
    /// How long an end is remembered for further attempts that it broke.
    base::milliseconds end_memory{10'000};
    /// Limit for the attempts that wait for late evidence.
    std::size_t max_unresolved = 1'024;
};

/// An attempt whose connection was lost after the request was sent.
struct broken_attempt {
    directory::backend target;
    request_fingerprint fingerprint;
    std::string request;
    std::string tenant;
    std::string route;
};

/// An examination in progress. Destroying it prevents the callback; the examination continues.
class examination {
  public:
    virtual ~examination() = default;
};

class end_monitor {
  public:
    end_monitor(net::event_loop& loop, const base::clock& clock, base::metrics_registry& metrics,
                suspect_exchange& exchange, end_monitor_options options);
    ~end_monitor();
    end_monitor(const end_monitor&) = delete;
    end_monitor& operator=(const end_monitor&) = delete;

    /// Examines whether the back end has ended. `done` runs once, never inside this call: when all
    /// nodes know of the end, or when it cannot be shown now.
    [[nodiscard]] std::unique_ptr<examination> examine(broken_attempt attempt,
                                                       std::function<void()> done);
    /// Another process responded at the address of the back end.
    void on_replaced(const directory::backend_incarnation& incarnation);
    /// Applies changes of the list of back ends, which may show later incarnations.
    void apply(const directory::backend_changes& changes);
    /// A suspect is sent to the back end.
    void on_trial(const request_fingerprint& fingerprint, const std::string& backend) {
        this->exchange.set_trial(fingerprint.digest, backend);
    }
    /// The request was completed, so it does not end its back ends.
    void on_completed(const request_fingerprint& fingerprint);

    const suspect_table& table() const { return this->exchange.table(); }

  private:
    /// Start times distinguish the incarnations of one id.
    using incarnation_key = std::pair<std::string, std::uint64_t>;

    struct waiting_attempt {
        broken_attempt attempt;
        /// Shared with the handle, which clears it.
        std::shared_ptr<std::function<void()>> done;
    };
    struct open_probe {
        std::unique_ptr<net::connect_probe> probe;
        base::instant started_at;
        std::vector<waiting_attempt> waiting;
    };
    struct unresolved_attempt {
        broken_attempt attempt;
        base::instant broken_at;
    };
    struct known_end {
        end_evidence evidence;
        base::instant at;
    };

    void on_probed(const incarnation_key& key, net::probe_result result);
    /// Reports the end for the attempts, and then runs their callbacks.
    void report_end(const std::vector<waiting_attempt>& ended, end_evidence evidence);
    void resolve(const incarnation_key& key, end_evidence evidence);
    void keep_unresolved(broken_attempt attempt);
    void forget_expired();
    void log_blocked(const std::string& digest) const;
    void count_examination(const char* result) const;

    net::event_loop& loop;
    const base::clock& clock;
    base::metrics_registry& metrics;
    suspect_exchange& exchange;
    end_monitor_options options;
    std::map<incarnation_key, open_probe> probes;
    net::ended_objects<std::unique_ptr<net::connect_probe>> ended_probes;
    std::map<incarnation_key, known_end> ends;
    std::deque<unresolved_attempt> unresolved;
};

}  // namespace pearbarrow::suspects
