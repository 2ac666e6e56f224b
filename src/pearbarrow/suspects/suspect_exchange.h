/// Keeps the suspects of all nodes the same: tells every node of new ends, and fetches what is
/// known when a node starts.
///
/// Reports state all ends of a suspect that their sender knows, and receivers that know more reply
/// with it, so a node that has missed earlier reports learns of them with the next one. A node that
/// no report reaches does not block the request.
///
/// An edge that has just been lost may have had the first attempt of a request without a
/// reservation, of which nobody knows. If an edge does not confirm the first report of a suspect
/// and was reachable shortly before, or has just started, one more back end counts as one that may
/// have ended.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/directory_exchange.h"
#include "pearbarrow/directory/peer_multicast.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"
#include "pearbarrow/suspects/suspect_messages.h"
#include "pearbarrow/suspects/suspect_table.h"

namespace pearbarrow::suspects {

struct suspect_exchange_options {
    net::endpoint self;
    suspect_options table;
    base::milliseconds fetch_timeout{500};
    /// Delay before the next fetch, while the node waits for the first reply and later.
    base::milliseconds initial_fetch_retry{20};
    base::milliseconds fetch_retry{100};
    /// Time after the start from which on a node without a reply counts as current.
    base::milliseconds max_start_time{500};
    /// Number of peers that a node asks when it starts, and of replies after which it stops. A peer
    /// may have started just before.
    std::uint32_t max_fetches = 60;
    std::uint32_t wanted_fetches = 3;
    base::milliseconds expiry_interval{5'000};
    /// How long before the first report of a suspect the loss of a node may explain it.
    base::milliseconds lost_node_time{5'000};
    /// Whether the whole fleet starts for the first time, so that this process has no predecessor.
    bool is_first_start = false;
};

/// Is told what changes in the suspects of a node.
class suspect_observer {
  public:
    suspect_observer() = default;
    suspect_observer(const suspect_observer&) = delete;
    suspect_observer& operator=(const suspect_observer&) = delete;
    virtual ~suspect_observer() = default;
    /// Something may have become known of the request.
    virtual void on_changed(const std::string& digest) = 0;
    /// Suspects may have expired.
    virtual void on_expired() = 0;
};

class suspect_exchange {
  public:
    suspect_exchange(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                     directory::directory_exchange& peers, suspect_exchange_options options);
    suspect_exchange(const suspect_exchange&) = delete;
    suspect_exchange& operator=(const suspect_exchange&) = delete;

    /// `learned` runs when a request becomes a suspect on this node, for any reason.
    void on_new_suspect(std::function<void(const std::string& digest)> learned) {
        this->learned = std::move(learned);
    }
    /// Sets the observer; null for none.
    void set_observer(suspect_observer* observer) { this->observer = observer; }
    /// Adds what an earlier process of this node has stored. Call it before `start`.
    void restore(const std::vector<suspect>& stored);
    /// Starts to fetch what the peers know. Call it once the links between nodes are open.
    void start();
    const suspect_table& table() const { return this->known; }
    /// Whether the node knows what its peers knew when it started, or none that knows has replied.
    /// A node without peers and seeds is current.
    bool is_current() const;
    /// Adds ends that this node has observed. Returns the digests of requests that are now blocked.
    std::vector<std::string> add(const std::vector<suspect>& observed);
    /// Records that a suspect is about to be sent to a back end, and tells all nodes. `done` runs
    /// once, as that of `report`.
    void announce(const suspect& trial, std::function<void()> done);
    /// Excuses a request from one attempt that ended no back end, and tells all nodes if it
    /// counted.
    void conclude(const std::string& digest, const std::string& request,
                  const std::string& backend);
    /// Excuses a request from its attempts. Returns whether it was a suspect.
    bool excuse(const std::string& digest);
    /// Sends what is known of the requests to all nodes. `done` runs once, when they have confirmed
    /// or the time is up; with no peers, inside this call.
    void report(const std::vector<std::string>& digests, std::function<void()> done);

  private:
    void merge(std::string_view payload);
    /// Returns the suspects of a report of which this node knows further ends.
    std::string correction_of(std::string_view payload) const;
    /// Sends the report. `may_repeat`: it is sent again if it has to state a lost edge.
    void send_report(const std::vector<std::string>& digests, bool may_repeat,
                     std::function<void()> done);
    /// Keeps the times since when nodes do not confirm, or have lost what they knew by a restart.
    void update_lost_nodes(const directory::multicast_result& result);
    /// Adds the attempt that a lost edge may have had to those of the requests of which one
    /// attempt is known. Returns the requests.
    std::vector<std::string> add_unreachable_nodes(const std::vector<std::string>& digests);
    /// Returns an edge that was lost recently; port 0 if there is none.
    net::endpoint recently_lost_edge() const;
    /// Whether the node knows what happened before its start, or has run for long.
    bool has_records() const;
    /// Returns the peer to ask for records: a storage member once these are known.
    net::endpoint record_source() const;
    void fetch();
    std::vector<net::endpoint> storage_members() const;
    void notify_changed(const std::string& digest) const;
    /// Expires suspects as long as there are any.
    void schedule_expiry();

    net::event_loop& loop;
    net::peer_rpc& rpc;
    const base::clock& clock;
    directory::directory_exchange& peers;
    suspect_exchange_options options;
    suspect_table known;
    base::instant started_at;
    directory::peer_multicast multicast;
    std::unique_ptr<net::peer_call_handle> fetch_call;
    std::unique_ptr<net::timer_handle> fetch_timer;
    std::unique_ptr<net::timer_handle> expiry_timer;
    std::map<net::endpoint, base::instant> lost_since;
    std::function<void(const std::string& digest)> learned;
    suspect_observer* observer = nullptr;
    /// Whether the suspects of an earlier process have been added.
    bool is_restored = false;
    std::uint32_t fetches = 0;
    std::uint32_t fetched = 0;
    /// Tasks on the loop hold it weakly and do nothing once the exchange is gone.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace pearbarrow::suspects
