#include "pearbarrow/node/quota_home.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace pearbarrow::node {

namespace {

/// Weight of the newest observation in the smoothed rate of returns.
constexpr double return_weight = 0.3;

double seconds_between(base::instant from, base::instant to) {
    return std::chrono::duration<double>(to - from).count();
}

const config::limits* bounds_of(const config::object& object) {
    if (const auto* tenant = std::get_if<config::tenant_spec>(&object.spec)) {
        return &tenant->bounds;
    }
    if (const auto* program_class = std::get_if<config::program_class_spec>(&object.spec)) {
        return &program_class->bounds;
    }
    if (const auto* limit = std::get_if<config::limit_spec>(&object.spec)) {
        return &limit->bounds;
    }
    return nullptr;
}

}  // namespace

program::quota_key quota_claim::key() const {
    return {{static_cast<config::object_kind>(kind), name},
            static_cast<program::quota_counter>(counter)};
}

quota_claim quota_claim::of(const program::quota_key& key, std::uint64_t used,
                            std::uint64_t wanted) {
    return {static_cast<std::uint8_t>(key.source.kind), key.source.name,
            static_cast<std::uint8_t>(key.counter), used, wanted};
}

std::optional<quota_limit> limit_of(const config::configuration& configuration,
                                    const program::quota_key& key) {
    const config::object* object = configuration.find(key.source.kind, key.source.name);
    const config::limits* bounds = object == nullptr ? nullptr : bounds_of(*object);
    if (bounds == nullptr) {
        return std::nullopt;
    }
    switch (key.counter) {
        case program::quota_counter::programs:
            return bounds->programs_at_once.has_value()
                       ? std::optional(quota_limit{*bounds->programs_at_once})
                       : std::nullopt;
        case program::quota_counter::tokens:
            return bounds->tokens_in_flight.has_value()
                       ? std::optional(quota_limit{*bounds->tokens_in_flight})
                       : std::nullopt;
        case program::quota_counter::calls:
            break;
    }
    if (!bounds->calls_per_second.has_value()) {
        return std::nullopt;
    }
    const auto one_second =
        static_cast<std::uint64_t>(std::ceil(std::max(*bounds->calls_per_second, 1.0)));
    return quota_limit{std::max<std::uint64_t>(bounds->call_burst.value_or(one_second), 1),
                       *bounds->calls_per_second};
}

quota_verdict quota_home::claim(const base::node_id& from, const quota_claim& claim,
                                const config::configuration& configuration, base::instant now) {
    const auto limit = limit_of(configuration, claim.key());
    if (!limit.has_value()) {
        return {true, 0};
    }
    ledger& book = ledgers_[claim.key()];
    if (claim.key().counter == program::quota_counter::calls) {
        return take_turn(book, claim, *limit, now);
    }
    return take_room(book, from, claim, *limit, now);
}

quota_verdict quota_home::take_room(ledger& book, const base::node_id& from,
                                    const quota_claim& claim, const quota_limit& limit,
                                    base::instant now) {
    holding& own = book.holdings[from];
    if (claim.used < own.amount) {
        note_return(book, own.amount - claim.used, now);
    }
    own = {claim.used, now + options_.lease};
    std::uint64_t held = 0;
    for (const auto& [node, each] : book.holdings) {
        held += each.until > now ? each.amount : 0;
    }
    if (claim.wanted == 0) {
        return {true, 0};
    }
    if (claim.wanted > limit.amount) {
        return {false, 0};
    }
    if (held + claim.wanted > limit.amount) {
        return {false, wait_for(book, held + claim.wanted - limit.amount)};
    }
    own.amount += claim.wanted;
    return {true, 0};
}

quota_verdict quota_home::take_turn(ledger& book, const quota_claim& claim,
                                    const quota_limit& limit, base::instant now) {
    const auto full = static_cast<double>(limit.amount);
    if (!book.started) {
        book.started = true;
        book.tokens = full;
    } else {
        book.tokens =
            std::min(full, book.tokens + seconds_between(book.filled_at, now) * limit.per_second);
    }
    book.filled_at = now;
    const auto wanted = static_cast<double>(claim.wanted);
    if (book.tokens >= wanted) {
        book.tokens -= wanted;
        return {true, 0};
    }
    const double seconds = (wanted - book.tokens) / limit.per_second;
    return {false, static_cast<std::uint64_t>(std::ceil(seconds * 1'000.0))};
}

void quota_home::note_return(ledger& book, std::uint64_t amount, base::instant now) const {
    if (book.last_return != base::instant{}) {
        const double span = std::max(seconds_between(book.last_return, now), 0.001);
        const double rate = static_cast<double>(amount) / span;
        book.returned_per_second =
            book.returned_per_second > 0
                ? return_weight * rate + (1 - return_weight) * book.returned_per_second
                : rate;
    }
    book.last_return = now;
}

std::uint64_t quota_home::wait_for(const ledger& book, std::uint64_t missing) const {
    if (book.returned_per_second <= 0) {
        return static_cast<std::uint64_t>(options_.first_wait.count());
    }
    const double wait = static_cast<double>(missing) / book.returned_per_second * 1'000.0;
    const auto shortest = static_cast<double>(options_.shortest_wait.count());
    const auto longest = static_cast<double>(options_.longest_wait.count());
    return static_cast<std::uint64_t>(std::clamp(wait, shortest, longest));
}

void quota_home::forget(base::instant now) {
    for (auto entry = ledgers_.begin(); entry != ledgers_.end();) {
        ledger& book = entry->second;
        std::erase_if(book.holdings, [&](const auto& item) { return item.second.until <= now; });
        // After this long a bucket is full again, as at its start.
        constexpr double longest_refill_seconds = 3'600.0;
        const bool rate_in_use =
            book.started && seconds_between(book.filled_at, now) < longest_refill_seconds;
        entry = book.holdings.empty() && !rate_in_use ? ledgers_.erase(entry) : std::next(entry);
    }
}

}  // namespace pearbarrow::node
