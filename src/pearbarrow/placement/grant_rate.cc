#include "pearbarrow/placement/grant_rate.h"

#include <cmath>

namespace pearbarrow::placement {
namespace {

constexpr double time_constant_seconds = 10;
constexpr double min_busy_seconds = 1;

}  // namespace

void grant_rate::advance(base::instant now, bool calls_waited) {
    const double passed = static_cast<double>((now - last_).count()) / 1e6;
    last_ = now;
    waited_ = calls_waited;
    if (!calls_waited || passed <= 0) {
        return;
    }
    const double kept = std::exp(-passed / time_constant_seconds);
    grants_ *= kept;
    busy_seconds_ = busy_seconds_ * kept + time_constant_seconds * (1 - kept);
}

double grant_rate::per_second() const {
    return busy_seconds_ < min_busy_seconds ? 0 : grants_ / busy_seconds_;
}

}  // namespace pearbarrow::placement
