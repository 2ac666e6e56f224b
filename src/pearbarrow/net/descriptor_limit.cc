#include "pearbarrow/net/descriptor_limit.h"

#include <algorithm>

#include <sys/resource.h>

namespace pearbarrow::net {
namespace {

/// Descriptors that are left free, if the process may have many.
constexpr std::size_t min_reserve = 200;
/// Further descriptors that are left free: one of so many.
constexpr std::size_t descriptors_per_reserved = 10;

}  // namespace

descriptor_limit::descriptor_limit(std::size_t max_open) {
    const std::size_t reserve =
        std::min(min_reserve + max_open / descriptors_per_reserved, max_open / 2);
    this->full = max_open - reserve;
    this->exhausted = max_open - reserve / 2;
}

descriptor_limit descriptor_limit::of_process() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return {};
    }
    return descriptor_limit(limit.rlim_cur);
}

descriptor_limit::decision descriptor_limit::decide(int descriptor) const {
    const auto open = static_cast<std::size_t>(std::max(descriptor, 0));
    if (open < this->full) {
        return decision::serve;
    }
    return open < this->exhausted ? decision::reject_first_request : decision::reject_connection;
}

}  // namespace pearbarrow::net
