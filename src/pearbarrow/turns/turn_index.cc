#include "pearbarrow/turns/turn_index.h"

#include <algorithm>

namespace pearbarrow::turns {
namespace {

base::microseconds retention_of(const turn_record& record, const index_options& options) {
    const auto own = static_cast<std::int64_t>(record.retention_seconds * 1e6);
    return base::microseconds(own) + options.retention_slack;
}

/// The wall clock may have jumped, so the age is clamped to the range from 0 to `most`.
base::microseconds age_of(std::int64_t stored_at, std::int64_t unix_now, base::microseconds most) {
    return std::clamp(base::microseconds(unix_now - stored_at), base::microseconds{0}, most);
}

}  // namespace

void turn_index::load(const store_contents& contents, base::instant now, std::int64_t unix_now) {
    last_number_ = std::max(last_number_, contents.last_number.value());
    for (const stored_turn& turn : contents.turns) {
        const auto retention = retention_of(turn.record, options_);
        add_turn(turn, now + retention -
                           age_of(turn.stored_at, unix_now, base::microseconds(retention / 2)));
    }
    for (const stored_reservation& entry : contents.reservations) {
        add_reservation(entry, now);
    }
}

bool turn_index::adds_information(const reservation& value) const {
    const auto program = programs_.find(value.program);
    if (program == programs_.end()) {
        return true;
    }
    const auto known = program->second.reservations.find(value.turn);
    return known == program->second.reservations.end() || supersedes(value, known->second.value);
}

void turn_index::add(const stored_turn& turn, base::instant now) {
    add_turn(turn, now + retention_of(turn.record, options_));
}

void turn_index::add(const stored_reservation& entry, base::instant now) {
    add_reservation(entry, now);
}

void turn_index::add_turn(const stored_turn& turn, base::instant expires) {
    const turn_record& record = turn.record;
    const auto [added, is_new] = turns_.emplace(record.turn, turn_entry{.previous = record.previous,
                                                                        .program = record.program,
                                                                        .number = turn.number,
                                                                        .expires = expires});
    if (!is_new) {
        return;
    }
    last_number_ = std::max(last_number_, turn.number.value());
    changes_[turn.number] = {record.turn, record.program, false};
    ++programs_[record.program].turns;
    if (const auto missing = missing_.extract(record.turn); !missing.empty()) {
        added->second.continuations = missing.mapped();
    }
    update_expiry(record.turn, added->second);
    if (record.previous != record.turn) {
        add_continuation(record.previous);
    }
}

void turn_index::drop_turn(const turn_id& turn) {
    const auto dropped = turns_.extract(turn);
    const turn_entry& entry = dropped.mapped();
    turn_expiry_.erase({entry.expires, turn});
    changes_.erase(entry.number);
    --programs_.at(entry.program).turns;
    if (entry.previous != turn) {
        remove_continuation(entry.previous);
    }
}

void turn_index::add_continuation(const turn_id& previous) {
    if (previous.value().empty()) {
        return;
    }
    const auto found = turns_.find(previous);
    if (found == turns_.end()) {
        missing_revision_ += missing_[previous]++ == 0 ? 1 : 0;
        return;
    }
    ++found->second.continuations;
    update_expiry(previous, found->second);
}

void turn_index::remove_continuation(const turn_id& previous) {
    if (const auto found = turns_.find(previous); found != turns_.end()) {
        --found->second.continuations;
        update_expiry(previous, found->second);
        return;
    }
    if (const auto missing = missing_.find(previous);
        missing != missing_.end() && --missing->second == 0) {
        missing_.erase(missing);
    }
}

void turn_index::hold(const turn_id& previous) {
    if (previous.value().empty()) {
        return;
    }
    ++held_[previous];
    if (const auto found = turns_.find(previous); found != turns_.end()) {
        update_expiry(previous, found->second);
    }
}

void turn_index::release(const turn_id& previous, base::instant now) {
    const auto held = held_.find(previous);
    if (held == held_.end()) {
        return;
    }
    if (--held->second > 0) {
        return;
    }
    held_.erase(held);
    const auto found = turns_.find(previous);
    if (found == turns_.end()) {
        return;
    }
    // The caller of a failed attempt may try again although the retention has ended meanwhile.
    turn_expiry_.erase({found->second.expires, previous});
    found->second.expires = std::max(found->second.expires, now + options_.retention_slack);
    update_expiry(previous, found->second);
}

/// Nobody is going to settle a reservation of a program that has been idle for so long. Its node
/// has been lost.
void turn_index::release_open(program_entry& program, base::instant now) {
    for (auto& [turn, known] : program.reservations) {
        release_if_open(known.value, now);
        known.value.previous = {};
    }
}

void turn_index::release_if_open(const reservation& value, base::instant now) {
    if (!value.settled) {
        release(value.previous, now);
    }
}

bool turn_index::is_referenced(const turn_id& turn, const turn_entry& entry) const {
    return entry.continuations > 0 || held_.find(turn) != held_.end();
}

void turn_index::update_expiry(const turn_id& turn, const turn_entry& entry) {
    if (is_referenced(turn, entry)) {
        turn_expiry_.erase({entry.expires, turn});
    } else {
        turn_expiry_.emplace(entry.expires, turn);
    }
}

void turn_index::add_reservation(const stored_reservation& entry, base::instant now) {
    last_number_ = std::max(last_number_, entry.number.value());
    if (!adds_information(entry.value)) {
        return;
    }
    program_entry& program = programs_[entry.value.program];
    program.expires = std::max(program.expires, now + options_.reservation_retention);
    if (!entry.value.settled) {
        hold(entry.value.previous);
    }
    base::instant since = now;
    const auto known = program.reservations.find(entry.value.turn);
    if (known != program.reservations.end()) {
        changes_.erase(known->second.number);
        release_if_open(known->second.value, now);
        since = known->second.since;
    }
    program.reservations[entry.value.turn] = {entry.value, entry.number, since};
    changes_[entry.number] = {entry.value.turn, entry.value.program, true};
}

std::vector<reservation> turn_index::reservations(const base::program_id& program) const {
    std::vector<reservation> found;
    const auto entry = programs_.find(program);
    if (entry == programs_.end()) {
        return found;
    }
    for (const auto& [turn, known] : entry->second.reservations) {
        found.push_back(known.value);
    }
    return found;
}

std::vector<reservation_age> turn_index::ages(const reservation& wanted, base::instant now) const {
    std::vector<reservation_age> ages;
    const auto found = programs_.find(wanted.program);
    if (found == programs_.end()) {
        return ages;
    }
    for (const auto& [turn, known] : found->second.reservations) {
        const auto& software = known.value.software;
        const bool is_provisional =
            !known.value.settled && software.has_value() && software->is_provisional;
        const bool has_content =
            wanted.content != 0 && known.value.content == wanted.content && turn != wanted.turn;
        if (is_provisional || has_content) {
            const auto age = std::chrono::duration_cast<base::milliseconds>(now - known.since);
            ages.push_back({turn, static_cast<std::uint32_t>(age.count())});
        }
    }
    return ages;
}

std::optional<std::vector<turn_id>> turn_index::chain(const turn_id& last) const {
    std::vector<turn_id> turns;
    for (turn_id at = last; !at.value().empty();) {
        const auto entry = turns_.find(at);
        if (entry == turns_.end() || turns.size() > turns_.size()) {
            return std::nullopt;
        }
        turns.push_back(at);
        at = entry->second.previous;
    }
    std::reverse(turns.begin(), turns.end());
    return turns;
}

turn_id turn_index::previous_of(const turn_id& turn) const {
    const auto found = turns_.find(turn);
    return found == turns_.end() ? turn_id() : found->second.previous;
}

std::vector<turn_id> turn_index::missing_turns(const turn_id& after, std::size_t most) const {
    std::vector<turn_id> missing;
    for (auto at = missing_.upper_bound(after); at != missing_.end() && missing.size() < most;
         ++at) {
        missing.push_back(at->first);
    }
    return missing;
}

index_listing turn_index::list(change_number after, std::size_t most) const {
    index_listing listing;
    listing.through = after;
    std::size_t count = 0;
    for (auto at = changes_.upper_bound(after); at != changes_.end(); ++at) {
        if (count == most) {
            listing.more = true;
            return listing;
        }
        ++count;
        listing.through = at->first;
        const change_target& target = at->second;
        if (target.is_reservation) {
            listing.reservations.push_back(
                programs_.at(target.program).reservations.at(target.turn).value);
        } else {
            listing.turns.push_back(target.turn);
        }
    }
    return listing;
}

store_change turn_index::expire(base::instant now) {
    store_change dropped;
    expire_turns(now, dropped);
    expire_programs(now, dropped);
    if (!dropped.dropped_turns.empty() || !dropped.dropped_reservations.empty()) {
        dropped.last_number = change_number(last_number_);
    }
    return dropped;
}

void turn_index::expire_turns(base::instant now, store_change& dropped) {
    while (has_expired_turns(now) &&
           dropped.dropped_turns.size() < options_.expired_turns_per_call) {
        const turn_id turn = turn_expiry_.begin()->second;
        drop_turn(turn);
        dropped.dropped_turns.push_back(turn);
    }
}

void turn_index::expire_programs(base::instant now, store_change& dropped) {
    for (auto at = programs_.begin(); at != programs_.end();) {
        if (at->second.expires > now) {
            ++at;
            continue;
        }
        release_open(at->second, now);
        if (at->second.turns > 0) {
            ++at;
            continue;
        }
        for (const auto& [turn, known] : at->second.reservations) {
            changes_.erase(known.number);
            dropped.dropped_reservations.push_back(known.value);
        }
        at = programs_.erase(at);
    }
}

}  // namespace pearbarrow::turns
