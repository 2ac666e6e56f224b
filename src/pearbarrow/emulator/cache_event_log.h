/// Cache events as an engine publishes them: late, and with gaps. Pure.
#pragma once

#include <cstdint>
#include <deque>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/emulator/block_cache.h"

namespace pearbarrow::emulator {

struct cache_event_options {
    /// Time from a change until its event can be read.
    base::milliseconds lag{200};
    /// Share of events that never appear; their sequence numbers are skipped.
    double gap_probability = 0;
    /// Events kept; older ones are gone, which readers see as a gap.
    std::size_t capacity = 4096;
};

class cache_event_log {
  public:
    cache_event_log(cache_event_options options, std::uint64_t seed)
        : options_(options), random_(seed) {}

    void add(const cache_change& change, base::instant now);
    /// At most `limit` events after sequence number `after` that are old enough to be seen.
    backend::cache_event_batch read(std::uint64_t after, std::size_t limit,
                                    base::instant now) const;
    /// Sequence number of the newest change, seen or not.
    std::uint64_t newest() const { return newest_; }
    void set_options(cache_event_options options) { options_ = options; }
    const cache_event_options& options() const { return options_; }

  private:
    struct entry {
        base::instant visible_at;
        backend::cache_event event;
    };

    cache_event_options options_;
    base::random_source random_;
    std::deque<entry> entries_;
    std::uint64_t newest_ = 0;
};

}  // namespace pearbarrow::emulator
