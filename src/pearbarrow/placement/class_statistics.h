/// What is learned online about each program class: calls in a program, time and output of a call,
/// and the pause between two calls. Old observations fade.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::placement {

/// Lengths of pauses in buckets that grow by a factor of 1.5, from 50 ms.
class pause_distribution {
  public:
    void add_return(base::microseconds pause);
    /// The program ended: it never returned.
    void add_end() { add(ended_); }
    /// How long keeping a prefix for a paused program is worth it: up to the last bucket in which
    /// the chance of a return in each second, given none until then, is at least `least_rate`.
    base::microseconds worthwhile_wait(double least_rate, base::microseconds longest) const;
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
    /// A call of a program with `calls_done` finished calls was offered.
    void add_offer(std::uint32_t calls_done);
    void add_call(double service_us, double output_tokens);

    /// Expected time on engines of the call at hand and all that follow it.
    double expected_remaining_us(std::uint32_t calls_done) const;
    double expected_output_tokens(std::uint32_t most) const;

    pause_distribution& pauses(const std::string& next_tool) { return pauses_[next_tool]; }
    const pause_distribution& all_pauses() const { return all_pauses_; }
    pause_distribution& all_pauses() { return all_pauses_; }

  private:
    static constexpr std::size_t position_count = 64;
    static std::size_t position(std::uint32_t calls_done);

    /// Offers seen at each number of finished calls (the last one holds all above).
    std::array<double, position_count> reached_{};
    double offers_ = 0;
    double calls_ = 0;
    double mean_service_us_ = 0;
    double mean_output_tokens_ = 0;
    std::map<std::string, pause_distribution> pauses_;
    pause_distribution all_pauses_;
};

}  // namespace pearbarrow::placement
