// How a storage member keeps level with the others.
#include <algorithm>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/turns/loss_check.h"
#include "pearbarrow/turns/turn_replica.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {

void turn_replica::ask_listing(const base::node_id& node) {
    other_member& other = others_.at(node);
    other.next.reset();
    if (!takes_writes()) {
        ask_later(other, entering_ ? options_.catch_up_interval : options_.listing_interval);
        return;
    }
    const list_request request{.asker = options_.self, .disk = other.disk, .after = other.taken};
    other.call = rpc_.call(
        other.member.node, other.member.address, wire::turn_list, wire::encode(request),
        options_.call_timeout,
        {.on_part = nullptr, .on_done = [this, node](const absl::StatusOr<std::string>& payload) {
             take_listing(node, payload);
         }});
}

void turn_replica::take_listing(const base::node_id& node,
                                const absl::StatusOr<std::string>& payload) {
    other_member& other = others_.at(node);
    const auto listing = payload.ok() ? wire::decode<list_reply>(*payload)
                                      : absl::StatusOr<list_reply>(payload.status());
    if (!listing.ok()) {
        other.level = false;
        ask_later(other, pause_before_listing(other));
        return;
    }
    other.heard = clock_.now();
    std::vector<turn_id> missing;
    std::copy_if(listing->turns.begin(), listing->turns.end(), std::back_inserter(missing),
                 [this](const turn_id& turn) { return !index_.has(turn); });
    if (missing.empty()) {
        take_records(node, wire::encode(fetch_reply{}), *listing);
        return;
    }
    fetch_missing(node, std::move(missing), *listing);
}

void turn_replica::fetch_missing(const base::node_id& node, std::vector<turn_id> missing,
                                 const list_reply& listing) {
    list_reply rest = listing;
    if (missing.size() > options_.fetched_turns) {
        // The remaining ones come with the next listing, from the same place.
        missing.resize(options_.fetched_turns);
        rest.through = {};
        rest.more = true;
    }
    other_member& other = others_.at(node);
    other.call = rpc_.call(other.member.node, other.member.address, wire::turn_fetch,
                           wire::encode(fetch_request{std::move(missing)}), options_.call_timeout,
                           {.on_part = nullptr,
                            .on_done = [this, node, rest = std::move(rest)](
                                           const absl::StatusOr<std::string>& fetched) {
                                take_records(node, fetched, rest);
                            }});
}

void turn_replica::take_records(const base::node_id& node,
                                const absl::StatusOr<std::string>& payload,
                                const list_reply& listing) {
    auto records = payload.ok() ? wire::decode<fetch_reply>(*payload)
                                : absl::StatusOr<fetch_reply>(payload.status());
    if (!records.ok()) {
        ask_later(others_.at(node), options_.catch_up_interval);
        return;
    }
    store_new(std::move(records->records), listing.reservations,
              [this, node, listing](const absl::Status& status) {
                  const auto other = others_.find(node);
                  if (other == others_.end()) {
                      return;
                  }
                  if (!status.ok()) {
                      ask_later(other->second, options_.catch_up_interval);
                      return;
                  }
                  finish_listing(node, listing);
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
    other.level = !listing.more;
    other.view = listing.view;
    settlement_.note_listed(
        node,
        {.view = listing.view, .is_complete = listing.is_complete, .is_level = !listing.more});
    check_complete();
    advance_settlement();
    keep_positions();
    if (listing.more) {
        ask_later(other, base::milliseconds{0});
        return;
    }
    ask_later(other, pause_before_listing(other));
}

/// Everything up to the positions is on this disk: a restarted member asks from there on. Without
/// them each member would list all changes of all others, at the moment when all callers come back.
void turn_replica::keep_positions() {
    const base::instant now = clock_.now();
    if (now - positions_kept_at_ < options_.positions_interval) {
        return;
    }
    std::vector<peer_position> positions;
    for (const auto& [node, other] : others_) {
        if (other.taken != change_number()) {
            positions.push_back({node, other.disk, other.taken});
        }
    }
    if (positions == written_positions_) {
        // A fleet at rest writes nothing.
        return;
    }
    positions_kept_at_ = now;
    written_positions_ = positions;
    store_change change;
    change.positions = std::move(positions);
    store_.write(std::move(change), [this, alive = alive_](const absl::Status& status) {
        if (*alive) {
            note_write(status);
        }
    });
}

base::milliseconds turn_replica::pause_before_listing(const other_member& other) const {
    const bool is_awaited = !complete_ || other.member.retiring || hurries_;
    return is_awaited ? options_.catch_up_interval : options_.listing_interval;
}

void turn_replica::ask_later(other_member& other, base::milliseconds delay) {
    other.next = loop_.after(delay, [this, node = other.member.node] { ask_listing(node); });
}

/// Who doesn't know yet that this member is a voter may still confirm, to somebody who doesn't
/// either, what this one would then lack.
void turn_replica::check_complete() {
    if (complete_ || voter_since_ == 0) {
        return;
    }
    const auto read = static_cast<std::size_t>(
        std::count_if(others_.begin(), others_.end(), [this](const auto& entry) {
            const other_member& other = entry.second;
            return other.level && other.was_complete && !other.member.retiring &&
                   knows_since(other.view, voter_since_);
        }));
    if (read < sources_needed(voter_count(view_))) {
        return;
    }
    complete_ = true;
    base::log(base::log_level::info, "turn_replica_complete",
              {{"turns", index_.turn_count()}, {"view", view_.revision}, {"read_from", read}});
    store_change change;
    change.complete = true;
    store_.write(std::move(change), [](const absl::Status& /*status*/) {});
    if (on_complete_) {
        on_complete_();
    }
}

bool turn_replica::has_everything(const base::node_id& member) const {
    const auto found = listed_by_.find(member);
    return pending_writes_ == 0 && found != listed_by_.end() && found->second.disk == disk_ &&
           found->second.through >= index_.last_listed();
}

base::instant turn_replica::last_heard(const base::node_id& member) const {
    const auto found = others_.find(member);
    return found == others_.end() ? started_ : found->second.heard;
}

bool turn_replica::is_level_with(const base::node_id& member) const {
    const auto found = others_.find(member);
    return found != others_.end() && found->second.level;
}

std::size_t turn_replica::behind_count() const {
    return static_cast<std::size_t>(std::count_if(
        others_.begin(), others_.end(), [](const auto& entry) { return !entry.second.level; }));
}

}  // namespace pearbarrow::turns
