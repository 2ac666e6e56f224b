/// Online statistics of each program class: calls per program, service time and output of a call,
/// and the pause between two calls. Old observations decay.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::placement {

/// Histogram of pause lengths. Bucket bounds grow by a factor of 1.5 from 50 ms.
class pause_distribution {
  public:
    void add_return(base::microseconds pause);
    /// Records that the program ended instead of returning.
    void add_end() { add(ended_); }
    /// Time for which the prefix of a paused program is worth keeping: the end of the last bucket
    /// in which the hazard rate of a return (per second, given none so far) is at least
    /// `min_return_rate`.
    base::microseconds retention_time(double min_return_rate, base::microseconds longest) const;
    double observations() const { return total_; }

  private:
    static constexpr std::size_t bucket_count = 32;
    void add(double& counter);
    static double bucket_end_seconds(std::size_t bucket);

    std::array<double, bucket_count> returns_{};
    double ended_ = 0;
    double total_ = 0;
};

/// Statistics of one class.
class class_statistics {
  public:
    /// Records an offer of a program with `calls_done` finished calls.
    void add_offer(std::uint32_t calls_done);
    void add_call(double service_us, double output_tokens);

    /// Expected service time of the current call and all later calls of the program.
    double expected_remaining_us(std::uint32_t calls_done) const;
    double expected_output_tokens(std::uint32_t most) const;

    pause_distribution& pauses(const std::string& next_tool) { return pauses_[next_tool]; }
    const pause_distribution& all_pauses() const { return all_pauses_; }
    pause_distribution& all_pauses() { return all_pauses_; }

  private:
    static constexpr std::size_t position_count = 64;
    static std::size_t position(std::uint32_t calls_done);

    /// Offers by number of finished calls; the last entry counts all higher numbers.
    std::array<double, position_count> reached_{};
    double offers_ = 0;
    double calls_ = 0;
    double mean_service_us_ = 0;
    double mean_output_tokens_ = 0;
    std::map<std::string, pause_distribution> pauses_;
    pause_distribution all_pauses_;
};

}  // namespace pearbarrow::placement
