#include "pearbarrow/turns/preparation_window.h"

#include <algorithm>

namespace pearbarrow::turns {

void preparation_window::end(base::instant began, bool confirmed, base::instant now) {
    // Before the count goes down: only answers that others wait for tell of the members' pace.
    if (this->has_room() || !confirmed) {
        this->last_end.reset();
    } else {
        this->note_pace(now);
    }
    const bool was_used = static_cast<double>(this->under_way) * 2 >= this->limit;
    --this->under_way;
    if (confirmed && now - began <= this->options.slow) {
        if (was_used) {
            this->grow();
        }
        return;
    }
    if (began < this->reduced_at) {
        return;
    }
    this->limit = std::max(this->options.least, this->limit * this->options.shrink_factor);
    this->slow_start_until = this->limit;
    this->reduced_at = now;
}

void preparation_window::grow() {
    const double step = this->limit < this->slow_start_until ? 1.0 : 1.0 / this->limit;
    this->limit = std::min(this->options.most, this->limit + step);
}

void preparation_window::note_pace(base::instant now) {
    if (this->last_end.has_value()) {
        const auto time = static_cast<double>((now - *this->last_end).count());
        this->pace =
            this->pace == 0 ? time : this->pace + this->options.newest_weight * (time - this->pace);
    }
    this->last_end = now;
}

std::optional<base::microseconds> preparation_window::expected_wait(std::size_t waiting) const {
    if (this->pace == 0) {
        return std::nullopt;
    }
    return base::microseconds(
        static_cast<std::int64_t>(this->pace * static_cast<double>(waiting + 1)));
}

}  // namespace pearbarrow::turns
