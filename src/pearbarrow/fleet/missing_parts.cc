#include "pearbarrow/fleet/missing_parts.h"

#include <algorithm>
#include <array>
#include <utility>

#include "pearbarrow/base/log.h"

namespace pearbarrow::fleet {
namespace {

constexpr std::array<std::string_view, 5> part_names{"configuration", "backends", "storage",
                                                     "retirements", "emptied_zones"};

}  // namespace

std::vector<std::string_view> missing_parts_of(const directory::snapshot& known) {
    const std::array<bool, part_names.size()> is_known{
        known.config.has_value(), known.backends.has_value(), known.storage.has_value(),
        known.retirements.has_value(), known.emptied_zones.has_value()};
    std::vector<std::string_view> missing;
    for (std::size_t index = 0; index < part_names.size(); ++index) {
        if (!is_known[index]) {
            missing.push_back(part_names[index]);
        }
    }
    return missing;
}

missing_parts::missing_parts(net::event_loop& loop, const base::clock& clock,
                             const directory::directory_exchange& exchange)
    : loop(loop), clock(clock), exchange(exchange) {}

void missing_parts::start() {
    this->started_at = this->clock.now();
    this->timer = this->loop.after(report_after, [this] { this->report(); });
}

std::int64_t missing_parts::waited_ms() const {
    return std::chrono::duration_cast<base::milliseconds>(this->clock.now() - this->started_at)
        .count();
}

void missing_parts::report() {
    for (const std::string_view part : missing_parts_of(this->exchange.state().current())) {
        this->reported.insert(part);
        base::log(base::log_level::warning, "directory_part_missing",
                  {{"part", part}, {"waited_ms", this->waited_ms()}});
    }
}

void missing_parts::update() {
    if (this->reported.empty()) {
        return;
    }
    const auto missing = missing_parts_of(this->exchange.state().current());
    std::erase_if(this->reported, [&](std::string_view part) {
        if (std::find(missing.begin(), missing.end(), part) != missing.end()) {
            return false;
        }
        base::log(base::log_level::info, "directory_part_received",
                  {{"part", part}, {"waited_ms", this->waited_ms()}});
        return true;
    });
}

void missing_parts::collect(base::metrics_registry& registry) const {
    const auto missing = missing_parts_of(this->exchange.state().current());
    for (const std::string_view part : part_names) {
        const bool is_missing = std::find(missing.begin(), missing.end(), part) != missing.end();
        registry
            .add_gauge("pearbarrow_directory_part_missing",
                       "1 while the node has not received a part of the directory",
                       {{"part", std::string(part)}})
            .set(is_missing ? 1 : 0);
    }
}

}  // namespace pearbarrow::fleet
