#include "pearbarrow/base/random.h"

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::base {

std::uint64_t random_source::system_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string random_source::hex_id() {
    const std::uint64_t high = next();
    return fmt::format("{:016x}{:016x}", high, next());
}

}  // namespace pearbarrow::base
