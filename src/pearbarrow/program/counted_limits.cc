#include "pearbarrow/program/counted_limits.h"

namespace pearbarrow::program {

std::vector<quota_need> needs_of_program(const std::vector<config::applied_bounds>& bounds) {
    std::vector<quota_need> needs;
    for (const config::applied_bounds& each : bounds) {
        if (each.bounds.programs_at_once.has_value()) {
            needs.push_back({{each.source, quota_counter::programs}, 1});
        }
    }
    return needs;
}

std::vector<quota_need> needs_of_call(const std::vector<config::applied_bounds>& bounds,
                                      std::uint64_t tokens) {
    std::vector<quota_need> needs;
    for (const config::applied_bounds& each : bounds) {
        if (each.bounds.tokens_in_flight.has_value() && tokens > 0) {
            needs.push_back({{each.source, quota_counter::tokens}, tokens});
        }
    }
    for (const config::applied_bounds& each : bounds) {
        if (each.bounds.calls_per_second.has_value()) {
            needs.push_back({{each.source, quota_counter::calls}, 1});
        }
    }
    return needs;
}

}  // namespace pearbarrow::program
