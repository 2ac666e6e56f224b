/// A shard's replicated journal, seen from outside: appends become durable after a delay, terms
/// fence each other, answers can be lost with the owner that waits for them.
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
    /// What a new owner starts from.
    struct recovery {
        std::uint64_t term = 0;
        std::string snapshot;
        std::vector<std::string> payloads;
    };

    model_journal(event_queue& queue, base::random_source& random)
        : queue_(queue), random_(random) {}

    /// Fences every earlier term.
    recovery open_term();
    std::uint64_t term() const { return term_; }
    /// `done(true)` once durable; `done(false)` when the term is fenced. In order.
    void append(std::uint64_t term, entry record, std::function<void(bool)> done);
    /// Whether `term` is still the newest, asked of a majority.
    void confirm(std::uint64_t term, std::function<void(bool)> done);
    std::vector<std::string> retained(const std::string& prefix) const;
    void drop(const std::string& prefix);
    /// Replaces the first `through` records of `term` and everything before that term.
    void snapshot(std::uint64_t term, std::uint64_t through, std::string payload);
    /// No majority until `until`.
    void block(base::instant until) { blocked_until_ = until; }

  private:
    base::instant arrival();

    event_queue& queue_;
    base::random_source& random_;
    std::uint64_t term_ = 0;
    base::instant blocked_until_{};
    base::instant last_arrival_{};
    base::instant last_answer_{};
    std::vector<entry> log_;
    /// Index in `log_` at which the present term began, and at which replay begins.
    std::size_t term_begin_ = 0;
    std::size_t replay_begin_ = 0;
    std::string snapshot_;
};

}  // namespace pearbarrow::simulation
