/// Exchanges the load reports of nodes between storage members of different replica groups.
///
/// A node reports its load with the messages of a turn, which only the members of the turn's group
/// receive, and reads the load totals from one of them. Each member therefore keeps a long poll
/// open at one member of each other group, in its own zone if possible. The reply is sent with the
/// next load report; the member polls again after a delay, so that several reports share a reply. A
/// member passes on only the reports that it received from nodes directly, so reports do not
/// circulate.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_table.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"
#include "pearbarrow/turns/turn_types.h"

namespace pearbarrow::turns {

struct load_report_exchange_options {
    base::node_id self;
    std::string zone;
    /// Identifies this process lifetime; random and never 0.
    std::uint64_t incarnation = 1;
    /// Delay between a reply and the next poll. It bounds the age that the exchange adds to a
    /// report.
    base::milliseconds poll_interval{100};
    /// Time after which a poll without new reports gets an empty reply.
    base::milliseconds long_poll_timeout{2'000};
    /// Time that a reply may take beyond `long_poll_timeout` before another member is polled.
    base::milliseconds reply_slack{500};
    /// Delay before the next poll after a failed one.
    base::milliseconds retry_interval{200};
};

class load_report_exchange {
  public:
    load_report_exchange(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                         dispatch::load_table& load_table, load_report_exchange_options options);
    ~load_report_exchange();
    load_report_exchange(const load_report_exchange&) = delete;
    load_report_exchange& operator=(const load_report_exchange&) = delete;

    /// Must be called with each view of the whole fleet.
    void set_view(const directory::storage_view& view);
    /// Number of other groups that currently reply to polls.
    std::size_t connected_groups() const;

  private:
    /// A poll of another member that waits for the next report.
    struct pending_poll {
        std::uint64_t after = 0;
        std::shared_ptr<net::peer_responder> responder;
        std::unique_ptr<net::timer_handle> timeout;
    };
    /// State of the polls of one other group.
    struct group_poll {
        /// Members of the group in order of preference; `current` is the index of the one being
        /// polled.
        std::vector<directory::storage_member> sources;
        std::size_t current = 0;
        /// Incarnation of the polled process, and the number of its newest report received here.
        std::uint64_t incarnation = 0;
        std::uint64_t through = 0;
        bool is_connected = false;
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> next_poll;
    };

    std::vector<directory::storage_member> sources_of(const directory::storage_view& view,
                                                      std::uint32_t group) const;
    void poll(std::uint32_t group);
    void schedule_poll(std::uint32_t group, base::milliseconds delay);
    void on_poll_reply(std::uint32_t group, const absl::StatusOr<std::string>& payload);
    void on_poll_request(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void reply_to(const pending_poll& poll);
    void reply_to_pending();

    net::event_loop& loop;
    net::peer_rpc& rpc;
    const base::clock& clock;
    dispatch::load_table& load_table;
    load_report_exchange_options options;
    std::map<std::uint32_t, group_poll> group_polls;
    std::list<pending_poll> pending_polls;
};

}  // namespace pearbarrow::turns
