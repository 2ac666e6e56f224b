#include "pearbarrow/fleet/work_log.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/log.h"
#include "pearbarrow/fleet/traffic_names.h"

namespace pearbarrow::fleet {
namespace {

/// A line of the log has 4 KB at most; a name with its labels up to 120 bytes.
constexpr std::size_t most_in_line = 25;

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
                        row.is_answer ? "answer" : "request", name_of(row.distance));
        counts["pearbarrow_peer_call_bytes_sent_total" + call] = static_cast<double>(row.bytes);
        counts["pearbarrow_peer_call_frames_sent_total" + call] = static_cast<double>(row.frames);
    }
    return counts;
}

void work_log::write() {
    std::map<std::string, double> now = this->counts();
    nlohmann::json grown = nlohmann::json::object();
    for (const auto& [name, value] : now) {
        const auto held = this->before.find(name);
        const double since = value - (held == this->before.end() ? 0 : held->second);
        if (since > 0) {
            grown[name] = since;
        }
        if (grown.size() == most_in_line) {
            this->write_line(std::exchange(grown, nlohmann::json::object()));
        }
    }
    this->before = std::move(now);
    if (!grown.empty()) {
        this->write_line(std::move(grown));
    }
}

void work_log::write_line(nlohmann::json counts) const {
    base::log(base::log_level::info, "node_work",
              {{"role", this->role}, {"seconds", interval.count()}, {"counts", std::move(counts)}});
}

}  // namespace pearbarrow::fleet
