#include "pearbarrow/dispatch/load_table.h"

#include <algorithm>
#include <limits>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::dispatch {

namespace {

/// Mean of the event intervals that two nodes observed at one back end, weighted by their requests
/// there.
std::uint32_t mean_event_interval(const backend_load& left, const backend_load& right) {
    if (left.event_interval_us == 0 || right.event_interval_us == 0) {
        return std::max(left.event_interval_us, right.event_interval_us);
    }
    const std::uint64_t requests = std::uint64_t{left.requests} + right.requests;
    if (requests == 0) {
        return (left.event_interval_us + right.event_interval_us) / 2;
    }
    return static_cast<std::uint32_t>((std::uint64_t{left.event_interval_us} * left.requests +
                                       std::uint64_t{right.event_interval_us} * right.requests) /
                                      requests);
}

}  // namespace

backend_key key_of(std::string_view backend, std::uint64_t started_at) {
    return static_cast<backend_key>(base::stable_hash(backend, started_at));
}

void load_table::apply_report(const load_report& report, base::instant now) {
    if (!this->store(report, now, this->last_report_number + 1)) {
        return;
    }
    ++this->last_report_number;
    if (this->report_handler) {
        this->report_handler();
    }
}

void load_table::apply_forwarded_report(const load_report& report, base::instant now) {
    this->store(report, now, 0);
}

std::vector<load_report> load_table::reports_after(std::uint64_t number) const {
    std::vector<load_report> found;
    for (const auto& [node, stored] : this->reports) {
        if (stored.number > number) {
            found.push_back(stored.report);
        }
    }
    return found;
}

bool load_table::store(const load_report& report, base::instant now, std::uint64_t number) {
    if (report.incarnation == 0) {
        return false;
    }
    const auto found = this->reports.find(report.node);
    // Reports may arrive out of order, because they are attached to messages that may be sent
    // again.
    if (found != this->reports.end() && found->second.report.incarnation == report.incarnation &&
        found->second.report.number >= report.number) {
        return false;
    }
    this->reports[report.node] = {.report = report, .received_at = now, .number = number};
    return true;
}

load_totals load_table::totals_excluding(const base::node_id& node, base::instant now) {
    this->remove_expired(now);
    std::map<backend_key, backend_load> sums;
    load_totals totals{.is_present = true};
    for (const auto& [other, stored] : this->reports) {
        if (other == node) {
            continue;
        }
        for (const backend_load& load : stored.report.loads) {
            backend_load& sum = sums[load.backend];
            sum.backend = load.backend;
            sum.event_interval_us = mean_event_interval(sum, load);
            sum.requests += load.requests;
            sum.served += load.served;
            sum.failed += load.failed;
            sum.unread_tokens += load.unread_tokens;
        }
    }
    for (const auto& [backend, sum] : sums) {
        totals.loads.push_back(sum);
    }
    const auto collection_time =
        std::chrono::duration_cast<base::milliseconds>(now - this->started_at);
    totals.collection_time_ms = static_cast<std::uint32_t>(
        std::min<std::int64_t>(collection_time.count(), std::numeric_limits<std::uint32_t>::max()));
    return totals;
}

void load_table::remove_expired(base::instant now) {
    std::erase_if(this->reports, [&](const auto& item) {
        return now - item.second.received_at > this->options.report_lifetime;
    });
}

}  // namespace pearbarrow::dispatch
