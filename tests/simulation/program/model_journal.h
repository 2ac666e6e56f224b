/// A model of a shard's replicated journal: appends become durable after a delay, a new term fences
/// the earlier ones, and replies are lost if the owner that waits for them is lost.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "event_queue.h"
#include "pearbarrow/base/random.h"

namespace pearbarrow::simulation {

class model_journal {
  public:
    struct entry {
        std::string payload;
        std::string key;
    };
    /// The state from which a new owner starts.
    struct recovery {
        std::uint64_t term = 0;
        std::string snapshot;
        std::vector<std::string> payloads;
    };

    model_journal(event_queue& queue, base::random_source& random)
        : queue_(queue), random_(random) {}

    /// Opens a new term and fences every earlier one.
    recovery open_term();
    std::uint64_t term() const { return term_; }
    /// Calls `done(true)` once the record is durable, or `done(false)` if the term is fenced. The
    /// calls are made in order.
    void append(std::uint64_t term, entry record, std::function<void(bool)> done);
    /// Reports whether a majority confirms that `term` is still the newest.
    void confirm(std::uint64_t term, std::function<void(bool)> done);
    std::vector<std::string> retained(const std::string& prefix) const;
    void drop(const std::string& prefix);
    /// Replaces the first `through` records of `term` and everything before that term.
    void snapshot(std::uint64_t term, std::uint64_t through, std::string payload);
    /// Makes the majority unavailable until `until`.
    void block(base::instant until) { blocked_until_ = until; }

  private:
    base::instant arrival();

    event_queue& queue_;
    base::random_source& random_;
    std::uint64_t term_ = 0;
    base::instant blocked_until_{};
    base::instant last_arrival_{};
    base::instant last_reply_time_{};
    std::vector<entry> log_;
    /// Indexes in `log_` at which the current term and the replay start.
    std::size_t term_begin_ = 0;
    std::size_t replay_begin_ = 0;
    std::string snapshot_;
};

}  // namespace pearbarrow::simulation
