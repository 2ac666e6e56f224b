#include "pearbarrow/base/clock.h"

namespace pearbarrow::base {

instant system_clock_source::now() const {
    return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

std::int64_t system_clock_source::unix_microseconds() const {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<microseconds>(since_epoch).count();
}

}  // namespace pearbarrow::base
