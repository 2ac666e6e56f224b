/// Holds requests back while the back ends of their service are full, and decides who goes next.
///
/// Every node lets in a share of what the back ends take at once: as much as its own demand is of
/// the demand of all nodes, told by the load reports that ride on the messages of turns. While
/// nothing is known of the others, everything is let in at once: nobody waits for a silent peer.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/dispatch/load_report.h"
#include "pearbarrow/dispatch/shared_load.h"
#include "pearbarrow/dispatch/waiting_line.h"
#include "pearbarrow/forward/backend_pool.h"
#include "pearbarrow/net/event_loop.h"

namespace pearbarrow::forward {

struct admission_options {
    base::node_id node;
    /// Drawn at the node's start; not 0.
    std::uint64_t life = 1;
    /// Longest time that a request is held back. Callers give up a stream that has not begun after
    /// two seconds or more, and the request still has to run.
    base::milliseconds longest_wait{1'500};
    /// Between two looks while requests wait: about as often as totals come.
    base::milliseconds look_interval{20};
    /// Part of a mean turn's time that counts as the least a turn needs.
    double least_share_of_turn = 0.7;
    /// False: every request goes at once, and only its back end is chosen by the load of all nodes.
    bool hold_back = true;
    /// False: this node neither tells its load nor hears of the others'.
    bool share_load = true;
};

class admission final : public dispatch::load_exchange {
  public:
    /// A request's place in the line. Destroying it leaves the line.
    class ticket {
      public:
        virtual ~ticket() = default;
    };

    admission(net::event_loop& loop, const base::clock& clock, backend_pool& pool,
              admission_options options);
    ~admission() override;
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;

    /// Runs `on_turn` at once, and gives null, or later, once it is the request's turn.
    [[nodiscard]] std::unique_ptr<ticket> enter(const std::string& service,
                                                const dispatch::urgency& order,
                                                base::milliseconds time_left,
                                                std::function<void()> on_turn);
    /// A request of the service has ended; `took`: a whole answer's time, 0 when it had none.
    void note_ended(const std::string& service, base::microseconds took);
    std::size_t waiting_count() const;
    const dispatch::shared_load& elsewhere() const { return this->others; }

    dispatch::load_report report(bool wants_totals) override;
    bool is_waiting() const override { return this->waiting_count() > 0; }
    void take(const dispatch::load_totals& totals) override;

  private:
    class line_ticket;

    struct service_line {
        dispatch::waiting_line line;
        /// Mean time of whole answers. Microseconds; 0: none yet.
        double mean_time = 0;
    };

    bool has_room(const std::string& service, service_line& waiting);
    base::microseconds least_work(const service_line& waiting) const;
    void serve_later();
    void serve_all();
    void serve(const std::string& service, service_line& waiting);

    net::event_loop& loop;
    const base::clock& clock;
    backend_pool& pool;
    admission_options options;
    dispatch::shared_load others;
    std::map<std::string, service_line> lines;
    std::uint64_t last_report = 0;
    std::unique_ptr<net::timer_handle> next_look;
    bool look_is_posted = false;
    /// Ends posted looks that come after this object.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace pearbarrow::forward
