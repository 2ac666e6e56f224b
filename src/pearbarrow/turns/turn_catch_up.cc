// Keeps a storage member caught up with the other members of its group.
#include <algorithm>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/turns/turn_replica.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {

void turn_replica::request_listing(const base::node_id& node) {
    other_member& other = others_.at(node);
    other.next.reset();
    if (!accepts_writes()) {
        schedule_listing(other, entering_ ? options_.catch_up_interval : options_.listing_interval);
        return;
    }
    const list_request request{.requester = options_.self,
                               .disk = other.disk,
                               .after = other.taken,
                               .is_complete = complete_};
    other.call = rpc_.call(
        other.member.node, other.member.address, wire::turn_list, wire::encode(request),
        options_.call_timeout,
        {.on_part = nullptr, .on_done = [this, node](const absl::StatusOr<std::string>& payload) {
             on_listing(node, payload);
         }});
}

void turn_replica::on_listing(const base::node_id& node,
                              const absl::StatusOr<std::string>& payload) {
    other_member& other = others_.at(node);
    const auto listing = payload.ok() ? wire::decode<list_reply>(*payload)
                                      : absl::StatusOr<list_reply>(payload.status());
    if (!listing.ok()) {
        other.is_caught_up = false;
        schedule_listing(other, listing_delay(other));
        return;
    }
    other.last_reply_at = clock_.now();
    if (other.disk != listing->disk) {
        other.missing = {};
    }
    std::vector<turn_id> missing;
    std::copy_if(listing->turns.begin(), listing->turns.end(), std::back_inserter(missing),
                 [this](const turn_id& turn) { return !index_.has(turn); });
    if (!missing.empty()) {
        fetch_listed(node, std::move(missing), *listing);
        return;
    }
    on_records(node, wire::encode(fetch_reply{}), *listing);
}

void turn_replica::fetch_listed(const base::node_id& node, std::vector<turn_id> turns,
                                const list_reply& listing) {
    list_reply rest = listing;
    if (turns.size() > options_.fetched_turns) {
        // The next listing starts from the same position and contains the remaining turns.
        turns.resize(options_.fetched_turns);
        rest.through = {};
        rest.more = true;
    }
    fetch(node, {.turns = std::move(turns)}, std::move(rest));
}

bool turn_replica::fetch_missing(const base::node_id& node, const list_reply& listing) {
    other_member& other = others_.at(node);
    missing_pass& pass = other.missing;
    if (pass.requested.value().empty() && pass.finished == index_.missing_revision()) {
        return false;
    }
    if (pass.requested.value().empty()) {
        pass.revision = index_.missing_revision();
    }
    std::vector<turn_id> turns = index_.missing_turns(pass.requested, options_.fetched_turns);
    if (turns.empty()) {
        pass.requested = {};
        pass.finished = pass.revision;
        // The fetched turns may continue others that are not stored here.
        return fetch_missing(node, listing);
    }
    pass.requested = turns.back();
    fetch(node,
          {.turns = std::move(turns),
           .earlier_turns = static_cast<std::uint32_t>(options_.fetched_turns)},
          listing);
    return true;
}

void turn_replica::fetch(const base::node_id& node, fetch_request request, list_reply rest) {
    other_member& other = others_.at(node);
    other.call = rpc_.call(other.member.node, other.member.address, wire::turn_fetch,
                           wire::encode(request), options_.call_timeout,
                           {.on_part = nullptr,
                            .on_done = [this, node, rest = std::move(rest)](
                                           const absl::StatusOr<std::string>& fetched) {
                                on_records(node, fetched, rest);
                            }});
}

void turn_replica::on_records(const base::node_id& node, const absl::StatusOr<std::string>& payload,
                              const list_reply& listing) {
    auto records = payload.ok() ? wire::decode<fetch_reply>(*payload)
                                : absl::StatusOr<fetch_reply>(payload.status());
    if (!records.ok()) {
        others_.at(node).missing.requested = {};
        schedule_listing(others_.at(node), options_.catch_up_interval);
        return;
    }
    store_new(std::move(records->records), listing.reservations,
              [this, node, listing](const absl::Status& status) {
                  const auto other = others_.find(node);
                  if (other == others_.end()) {
                      return;
                  }
                  if (!status.ok()) {
                      other->second.missing.requested = {};
                      schedule_listing(other->second, options_.catch_up_interval);
                      return;
                  }
                  if (!fetch_missing(node, listing)) {
                      finish_listing(node, listing);
                  }
              });
}

void turn_replica::finish_listing(const base::node_id& node, const list_reply& listing) {
    other_member& other = others_.at(node);
    if (other.disk != listing.disk) {
        other.disk = listing.disk;
        other.taken = {};
    }
    other.taken = std::max(other.taken, listing.through);
    other.was_complete = listing.is_complete;
    other.replaces_lost_disk = !listing.is_complete && listing.replaces_lost_disk;
    other.is_caught_up = !listing.more;
    other.view = listing.view;
    settlement_.record_listing(
        node,
        {.view = listing.view, .is_complete = listing.is_complete, .is_caught_up = !listing.more});
    check_complete();
    advance_settlement();
    persist_positions();
    if (listing.more) {
        schedule_listing(other, base::milliseconds{0});
        return;
    }
    schedule_listing(other, listing_delay(other));
}

/// Everything up to the persisted positions is on this disk, so a restarted member requests
/// listings from there. Without the positions, each member would list all changes of all others
/// exactly when all callers reconnect.
void turn_replica::persist_positions() {
    const base::instant now = clock_.now();
    if (now - positions_persisted_at_ < options_.positions_interval) {
        return;
    }
    std::vector<peer_position> positions;
    for (const auto& [node, other] : others_) {
        if (other.taken != change_number()) {
            positions.push_back({node, other.disk, other.taken});
        }
    }
    if (positions == persisted_positions_) {
        // An idle fleet writes nothing.
        return;
    }
    positions_persisted_at_ = now;
    persisted_positions_ = positions;
    store_change change;
    change.positions = std::move(positions);
    store_.write(std::move(change), [this, alive = alive_](const absl::Status& status) {
        if (*alive) {
            record_write_result(status);
        }
    });
}

base::milliseconds turn_replica::listing_delay(const other_member& other) const {
    const bool is_awaited = !complete_ || other.member.retiring || accelerates_settlement_;
    return is_awaited ? options_.catch_up_interval : options_.listing_interval;
}

void turn_replica::schedule_listing(other_member& other, base::milliseconds delay) {
    other.next = loop_.after(delay, [this, node = other.member.node] { request_listing(node); });
}

read_members turn_replica::sources() const {
    read_members read;
    if (complete_ || voter_since_ == 0) {
        return read;
    }
    for (const auto& [node, other] : others_) {
        if (is_outdated(known_view_, other.view)) {
            // This member's view is old, and may lack members that hold confirmed writes.
            return {};
        }
        // Members that do not know yet that this member is a voter may still confirm writes for
        // senders that do not know it either, and this member would lack those writes.
        if (!other.is_caught_up || !knows_since(other.view, voter_since_)) {
            continue;
        }
        ++read.all;
        read.complete += other.was_complete ? 1 : 0;
        read.lost_disks += other.replaces_lost_disk ? 1 : 0;
    }
    return read;
}

void turn_replica::record_entry() {
    replaces_lost_disk_ = false;
    store_change change;
    change.replaces_lost_disk = false;
    store_.write(std::move(change), [](const absl::Status& /*status*/) {
        // Without the record, a restarted member reads from one more source.
    });
}

void turn_replica::check_complete() {
    if (complete_ || voter_since_ == 0) {
        return;
    }
    const read_members read = sources();
    if (!has_read_confirmed_writes(view_, replaces_lost_disk_, read)) {
        return;
    }
    complete_ = true;
    base::log(base::log_level::info, "turn_replica_complete",
              {{"turns", index_.turn_count()},
               {"view", view_.revision},
               {"read_from", read.all},
               {"complete_sources", read.complete}});
    replaces_lost_disk_ = false;
    store_change change;
    change.complete = true;
    change.replaces_lost_disk = false;
    store_.write(std::move(change), [](const absl::Status& /*status*/) {});
    if (on_complete_) {
        on_complete_();
    }
}

bool turn_replica::has_everything(const base::node_id& member) const {
    const auto found = listed_by_.find(member);
    return pending_writes_ == 0 && found != listed_by_.end() && found->second.is_complete &&
           found->second.disk == disk_ && found->second.through >= index_.last_listed();
}

base::instant turn_replica::last_reply_from(const base::node_id& member) const {
    const auto found = others_.find(member);
    return found == others_.end() ? started_ : found->second.last_reply_at;
}

bool turn_replica::is_caught_up_with(const base::node_id& member) const {
    const auto found = others_.find(member);
    return found != others_.end() && found->second.is_caught_up;
}

bool turn_replica::was_complete(const base::node_id& member) const {
    const auto found = others_.find(member);
    return found != others_.end() && found->second.was_complete;
}

std::size_t turn_replica::lagging_members() const {
    return static_cast<std::size_t>(
        std::count_if(others_.begin(), others_.end(),
                      [](const auto& entry) { return !entry.second.is_caught_up; }));
}

}  // namespace pearbarrow::turns
