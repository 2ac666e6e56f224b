#include "pearbarrow/placement/class_statistics.h"

#include <algorithm>
#include <cmath>

namespace pearbarrow::placement {
namespace {

constexpr double first_bucket_seconds = 0.05;
constexpr double bucket_growth = 1.5;
/// Counts are halved when they reach this number of observations.
constexpr double decay_threshold = 4000;
/// Minimum weight of the newest call in the moving averages.
constexpr double mean_weight = 0.02;
/// Defaults before the first observation.
constexpr double prior_service_us = 2'000'000;
constexpr double prior_output_tokens = 200;
constexpr double prior_calls = 4;
/// Minimum number of observations for an estimate from the pauses of a class.
constexpr double min_pause_observations = 8;

void update_mean(double& mean, double value, double observations) {
    const double weight = std::max(mean_weight, 1 / (observations + 1));
    mean += weight * (value - mean);
}

}  // namespace

double pause_distribution::bucket_end_seconds(std::size_t bucket) {
    return first_bucket_seconds * std::pow(bucket_growth, static_cast<double>(bucket));
}

void pause_distribution::add(double& counter) {
    counter += 1;
    total_ += 1;
    if (total_ < decay_threshold) {
        return;
    }
    total_ /= 2;
    ended_ /= 2;
    for (double& count : returns_) {
        count /= 2;
    }
}

void pause_distribution::add_return(base::microseconds pause) {
    const double pause_seconds = static_cast<double>(pause.count()) / 1e6;
    std::size_t bucket = 0;
    while (bucket + 1 < bucket_count && bucket_end_seconds(bucket) < pause_seconds) {
        ++bucket;
    }
    add(returns_[bucket]);
}

base::microseconds pause_distribution::retention_time(double min_return_rate,
                                                      base::microseconds longest) const {
    if (total_ < min_pause_observations) {
        return longest / 4;
    }
    double kept = 0;
    double begin = 0;
    double remaining = total_;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        const double end = bucket_end_seconds(bucket);
        const double rate = remaining > 0 ? returns_[bucket] / remaining / (end - begin) : 0;
        if (rate >= min_return_rate) {
            kept = end;
        }
        remaining -= returns_[bucket];
        begin = end;
    }
    const auto wait = base::microseconds(static_cast<std::int64_t>(kept * 1e6));
    return std::min(wait, longest);
}

std::size_t class_statistics::position(std::uint32_t calls_done) {
    return std::min<std::size_t>(calls_done, position_count - 1);
}

void class_statistics::add_offer(std::uint32_t calls_done) {
    reached_[position(calls_done)] += 1;
    offers_ += 1;
    if (offers_ < decay_threshold) {
        return;
    }
    offers_ /= 2;
    for (double& count : reached_) {
        count /= 2;
    }
}

void class_statistics::add_call(double service_us, double output_tokens) {
    update_mean(mean_service_us_, service_us, calls_);
    update_mean(mean_output_tokens_, output_tokens, calls_);
    calls_ += 1;
}

double class_statistics::expected_remaining_us(std::uint32_t calls_done) const {
    const double service = calls_ > 0 ? mean_service_us_ : prior_service_us;
    const std::size_t first = position(calls_done);
    if (reached_[first] < 1) {
        return service * prior_calls;
    }
    double calls = 0;
    for (std::size_t index = first; index < position_count; ++index) {
        calls += reached_[index] / reached_[first];
    }
    return service * calls;
}

double class_statistics::expected_output_tokens(std::uint32_t most) const {
    const double expected = calls_ > 0 ? mean_output_tokens_ : prior_output_tokens;
    return most == 0 ? expected : std::min(expected, static_cast<double>(most));
}

}  // namespace pearbarrow::placement
