/// Collects the load reports of all nodes and adds them up.
///
/// A pure state machine without storage: reports that are lost are replaced by the next ones.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/dispatch/load_report.h"

namespace pearbarrow::dispatch {

struct load_table_options {
    /// Time for which a report is valid. A node with requests in flight reports at the start and
    /// end of each turn. A turn takes one or two seconds at most, and the requests of a failed node
    /// are aborted.
    base::milliseconds report_lifetime{2'000};
};

class load_table {
  public:
    load_table(load_table_options options, base::instant now) : options(options), started_at(now) {}

    /// Applies a report that the node itself sent. An older report of the same incarnation is
    /// ignored.
    void apply_report(const load_report& report, base::instant now);
    /// Applies a report that another load table forwarded. It is not forwarded again.
    void apply_forwarded_report(const load_report& report, base::instant now);
    /// Sets a callback that runs after each new report that the node itself sent.
    void on_report(std::function<void()> callback) { this->report_handler = std::move(callback); }
    /// Number of the latest report received from a node itself; 0: none.
    std::uint64_t last_report() const { return this->last_report_number; }
    /// Returns the reports received from nodes themselves after report `number`, the newest of each
    /// node.
    std::vector<load_report> reports_after(std::uint64_t number) const;
    load_totals totals_excluding(const base::node_id& node, base::instant now);
    std::size_t node_count() const { return this->reports.size(); }

  private:
    struct stored_report {
        load_report report;
        base::instant received_at;
        /// Increases with each report received from a node itself; 0: the report was forwarded.
        std::uint64_t number = 0;
    };

    bool store(const load_report& report, base::instant now, std::uint64_t number);
    void remove_expired(base::instant now);

    load_table_options options;
    base::instant started_at;
    std::map<base::node_id, stored_report> reports;
    std::uint64_t last_report_number = 0;
    std::function<void()> report_handler;
};

}  // namespace pearbarrow::dispatch
