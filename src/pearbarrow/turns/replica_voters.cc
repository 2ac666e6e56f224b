// Tracks the voters of a storage member's group and the consequences of voter changes.
#include "pearbarrow/base/log.h"
#include "pearbarrow/turns/turn_replica.h"

namespace pearbarrow::turns {

void turn_replica::update_group_voters(bool is_voter) {
    const view_stamp next = stamp_of(view_);
    if (next.revision > known_view_.revision) {
        known_view_ = next;
    }
    if (!is_voter) {
        settlement_.reset();
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
            list_all_now();
        }
    }
    if (!is_view_persisted()) {
        persist_view();
    }
}

/// The view is persisted before it is reported to other members. Otherwise a restarted member could
/// again confirm writes that others rely on it to reject.
void turn_replica::persist_view() {
    store_change change;
    change.view = known_view_;
    if (voter_since_ == 0) {
        change.complete = false;
        change.replaces_lost_disk = replaces_lost_disk_;
    }
    store_.write(std::move(change), [this, alive = alive_, generation = generation_,
                                     written = known_view_](const absl::Status& status) {
        if (!*alive || generation != generation_) {
            return;
        }
        record_write_result(status);
        if (!status.ok()) {
            view_retry_ = loop_.after(options_.write_retry, [this] { persist_view(); });
            return;
        }
        persisted_view_ = written;
    });
}

view_stamp turn_replica::persisted_view() const {
    return is_view_persisted() ? known_view_ : persisted_view_;
}

bool turn_replica::rejects(const view_stamp& sender) {
    const bool is_rejected = is_outdated(sender, known_view_);
    outdated_requests_ += is_rejected ? 1 : 0;
    return is_rejected;
}

directory::storage_view turn_replica::newer_view() const {
    if (view_.revision == known_view_.revision) {
        return view_;
    }
    // The revision was restored from disk, but the voters of that view have not been received since
    // the restart.
    return {.revision = known_view_.revision, .members = {}, .groups = view_.groups};
}

void turn_replica::advance_settlement() {
    settlement_.advance(complete_, index_.last_listed());
    accelerates_settlement_ = accelerates_settlement_ && !settlement_.is_settled();
}

void turn_replica::accelerate_settlement() {
    if (!std::exchange(accelerates_settlement_, true)) {
        list_all_now();
    }
}

void turn_replica::list_all_now() {
    for (auto& [node, other] : others_) {
        if (other.next != nullptr) {
            request_listing(node);
        }
    }
}

}  // namespace pearbarrow::turns
