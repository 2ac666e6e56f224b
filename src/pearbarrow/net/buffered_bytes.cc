#include "pearbarrow/net/buffered_bytes.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "pearbarrow/net/deadline.h"

namespace pearbarrow::net {

std::string_view to_string(buffer_kind kind) {
    switch (kind) {
        case buffer_kind::responses:
            return "answers";
        case buffer_kind::requests:
            return "requests";
        case buffer_kind::frames:
            return "frames";
        case buffer_kind::bodies:
            return "bodies";
    }
    return "unknown";
}

buffered_bytes::buffered_bytes(buffered_bytes_options options, now_source now)
    : options(options), now(now ? std::move(now) : net::now) {}

std::size_t buffered_bytes::total() const {
    return std::accumulate(this->sums.begin(), this->sums.end(), std::size_t{0});
}

bool buffered_bytes::admits(std::size_t bytes, std::size_t counted) const {
    if (this->options.bound == 0) {
        return true;
    }
    const double share =
        bytes <= this->options.small_body_bytes ? 1.0 : this->options.admission_share;
    const double most = share * static_cast<double>(this->options.bound);
    return static_cast<double>(this->total() - counted + bytes) <= most;
}

std::size_t buffered_bytes::share() const {
    if (this->options.bound == 0) {
        return this->options.max_share;
    }
    const std::size_t buffered = this->total();
    const std::size_t free = buffered < this->options.bound ? this->options.bound - buffered : 0;
    const auto part =
        static_cast<std::size_t>(static_cast<double>(free) * this->options.free_share);
    return std::clamp(part, this->options.min_share, this->options.max_share);
}

buffered_bytes::buffer_owner* buffered_bytes::next_to_cut_off() const {
    const base::instant stalled_before = this->now() - this->options.stalled_after;
    buffer_owner* selected = nullptr;
    std::tuple<bool, std::size_t> most;
    for (buffer_owner* owner : this->owners) {
        const std::tuple<bool, std::size_t> rank{owner->progressed_at() < stalled_before,
                                                 owner->buffered()};
        if (owner->buffered() > 0 && (selected == nullptr || rank > most)) {
            selected = owner;
            most = rank;
        }
    }
    return selected;
}

void buffered_bytes::enforce() {
    while (this->is_over_bound()) {
        buffer_owner* owner = this->next_to_cut_off();
        if (owner == nullptr) {
            return;
        }
        ++this->cut_offs;
        this->remove_owner(*owner);
        owner->cut_off();
    }
}

void buffered_part::set(std::size_t next) {
    if (this->ledger != nullptr) {
        this->ledger->remove(this->kind, this->bytes);
        this->ledger->add(this->kind, next);
        this->bytes = next;
    }
}

}  // namespace pearbarrow::net
