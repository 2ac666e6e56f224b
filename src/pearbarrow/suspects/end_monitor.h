/// Finds out, on an edge, whether a back end has ended under its requests, and reports it.
///
/// A broken connection is no proof of an end: back ends break responses off, reset connections and
/// are cut off while they go on. Nor is silence. Each attempt that broke off without a sign of life
/// is therefore reported as one under which the back end may have ended, before the failed response
/// goes to the caller, and examined (`end_inquiry`). It is excused once the back end has shown that
/// it goes on.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/ended_objects.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/suspects/end_inquiry.h"
#include "pearbarrow/suspects/identity_source.h"
#include "pearbarrow/suspects/request_fingerprint.h"
#include "pearbarrow/suspects/suspect_exchange.h"

namespace pearbarrow::suspects {

struct end_monitor_options {
    std::string node;
    inquiry_options inquiry;
    /// How long after an attempt broke off another process at the address proves an end.
    base::milliseconds late_evidence_time{12'000};
    /// The same for an attempt that left no doubt.
    base::milliseconds watch_time{5'000};
    /// How long an end is remembered for further attempts that it broke.
    base::milliseconds end_memory{10'000};
    /// Returns a listed back end by its id. May be empty.
    std::function<std::optional<directory::backend>(const std::string& id)> find_backend;
    /// Limit for the attempts that wait for proof, and for inquiries.
    std::size_t max_unresolved = 1'024;
};

/// An attempt at a back end.
struct backend_attempt {
    directory::backend target;
    request_fingerprint fingerprint;
    std::string request;
    std::string tenant;
    std::string route;
    base::instant sent_at{};
    /// Whether storage members have recorded the attempt before it was sent.
    bool is_reserved = false;
    /// Runs when the back end of an attempt in doubt has shown that it goes on. May be empty.
    std::function<void()> on_went_on = nullptr;
};

/// An examination in progress. Destroying it prevents the callback; the examination continues.
class examination {
  public:
    virtual ~examination() = default;
};

class end_monitor {
  public:
    end_monitor(net::event_loop& loop, const base::clock& clock, base::metrics_registry& metrics,
                suspect_exchange& exchange, identity_source& identities,
                end_monitor_options options);
    ~end_monitor();
    end_monitor(const end_monitor&) = delete;
    end_monitor& operator=(const end_monitor&) = delete;

    /// Announces that a suspect is about to be sent to a back end. `done` runs once, never inside
    /// this call, when all nodes know.
    [[nodiscard]] std::unique_ptr<examination> announce(const backend_attempt& attempt,
                                                        std::function<void()> done);
    /// Examines whether the back end has ended under an attempt that broke off or failed. `done`
    /// runs once, never inside this call: when all nodes know of the end or that it is possible, or
    /// when the back end has shown that it goes on. An attempt that leaves no doubt counts only if
    /// its back end is found to have ended soon, by this or by another attempt.
    [[nodiscard]] std::unique_ptr<examination> examine(backend_attempt attempt, break_kind kind,
                                                       std::function<void()> done);
    /// Adds attempts that storage members have recorded and of which their nodes may not have told.
    /// Nobody else is told, since every edge that prepares the request learns of them.
    void add_recorded(const suspect& recorded);
    /// The attempt ended without a doubt about its back end. `backend`: empty if it is not known.
    void conclude(const request_fingerprint& fingerprint, const std::string& request,
                  const std::string& backend);
    /// Another process responded at the address of the back end.
    void on_replaced(const directory::backend_incarnation& incarnation);
    /// Applies changes of the list of back ends, which may show later incarnations.
    void apply(const directory::backend_changes& changes);
    /// The request was completed, so it does not end its back ends.
    void on_completed(const request_fingerprint& fingerprint);

    /// Whether all nodes know of all attempts in doubt. A node that stops waits for it.
    bool has_reported_all() const;

    const suspect_table& table() const { return this->exchange.table(); }

  private:
    /// Start times distinguish the incarnations of one id.
    using incarnation_key = std::pair<std::string, std::uint64_t>;
    using inquiry_key = std::pair<incarnation_key, break_kind>;

    struct waiting_attempt {
        backend_attempt attempt;
        break_kind kind = break_kind::connection_lost;
        base::instant broken_at{};
        /// Shared with the handle, which clears it.
        std::shared_ptr<std::function<void()>> done;
        /// Whether the possible end has been reported.
        bool is_reported = false;
    };
    struct known_end {
        end_evidence evidence;
        base::instant at;
    };

    static incarnation_key key_of(const directory::backend& target) {
        return {target.id, target.started_at};
    }
    /// Starts an inquiry for a waiting attempt, or lets it join one.
    void examine_waiting(const waiting_attempt& added);
    void start_inquiry(const waiting_attempt& first);
    /// Examines the attempts of an earlier process of this node, of which nobody knows the result.
    void examine_predecessor(const std::string& digest);
    /// Earlier attempts of the request left no doubt, and now do, since it is a suspect.
    void doubt_earlier_attempts(const std::string& digest);
    void on_verdict(const inquiry_key& key, inquiry_verdict verdict);
    /// Removes the waiting attempts of the incarnation, of one kind if it is given.
    std::vector<waiting_attempt> take_waiting(const incarnation_key& key,
                                              std::optional<break_kind> kind);
    /// Reports the end for the attempts, and then runs their callbacks.
    void report_end(std::vector<waiting_attempt> ended, end_evidence evidence);
    /// Reports that the back end may have ended under the attempts, and then runs their callbacks.
    void report_doubt(const inquiry_key& key);
    void report_going_on(const inquiry_key& key);
    /// Examines a back end that no longer responds as a silent one.
    void examine_silence(const inquiry_key& key);
    /// Examines a back end on that was silent and has responded to the question.
    void watch_responding(waiting_attempt attempt);
    void report(const std::vector<waiting_attempt>& attempts, end_evidence evidence);
    void resolve(const incarnation_key& key, end_evidence evidence);
    void remove_ended_inquiries();
    void forget_expired();
    suspect suspect_of(const waiting_attempt& attempt, end_evidence evidence) const;
    void log_attempt(const char* event, const waiting_attempt& attempt,
                     std::string_view evidence) const;
    void log_blocked(const std::string& digest) const;
    void count_inquiry(const char* result) const;

    net::event_loop& loop;
    const base::clock& clock;
    base::metrics_registry& metrics;
    suspect_exchange& exchange;
    identity_source& identities;
    end_monitor_options options;
    base::instant started_at;
    std::map<inquiry_key, std::unique_ptr<end_inquiry>> inquiries;
    net::ended_objects<std::unique_ptr<end_inquiry>> ended_inquiries;
    std::map<incarnation_key, known_end> ends;
    /// Attempts that wait for a verdict, or for proof after one, by the time at which they broke.
    std::list<waiting_attempt> waiting;
    std::size_t open_reports = 0;
    /// Tasks on the loop hold it weakly and do nothing once the monitor is gone.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace pearbarrow::suspects
