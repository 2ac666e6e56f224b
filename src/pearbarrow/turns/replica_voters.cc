// What a storage member knows of its group's voters, and what follows from it.
#include "pearbarrow/base/log.h"
#include "pearbarrow/turns/turn_replica.h"

namespace pearbarrow::turns {

void turn_replica::note_voters(bool is_voter) {
    const view_stamp next = stamp_of(view_);
    if (next.revision > known_view_.revision) {
        known_view_ = next;
    }
    if (!is_voter) {
        settlement_.forget();
        voter_since_ = 0;
        if (std::exchange(complete_, false)) {
            base::log(base::log_level::info, "turn_replica_no_voter",
                      {{"view", view_.revision}, {"turns", index_.turn_count()}});
        }
    } else {
        const bool is_new = voter_since_ == 0;
        voter_since_ = is_new ? view_.revision : voter_since_;
        settlement_.set_voters(view_, options_.self);
        if (is_new && !complete_) {
            list_now();
        }
    }
    if (!has_kept_view()) {
        keep_view();
    }
}

/// Written before it is told to anybody: a member that forgets by a restart what it has told would
/// confirm again what others rely on its refusing.
void turn_replica::keep_view() {
    store_change change;
    change.view = known_view_;
    if (voter_since_ == 0) {
        change.complete = false;
    }
    store_.write(std::move(change), [this, alive = alive_, generation = generation_,
                                     written = known_view_](const absl::Status& status) {
        if (!*alive || generation != generation_) {
            return;
        }
        note_write(status);
        if (!status.ok()) {
            view_retry_ = loop_.after(options_.write_retry, [this] { keep_view(); });
            return;
        }
        kept_view_ = written;
    });
}

view_stamp turn_replica::told_view() const {
    return has_kept_view() ? known_view_ : kept_view_;
}

bool turn_replica::refuses(const view_stamp& asked) {
    const bool is_refused = is_outdated(asked, known_view_);
    outdated_requests_ += is_refused ? 1 : 0;
    return is_refused;
}

directory::storage_view turn_replica::newer_view() const {
    if (view_.revision == known_view_.revision) {
        return view_;
    }
    // Known from before a restart, and who its voters are has not been heard again.
    return {.revision = known_view_.revision, .members = {}, .groups = view_.groups};
}

void turn_replica::advance_settlement() {
    settlement_.advance(complete_, index_.last_listed());
    hurries_ = hurries_ && !settlement_.is_settled();
}

void turn_replica::hurry_settling() {
    if (!std::exchange(hurries_, true)) {
        list_now();
    }
}

void turn_replica::list_now() {
    for (auto& [node, other] : others_) {
        if (other.next != nullptr) {
            ask_listing(node);
        }
    }
}

}  // namespace pearbarrow::turns
