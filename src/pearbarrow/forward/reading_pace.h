/// How long engines take to read one token of a prompt, measured from the first events.
///
/// Pure. The time to a first event is a part that is the same for all requests, and one that grows
/// with the tokens to be read before it: the second is the slope of a line through the latest ones.
#pragma once

#include <algorithm>

namespace pearbarrow::forward {

class reading_pace {
  public:
    /// Microseconds for one token while too little has been measured: 40,000 tokens a second.
    static constexpr double assumed_us = 25;

    /// A first event came `took_us` after the request was sent, with `tokens` to be read until
    /// then.
    void add(double tokens, double took_us) {
        this->count = this->count * kept_weight + 1;
        this->tokens_sum = this->tokens_sum * kept_weight + tokens;
        this->time_sum = this->time_sum * kept_weight + took_us;
        this->square_sum = this->square_sum * kept_weight + tokens * tokens;
        this->product_sum = this->product_sum * kept_weight + tokens * took_us;
    }
    double us_per_token() const {
        if (this->count < least_count || this->tokens_sum <= 0) {
            return assumed_us;
        }
        const double most = this->time_sum / this->tokens_sum;
        const double mean_tokens = this->tokens_sum / this->count;
        const double variance = this->square_sum / this->count - mean_tokens * mean_tokens;
        const double covariance =
            this->product_sum / this->count - mean_tokens * this->time_sum / this->count;
        const double slope = variance > 0 ? covariance / variance : most;
        return std::clamp(slope, most * least_part, most);
    }

  private:
    /// A sample's weight falls to half in 69 further ones.
    static constexpr double kept_weight = 0.99;
    static constexpr double least_count = 12;
    /// Tokens are believed, not known: errors in them flatten the line.
    static constexpr double least_part = 0.25;

    double count = 0;
    double tokens_sum = 0;
    double time_sum = 0;
    double square_sum = 0;
    double product_sum = 0;
};

}  // namespace pearbarrow::forward
