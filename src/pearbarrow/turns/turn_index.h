/// In-memory index of the turns and reservations of one storage member, without their texts.
///
/// A pure state machine: the time is passed with each call. Invariants: a turn is never replaced; a
/// reservation is replaced only by one that supersedes it; each change gets a higher number than
/// all earlier ones.
///
/// A turn expires once its own retention has ended, no stored turn continues it and no open
/// reservation names it. So a chain is kept for as long as its last turn, and the turns to drop are
/// found without a walk over the others. A program's reservations are kept at least as long as its
/// turns.
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
    /// Added to each turn's own retention so that no turn expires early. A turn that an attempt to
    /// continue it has kept is kept this long after the attempt has failed.
    base::seconds retention_slack{15};
    /// A program's reservations are kept this long after its last change, unless
    /// `set_reservation_retention` sets another time.
    base::seconds reservation_retention{600};
    /// Maximum number of turns that one call of `expire` drops.
    std::size_t expired_turns_per_call = 10'000;
};

/// A page of the changes after some number.
struct index_listing {
    std::vector<turn_id> turns;
    std::vector<reservation> reservations;
    change_number through;
    bool more = false;
};

class turn_index {
  public:
    explicit turn_index(index_options options) : options_(options) {}

    /// Loads the contents of a store. `unix_now` is in microseconds since the Unix epoch.
    void load(const store_contents& contents, base::instant now, std::int64_t unix_now);

    /// Assigns a number to a change that is about to be stored.
    change_number next_number() { return change_number(++last_number_); }
    /// Returns the number of the newest change that `list` returns.
    change_number last_listed() const {
        return changes_.empty() ? change_number() : changes_.rbegin()->first;
    }

    /// Returns whether a reservation is unknown, or supersedes a known one.
    bool adds_information(const reservation& value) const;
    bool has(const turn_id& turn) const { return turns_.find(turn) != turns_.end(); }
    /// Adds an entry. Must be called only after the store has confirmed it.
    void add(const stored_turn& turn, base::instant now);
    void add(const stored_reservation& entry, base::instant now);

    std::vector<reservation> reservations(const base::program_id& program) const;
    /// Returns the ages of the program's open reservations of provisional streams, and of its other
    /// reservations with the content of `wanted`.
    std::vector<reservation_age> ages(const reservation& wanted, base::instant now) const;
    /// Returns the turns of a chain, oldest first, or nothing if a part of it is missing.
    std::optional<std::vector<turn_id>> chain(const turn_id& last) const;
    /// Returns the turn that this one continues; empty if there is none or the turn is not stored.
    turn_id previous_of(const turn_id& turn) const;
    index_listing list(change_number after, std::size_t most) const;

    /// Returns up to `most` turns that stored turns continue and that are not stored, in order of
    /// their ids and after `after`.
    std::vector<turn_id> missing_turns(const turn_id& after, std::size_t most) const;
    std::size_t missing_count() const { return missing_.size(); }
    /// Increases whenever another turn is found missing.
    std::uint64_t missing_revision() const { return missing_revision_; }

    /// Sets the retention of reservations: programs that were idle for longer are never requested
    /// again. Programs that are already stored keep their earlier expiry.
    void set_reservation_retention(base::seconds time) { options_.reservation_retention = time; }
    /// Removes expired entries and returns the matching change for the store. Later turns are
    /// dropped before those that they continue.
    store_change expire(base::instant now);
    /// Returns whether a turn has expired that the last call of `expire` did not drop.
    bool has_expired_turns(base::instant now) const {
        return !turn_expiry_.empty() && turn_expiry_.begin()->first <= now;
    }
    std::size_t turn_count() const { return turns_.size(); }
    std::size_t program_count() const { return programs_.size(); }

  private:
    struct turn_entry {
        turn_id previous;
        base::program_id program;
        change_number number;
        /// End of the turn's own retention.
        base::instant expires;
        /// Number of stored turns that continue this one.
        std::uint32_t continuations = 0;
    };
    struct known_reservation {
        reservation value;
        change_number number;
        /// When the first reservation of the turn was stored or loaded.
        base::instant since;
    };
    struct program_entry {
        std::map<turn_id, known_reservation> reservations;
        base::instant expires;
        /// Number of stored turns of the program.
        std::size_t turns = 0;
    };
    /// The entry that a change number refers to.
    struct change_target {
        turn_id turn;
        base::program_id program;
        bool is_reservation = false;
    };

    void add_turn(const stored_turn& turn, base::instant expires);
    void add_reservation(const stored_reservation& entry, base::instant now);
    void expire_turns(base::instant now, store_change& dropped);
    void expire_programs(base::instant now, store_change& dropped);
    void drop_turn(const turn_id& turn);
    void add_continuation(const turn_id& previous);
    void remove_continuation(const turn_id& previous);
    /// Adds or removes an open reservation of a turn that continues `previous`.
    void hold(const turn_id& previous);
    void release(const turn_id& previous, base::instant now);
    void release_if_open(const reservation& value, base::instant now);
    void release_open(program_entry& program, base::instant now);
    /// Returns whether a stored turn or an open reservation refers to the turn.
    bool is_referenced(const turn_id& turn, const turn_entry& entry) const;
    /// Schedules the expiry of a turn or, while the turn is referenced, removes it.
    void update_expiry(const turn_id& turn, const turn_entry& entry);

    index_options options_;
    std::uint64_t last_number_ = 0;
    std::unordered_map<turn_id, turn_entry> turns_;
    std::unordered_map<base::program_id, program_entry> programs_;
    std::map<change_number, change_target> changes_;
    /// Turns that are not referenced, by the end of their retention.
    std::set<std::pair<base::instant, turn_id>> turn_expiry_;
    /// Turns that are not stored, with the number of stored turns that continue them.
    std::map<turn_id, std::uint32_t> missing_;
    std::uint64_t missing_revision_ = 0;
    /// Turns that open reservations continue, with the number of these reservations.
    std::unordered_map<turn_id, std::uint32_t> held_;
};

}  // namespace pearbarrow::turns
