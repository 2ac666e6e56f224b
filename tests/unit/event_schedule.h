/// What happens when in a simulation: events in virtual time, those of one moment in the order in
/// which they were scheduled.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace pearbarrow::testing {

class event_schedule {
  protected:
    void schedule(std::uint64_t delay_us, std::function<void()> act) {
        this->events.push(
            {this->now + static_cast<std::int64_t>(delay_us), ++this->last_event, std::move(act)});
    }

    /// Runs what is scheduled before that moment, and what comes of it.
    void run_events(std::int64_t until_us) {
        while (!this->events.empty() && this->events.top().time < until_us) {
            const event next = this->events.top();
            this->events.pop();
            this->now = next.time;
            next.act();
        }
    }

    /// Microseconds.
    std::int64_t now = 0;
    std::uint64_t last_event = 0;

  private:
    struct event {
        std::int64_t time;
        std::uint64_t number;
        std::function<void()> act;
        bool operator<(const event& other) const {
            return std::tie(other.time, other.number) < std::tie(this->time, this->number);
        }
    };

    std::priority_queue<event> events;
};

}  // namespace pearbarrow::testing
