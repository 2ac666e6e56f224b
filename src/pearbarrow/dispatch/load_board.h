/// Gathers the load reports of all nodes, and adds them up.
///
/// A pure state machine without a disk: what it has forgotten, the next reports bring again.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/dispatch/load_report.h"

namespace pearbarrow::dispatch {

struct board_options {
    /// A report counts for this long. A node with anything under way reports at each turn's begin
    /// and end; a turn takes a second or two at most, a node that died has its requests cut.
    base::milliseconds report_lifetime{2'000};
};

class load_board {
  public:
    load_board(board_options options, base::instant now) : options(options), began(now) {}

    /// From the node itself. An older report of the same life changes nothing.
    void take(const load_report& report, base::instant now);
    /// The same by way of another board: never passed on from here.
    void take_passed_on(const load_report& report, base::instant now);
    /// Runs after each report that came from the node itself and was news.
    void on_report(std::function<void()> callback) { this->report_handler = std::move(callback); }
    /// Number of the latest report that came from a node itself; 0: none.
    std::uint64_t last_report() const { return this->last_number; }
    /// The nodes' own reports since a number, the newest of each node.
    std::vector<load_report> reports_after(std::uint64_t number) const;
    load_totals totals_without(const base::node_id& node, base::instant now);
    std::size_t node_count() const { return this->reports.size(); }

  private:
    struct kept_report {
        load_report report;
        base::instant taken_at;
        /// Grows with each report that came from the node itself; 0: it was passed on.
        std::uint64_t number = 0;
    };

    bool keep(const load_report& report, base::instant now, std::uint64_t number);
    void forget_old(base::instant now);

    board_options options;
    base::instant began;
    std::map<base::node_id, kept_report> reports;
    std::uint64_t last_number = 0;
    std::function<void()> report_handler;
};

}  // namespace pearbarrow::dispatch
