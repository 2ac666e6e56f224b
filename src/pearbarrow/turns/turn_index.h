/// What one storage member knows of turns and reservations, without their texts.
///
/// A pure state machine: time is given with each call. Invariants: a turn is never replaced; a
/// settled reservation never becomes unsettled; each change gets a higher number than any before.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/turns/turn_store.h"

namespace pearbarrow::turns {

struct index_options {
    /// Added to each turn's own retention, so that no bound is met too early.
    base::seconds retention_slack{15};
    /// A program's reservations are kept this long after its last change, until it is told how long
    /// programs may come back (`keep_reservations_for`).
    base::seconds reservation_retention{600};
};

/// A part of the changes after some number.
struct index_listing {
    std::vector<turn_id> turns;
    std::vector<reservation> reservations;
    change_number through;
    bool more = false;
};

class turn_index {
  public:
    explicit turn_index(index_options options) : options_(options) {}

    /// Takes what a store holds; `unix_now` in microseconds since the Unix epoch.
    void load(const store_contents& contents, base::instant now, std::int64_t unix_now);

    /// Numbers a change that is about to be stored.
    change_number next_number() { return change_number(++last_number_); }
    /// Number of the newest change that `list` tells of.
    change_number last_listed() const {
        return changes_.empty() ? change_number() : changes_.rbegin()->first;
    }

    /// Whether a reservation says more than what is held.
    bool is_news(const reservation& value) const;
    bool has(const turn_id& turn) const { return turns_.find(turn) != turns_.end(); }
    /// Call once the store has confirmed them.
    void add(const stored_turn& turn, base::instant now);
    void add(const stored_reservation& entry, base::instant now);

    std::vector<reservation> reservations(const base::program_id& program) const;
    /// The turns of a chain, oldest first; none when a part of it is not here.
    std::optional<std::vector<turn_id>> chain(const turn_id& last) const;
    index_listing list(change_number after, std::size_t most) const;

    /// Programs that rested for longer are not asked for any more. Those that are kept already are
    /// kept as long as was said before.
    void keep_reservations_for(base::seconds time) { options_.reservation_retention = time; }
    /// Takes out what has expired, and names it for the store.
    store_change expire(base::instant now);
    std::size_t turn_count() const { return turns_.size(); }
    std::size_t program_count() const { return programs_.size(); }

  private:
    struct turn_entry {
        turn_id previous;
        base::program_id program;
        change_number number;
        base::instant expires;
    };
    struct program_entry {
        std::map<turn_id, std::pair<reservation, change_number>> reservations;
        base::instant expires;
    };
    /// What a change number stands for.
    struct change_target {
        turn_id turn;
        base::program_id program;
        bool is_reservation = false;
    };

    void add_turn(const stored_turn& turn, base::instant expires);
    void add_reservation(const stored_reservation& entry, base::instant expires);
    void expire_turns(base::instant now, store_change& dropped);
    void expire_programs(base::instant now, store_change& dropped);

    index_options options_;
    std::uint64_t last_number_ = 0;
    std::unordered_map<turn_id, turn_entry> turns_;
    std::unordered_map<base::program_id, program_entry> programs_;
    std::map<change_number, change_target> changes_;
    std::set<std::pair<base::instant, turn_id>> turn_expiry_;
};

}  // namespace pearbarrow::turns
