#include "pearbarrow/forward/engine_priority.h"

#include <algorithm>

namespace pearbarrow::forward {
namespace {

/// Base priority of turns of running programs. They go before first turns, because a running
/// program occupies memory until it ends.
constexpr std::uint32_t running_program_base = 3;
/// Base priority of first turns, which is also that of a request without a priority.
constexpr std::uint32_t first_turn_base = 5;
/// Ranks from this value on are not distinguished within each of the two groups.
constexpr std::uint32_t max_rank = 1;
/// Priority of a turn that has missed its deadline: it must not delay others.
constexpr std::uint32_t late_priority = 9;

}  // namespace

std::uint32_t engine_priority(const turn_urgency& urgency) {
    if (urgency.is_late) {
        return late_priority;
    }
    return (urgency.is_first ? first_turn_base : running_program_base) +
           std::min(urgency.rank, max_rank);
}

}  // namespace pearbarrow::forward
