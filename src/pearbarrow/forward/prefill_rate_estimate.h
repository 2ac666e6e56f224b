/// Estimates the prefill time of engines per prompt token from the times to the first event.
///
/// Pure. The time to the first event consists of a constant part and of a part proportional to the
/// tokens to be read before it. The estimate is the slope of a line through the latest samples.
#pragma once

#include <algorithm>

namespace pearbarrow::forward {

class prefill_rate_estimate {
  public:
    /// Microseconds per token while there are too few samples: 40,000 tokens per second.
    static constexpr double assumed_us = 25;

    /// Adds a first event that was received `took_us` after the request was sent, with `tokens` to
    /// be read before it.
    void add(double tokens, double took_us) {
        this->count = this->count * decay_factor + 1;
        this->tokens_sum = this->tokens_sum * decay_factor + tokens;
        this->time_sum = this->time_sum * decay_factor + took_us;
        this->square_sum = this->square_sum * decay_factor + tokens * tokens;
        this->product_sum = this->product_sum * decay_factor + tokens * took_us;
    }
    double us_per_token() const {
        if (this->count < min_count || this->tokens_sum <= 0) {
            return assumed_us;
        }
        const double most = this->time_sum / this->tokens_sum;
        const double mean_tokens = this->tokens_sum / this->count;
        const double variance = this->square_sum / this->count - mean_tokens * mean_tokens;
        const double covariance =
            this->product_sum / this->count - mean_tokens * this->time_sum / this->count;
        const double slope = variance > 0 ? covariance / variance : most;
        return std::clamp(slope, most * min_slope_share, most);
    }

  private:
    /// The weight of a sample halves after 69 further ones.
    static constexpr double decay_factor = 0.99;
    static constexpr double min_count = 12;
    /// Lower bound of the slope relative to the mean. The token numbers are estimates, and their
    /// errors flatten the line.
    static constexpr double min_slope_share = 0.25;

    double count = 0;
    double tokens_sum = 0;
    double time_sum = 0;
    double square_sum = 0;
    double product_sum = 0;
};

}  // namespace pearbarrow::forward
