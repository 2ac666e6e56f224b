#include "pearbarrow/dispatch/waiting_line.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace pearbarrow::dispatch {
namespace {

bool is_late(const urgency& order, base::instant now, base::microseconds turn_time) {
    const double work_left = order.turns_left * static_cast<double>(turn_time.count());
    return order.wanted_by < now + base::microseconds(static_cast<std::int64_t>(work_left));
}

}  // namespace

waiting_line::place waiting_line::enter(waiting_request request) {
    this->entries.push_back({.number = ++this->last_number, .request = std::move(request)});
    return this->last_number;
}

void waiting_line::leave(place number) {
    this->entries.remove_if([number](const entry& one) { return one.number == number; });
}

waiting_request waiting_line::take_out(std::list<entry>::iterator chosen) {
    waiting_request request = std::move(chosen->request);
    this->entries.erase(chosen);
    return request;
}

std::optional<waiting_request> waiting_line::take_next(base::instant now,
                                                       base::microseconds turn_time) {
    if (this->entries.empty()) {
        return std::nullopt;
    }
    const auto key = [&](const entry& one) {
        const urgency& order = one.request.order;
        return std::make_tuple(is_late(order, now, turn_time), order.priority,
                               std::floor(order.turns_left), order.wanted_by, one.number);
    };
    return this->take_out(std::min_element(
        this->entries.begin(), this->entries.end(),
        [&](const entry& left, const entry& right) { return key(left) < key(right); }));
}

std::optional<waiting_request> waiting_line::take_overdue(base::instant now) {
    const auto found =
        std::find_if(this->entries.begin(), this->entries.end(),
                     [now](const entry& one) { return one.request.at_latest <= now; });
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    return this->take_out(found);
}

std::size_t waiting_line::count_in_time(base::instant now, base::microseconds turn_time) const {
    return static_cast<std::size_t>(std::count_if(
        this->entries.begin(), this->entries.end(),
        [&](const entry& one) { return !is_late(one.request.order, now, turn_time); }));
}

std::optional<base::instant> waiting_line::next_limit() const {
    std::optional<base::instant> first;
    for (const entry& one : this->entries) {
        first = std::min(first.value_or(one.request.at_latest), one.request.at_latest);
    }
    return first;
}

}  // namespace pearbarrow::dispatch
