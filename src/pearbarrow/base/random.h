/// Random numbers from a seeded generator. No other code generates random numbers.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace pearbarrow::base {

/// Seeded generator. A seed produces the same sequence on every machine.
class random_source {
  public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// Returns a seed from the operating system, for production processes.
    static std::uint64_t system_seed();

    std::uint64_t next() { return engine_(); }
    /// Uniformly distributed in [0, bound); 0 if `bound` is 0.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }
    /// Uniformly distributed in [0, 1).
    double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
    bool chance(double probability) { return unit() < probability; }
    /// Returns 32 random lower-case hexadecimal digits.
    std::string hex_id();

  private:
    std::mt19937_64 engine_;
};

}  // namespace pearbarrow::base
