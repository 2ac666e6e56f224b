#include "pearbarrow/turns/turn_store_layout.h"

#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {
namespace {

std::string reservation_key(const reservation& value) {
    std::string key = "r" + value.program.value();
    key.push_back('\0');
    return key + value.turn.value();
}

void put_or_delete(rocksdb::WriteBatch& batch, const std::string& key, const std::string& value) {
    if (value.empty()) {
        batch.Delete(key);
    } else {
        batch.Put(key, value);
    }
}

}  // namespace

std::string turn_key(const turn_id& turn) {
    return "t" + turn.value();
}

stored_turn turn_in_place::without_texts() const {
    return {.number = this->number,
            .stored_at = this->stored_at,
            .record = {.turn = turn_id(std::string(this->record.turn)),
                       .program = base::program_id(std::string(this->record.program)),
                       .previous = turn_id(std::string(this->record.previous)),
                       .input = {},
                       .output = {},
                       .retention_seconds = this->record.retention_seconds}};
}

void add_to_batch(rocksdb::WriteBatch& batch, const store_change& change) {
    if (change.emptied_for.has_value()) {
        batch.DeleteRange(reservations_begin, reservations_end);
        batch.DeleteRange(turns_begin, turns_end);
        batch.Delete(positions_key);
        batch.Delete(view_key);
        batch.Put(identity_key, change.emptied_for->disk.value());
        batch.Put(complete_key, "0");
        batch.Put(group_key, wire::encode(change.emptied_for->group));
    }
    if (change.group.has_value()) {
        batch.Put(group_key, wire::encode(*change.group));
    }
    for (const stored_turn& turn : change.turns) {
        batch.Put(turn_key(turn.record.turn), wire::encode(turn));
    }
    for (const stored_reservation& entry : change.reservations) {
        batch.Put(reservation_key(entry.value), wire::encode(entry));
    }
    for (const turn_id& turn : change.dropped_turns) {
        batch.Delete(turn_key(turn));
    }
    for (const reservation& entry : change.dropped_reservations) {
        batch.Delete(reservation_key(entry));
    }
    if (change.complete.has_value()) {
        batch.Put(complete_key, *change.complete ? "1" : "0");
    }
    if (change.replaces_lost_disk.has_value()) {
        batch.Put(lost_disk_key, wire::encode(*change.replaces_lost_disk));
    }
    if (change.view.has_value()) {
        batch.Put(view_key, wire::encode(*change.view));
    }
    if (change.directory.has_value()) {
        batch.Put(directory_key, *change.directory);
    }
    for (const directory_entry& entry : change.directory_entries) {
        put_or_delete(batch, directory_entries_begin + entry.key, entry.value);
    }
    for (const suspect_entry& entry : change.suspects) {
        put_or_delete(batch, suspects_begin + entry.digest, entry.value);
    }
    if (change.positions.has_value()) {
        batch.Put(positions_key, wire::encode(*change.positions));
    }
    if (change.last_number.has_value()) {
        batch.Put(last_number_key, wire::encode(*change.last_number));
    }
}

}  // namespace pearbarrow::turns
