#include "pearbarrow/net/held_bytes.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "pearbarrow/net/deadline.h"

namespace pearbarrow::net {

std::string_view to_string(holding kind) {
    switch (kind) {
        case holding::answers:
            return "answers";
        case holding::requests:
            return "requests";
        case holding::frames:
            return "frames";
        case holding::bodies:
            return "bodies";
    }
    return "unknown";
}

held_bytes::held_bytes(held_bytes_options options, now_source now)
    : options(options), now(now ? std::move(now) : net::now) {}

std::size_t held_bytes::total() const {
    return std::accumulate(this->sums.begin(), this->sums.end(), std::size_t{0});
}

bool held_bytes::admits(std::size_t bytes, std::size_t counted) const {
    if (this->options.bound == 0) {
        return true;
    }
    const double share =
        bytes <= this->options.small_body_bytes ? 1.0 : this->options.admission_share;
    const double most = share * static_cast<double>(this->options.bound);
    return static_cast<double>(this->total() - counted + bytes) <= most;
}

std::size_t held_bytes::share() const {
    if (this->options.bound == 0) {
        return this->options.max_share;
    }
    const std::size_t held = this->total();
    const std::size_t free = held < this->options.bound ? this->options.bound - held : 0;
    const auto part =
        static_cast<std::size_t>(static_cast<double>(free) * this->options.free_share);
    return std::clamp(part, this->options.min_share, this->options.max_share);
}

held_bytes::holder* held_bytes::next_to_cut_off() const {
    const base::instant stalled_before = this->now() - this->options.stalled_after;
    holder* selected = nullptr;
    std::tuple<bool, std::size_t> most;
    for (holder* owner : this->holders) {
        const std::tuple<bool, std::size_t> rank{owner->progressed_at() < stalled_before,
                                                 owner->held()};
        if (owner->held() > 0 && (selected == nullptr || rank > most)) {
            selected = owner;
            most = rank;
        }
    }
    return selected;
}

void held_bytes::enforce() {
    while (this->is_over()) {
        holder* owner = this->next_to_cut_off();
        if (owner == nullptr) {
            return;
        }
        ++this->cut_offs;
        this->leave(*owner);
        owner->cut_off();
    }
}

void held_part::set(std::size_t next) {
    if (this->ledger != nullptr) {
        this->ledger->remove(this->kind, this->bytes);
        this->ledger->add(this->kind, next);
        this->bytes = next;
    }
}

}  // namespace pearbarrow::net
