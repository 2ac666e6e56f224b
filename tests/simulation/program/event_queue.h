/// Virtual time: a queue of tasks ordered by time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::simulation {

class event_queue {
  public:
    using task = std::function<void()>;

    base::instant now() const { return now_; }
    void at(base::instant when, task run) {
        tasks_.emplace(std::pair(std::max(when, now_), next_++), std::move(run));
    }
    void after(base::microseconds delay, task run) { at(now_ + delay, std::move(run)); }

    /// Runs the next task. Returns false when the queue is empty.
    bool step() {
        if (tasks_.empty()) {
            return false;
        }
        auto first = tasks_.begin();
        now_ = first->first.first;
        const task run = std::move(first->second);
        tasks_.erase(first);
        run();
        return true;
    }

  private:
    base::instant now_{base::seconds(1)};
    std::uint64_t next_ = 0;
    std::map<std::pair<base::instant, std::uint64_t>, task> tasks_;
};

}  // namespace pearbarrow::simulation
