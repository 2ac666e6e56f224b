/// Gathers the load reports of all nodes, and adds them up.
///
/// A pure state machine without a disk: what it has forgotten, the next reports bring again.
#pragma once

#include <map>

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

    /// An older report of the same life changes nothing.
    void take(const load_report& report, base::instant now);
    load_totals totals_without(const base::node_id& node, base::instant now);
    std::size_t node_count() const { return this->reports.size(); }

  private:
    struct kept_report {
        load_report report;
        base::instant taken_at;
    };

    void forget_old(base::instant now);

    board_options options;
    base::instant began;
    std::map<base::node_id, kept_report> reports;
};

}  // namespace pearbarrow::dispatch
