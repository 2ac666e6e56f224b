#include "pearbarrow/forward/engine_priority.h"

namespace pearbarrow::forward {
namespace {

/// What a request has that names none.
constexpr std::uint32_t usual = 5;
/// Below new programs: one that has begun holds memory until it ends.
constexpr std::uint32_t under_way = 4;
/// What can't be in time any more makes nothing else late.
constexpr std::uint32_t late = 9;

}  // namespace

std::uint32_t engine_priority(const turn_standing& standing) {
    if (standing.is_late) {
        return late;
    }
    return standing.is_first ? usual : under_way;
}

}  // namespace pearbarrow::forward
