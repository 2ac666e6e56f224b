#include "pearbarrow/turns/preparation_window.h"

#include <algorithm>

namespace pearbarrow::turns {

void preparation_window::end(base::instant started_at, bool confirmed, base::instant now) {
    // This must precede the decrement: completion intervals reflect the members' throughput only
    // while the window is full.
    if (this->has_room() || !confirmed) {
        this->last_ended_at.reset();
    } else {
        this->record_interval(now);
    }
    const bool was_used = static_cast<double>(this->under_way) * 2 >= this->limit;
    --this->under_way;
    if (confirmed && now - started_at <= this->options.slow_threshold) {
        if (was_used) {
            this->grow();
        }
        return;
    }
    if (started_at < this->reduced_at) {
        return;
    }
    this->limit = std::max(this->options.min_size, this->limit * this->options.shrink_factor);
    this->slow_start_threshold = this->limit;
    this->reduced_at = now;
}

void preparation_window::grow() {
    const double step = this->limit < this->slow_start_threshold ? 1.0 : 1.0 / this->limit;
    this->limit = std::min(this->options.max_size, this->limit + step);
}

void preparation_window::record_interval(base::instant now) {
    if (this->last_ended_at.has_value()) {
        const auto time = static_cast<double>((now - *this->last_ended_at).count());
        this->mean_interval_us = this->mean_interval_us == 0
                                     ? time
                                     : this->mean_interval_us + this->options.newest_weight *
                                                                    (time - this->mean_interval_us);
    }
    this->last_ended_at = now;
}

std::optional<base::microseconds> preparation_window::expected_wait(std::size_t waiting) const {
    if (this->mean_interval_us == 0) {
        return std::nullopt;
    }
    return base::microseconds(
        static_cast<std::int64_t>(this->mean_interval_us * static_cast<double>(waiting + 1)));
}

}  // namespace pearbarrow::turns
