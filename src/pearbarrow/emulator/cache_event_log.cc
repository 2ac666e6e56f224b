#include "pearbarrow/emulator/cache_event_log.h"

#include <algorithm>

namespace pearbarrow::emulator {

void cache_event_log::add(const cache_change& change, base::instant now) {
    ++newest_;
    if (random_.chance(options_.gap_probability)) {
        return;
    }
    entries_.push_back({now + options_.lag,
                        {newest_, change.kind, change.program, change.blocks, change.blocks_left}});
    if (entries_.size() > options_.capacity) {
        entries_.pop_front();
    }
}

backend::cache_event_batch cache_event_log::read(std::uint64_t after, std::size_t limit,
                                                 base::instant now) const {
    backend::cache_event_batch batch{.events = {}, .next_after = after};
    auto position = std::ranges::partition_point(
        entries_, [after](const entry& item) { return item.event.sequence <= after; });
    while (position != entries_.end() && batch.events.size() < limit &&
           position->visible_at <= now) {
        batch.events.push_back(position->event);
        batch.next_after = position->event.sequence;
        ++position;
    }
    return batch;
}

}  // namespace pearbarrow::emulator
