#include "pearbarrow/fleet/work_log.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/log.h"
#include "pearbarrow/fleet/traffic_names.h"

namespace pearbarrow::fleet {
namespace {

/// Maximum number of counters in a line: a line has at most 4 KB, a name with labels up to 120
/// bytes.
constexpr std::size_t max_counters_per_line = 25;

}  // namespace

work_log::work_log(net::event_loop& loop, const base::metrics_registry& registry,
                   const net::peer_rpc& rpc, std::string role)
    : registry(registry),
      rpc(rpc),
      role(std::move(role)),
      timer(loop.every(interval, [this] { this->write(); })) {}

std::map<std::string, double> work_log::counts() const {
    std::map<std::string, double> counts = this->registry.counters();
    for (const net::traffic_row& row : this->rpc.traffic()) {
        const std::string call =
            fmt::format("{{call={},part={},distance={}}}", name_of_call(row.method),
                        row.is_reply ? "answer" : "request", distance_name(row.distance));
        counts["pearbarrow_peer_call_bytes_sent_total" + call] = static_cast<double>(row.bytes);
        counts["pearbarrow_peer_call_frames_sent_total" + call] = static_cast<double>(row.frames);
    }
    return counts;
}

void work_log::write() {
    std::map<std::string, double> current = this->counts();
    nlohmann::json increases = nlohmann::json::object();
    for (const auto& [name, value] : current) {
        const auto last = this->last_counts.find(name);
        const double increase = value - (last == this->last_counts.end() ? 0 : last->second);
        if (increase > 0) {
            increases[name] = increase;
        }
        if (increases.size() == max_counters_per_line) {
            this->write_line(std::exchange(increases, nlohmann::json::object()));
        }
    }
    this->last_counts = std::move(current);
    if (!increases.empty()) {
        this->write_line(std::move(increases));
    }
}

void work_log::write_line(nlohmann::json counts) const {
    base::log(base::log_level::info, "node_work",
              {{"role", this->role}, {"seconds", interval.count()}, {"counts", std::move(counts)}});
}

}  // namespace pearbarrow::fleet
