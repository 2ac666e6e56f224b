#include "pearbarrow/turns/turn_replica.h"

#include <algorithm>
#include <set>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/turns/replica_groups.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {
namespace {

absl::Status rejection(std::string_view reason) {
    return base::make_error(absl::StatusCode::kFailedPrecondition, "the member takes no writes",
                            {.step = "turn_replica", .reason = std::string(reason)});
}

std::string text_of(const std::vector<turn_record>& chain) {
    std::string text;
    for (const turn_record& record : chain) {
        text += record.input;
        text += record.output;
    }
    return text;
}

/// Decodes a request and passes it to the handler, or fails it.
template <typename Request, typename Handler>
net::peer_method_handler decoded(Handler handler) {
    return [handler](std::string_view payload, std::shared_ptr<net::peer_responder> responder) {
        auto request = wire::decode<Request>(payload);
        if (!request.ok()) {
            responder->fail(request.status());
            return;
        }
        handler(*std::move(request), std::move(responder));
    };
}

}  // namespace

turn_replica::turn_replica(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                           turn_store& store, replica_options options)
    : loop_(loop),
      rpc_(rpc),
      clock_(clock),
      store_(store),
      options_(std::move(options)),
      index_(options_.index),
      load_table_({}, clock.now()) {
    register_methods();
}

turn_replica::~turn_replica() {
    *alive_ = false;
}

void turn_replica::register_methods() {
    rpc_.register_method(wire::turn_reserve,
                         decoded<reserve_request>([this](auto request, auto responder) {
                             reserve(request, std::move(responder));
                         }));
    rpc_.register_method(
        wire::turn_read,
        decoded<read_request>([this](auto request, auto responder) { read(request, responder); }));
    rpc_.register_method(wire::turn_finish,
                         decoded<finish_request>([this](auto request, auto responder) {
                             finish(std::move(request), std::move(responder));
                         }));
    rpc_.register_method(
        wire::turn_list,
        decoded<list_request>([this](auto request, auto responder) { list(request, responder); }));
    rpc_.register_method(wire::turn_fetch,
                         decoded<fetch_request>(
                             [this](auto request, auto responder) { fetch(request, responder); }));
    rpc_.register_method(wire::turn_usage,
                         decoded<usage_request>(
                             [this](auto request, auto responder) { usage(request, responder); }));
}

absl::Status turn_replica::load() {
    auto contents = store_.load();
    if (!contents.ok()) {
        return contents.status();
    }
    disk_ = contents->disk;
    complete_ = contents->complete;
    // A store of an older build does not contain the value.
    replaces_lost_disk_ = !complete_ && contents->replaces_lost_disk.value_or(true);
    group_ = contents->group;
    known_view_ = contents->view;
    persisted_view_ = contents->view;
    index_.load(*contents, clock_.now(), clock_.unix_microseconds());
    for (peer_position& position : contents->positions) {
        loaded_positions_[position.node] = std::move(position);
    }
    base::log(base::log_level::info, "turn_store_loaded",
              {{"disk", disk_.value()},
               {"complete", complete_},
               {"turns", index_.turn_count()},
               {"programs", index_.program_count()},
               {"positions", loaded_positions_.size()}});
    return absl::OkStatus();
}

void turn_replica::start() {
    running_ = true;
    started_ = clock_.now();
    expiry_ = loop_.every(options_.expiry_interval, [this] { expire(); });
    for (auto& [node, other] : others_) {
        other.last_reply_at = started_;
        request_listing(node);
    }
}

// Between leaving a group and entering one, a member continues to copy from its former group,
// because it usually returns there.
void turn_replica::set_view(const directory::storage_view& view) {
    const directory::storage_member* self = view.find(options_.self);
    if (self != nullptr) {
        enter_group(self->group);
    }
    const bool has_group = group_.has_value() || view.groups == 1;
    view_ = has_group ? members_of(view, group_.value_or(0)) : directory::storage_view();
    for (auto at = others_.begin(); at != others_.end();) {
        at = view_.find(at->first) == nullptr ? others_.erase(at) : std::next(at);
    }
    for (const directory::storage_member& member : view_.members) {
        if (member.node == options_.self) {
            continue;
        }
        const bool is_new = others_.find(member.node) == others_.end();
        other_member& other = others_[member.node];
        if (const auto kept = loaded_positions_.find(member.node);
            is_new && kept != loaded_positions_.end()) {
            other.disk = kept->second.disk;
            other.taken = kept->second.taken;
        }
        const bool begins_to_retire = member.retiring && !other.member.retiring;
        const bool votes_again = other.member.retiring && !member.retiring;
        other.member = member;
        if ((is_new || votes_again) && running_) {
            other.last_reply_at = clock_.now();
        }
        // A retiring member cannot leave before this listing, and the operator waits for it.
        if (running_ && (is_new || begins_to_retire)) {
            request_listing(member.node);
        }
    }
    update_group_voters(self != nullptr && !self->retiring);
    check_complete();
}

void turn_replica::enter_group(std::uint32_t group) {
    if (group_ == group) {
        return;
    }
    store_change change;
    if (!group_.has_value()) {
        change.group = group;
    } else {
        base::log(base::log_level::warning, "replica_group_changed",
                  {{"from", *group_}, {"to", group}, {"turns_dropped", index_.turn_count()}});
        ++generation_;
        index_ = turn_index(options_.index);
        complete_ = false;
        // The id must change so that no member treats its position in the old contents as valid.
        disk_ = disk_id(disk_.value() + "+");
        others_.clear();
        listed_by_.clear();
        loaded_positions_.clear();
        persisted_positions_.clear();
        known_view_ = {};
        persisted_view_ = {};
        voter_since_ = 0;
        settlement_.reset();
        change.emptied_for = group_entry{.group = group, .disk = disk_};
    }
    group_ = group;
    entering_ = true;
    persist_group(std::move(change));
}

// Until the group is persisted, a restart would attribute the data to another group, so nothing is
// confirmed before.
void turn_replica::persist_group(store_change change) {
    store_.write(change, [this, alive = alive_, generation = generation_,
                          change](const absl::Status& status) {
        if (!*alive || generation != generation_) {
            return;
        }
        record_write_result(status);
        if (status.ok()) {
            entering_ = false;
            return;
        }
        group_retry_ = loop_.after(options_.write_retry, [this, change] { persist_group(change); });
    });
}

dispatch::load_totals turn_replica::totals_for(const dispatch::load_report& report) {
    return report.wants_totals ? load_table_.totals_excluding(report.node, clock_.now())
                               : dispatch::load_totals{};
}

void turn_replica::reserve(const reserve_request& request, responder_ptr responder) {
    load_table_.apply_report(request.load, clock_.now());
    if (rejects(request.view)) {
        responder->finish(wire::encode(reserve_reply{.newer = newer_view()}));
        return;
    }
    if (!accepts_writes()) {
        responder->fail(rejection(rejects_writes_ ? "member_retiring" : "member_entering_group"));
        return;
    }
    reservation wanted = request.wanted;
    wanted.previous = request.previous;
    store_new({}, {std::move(wanted)},
              [this, request, responder = std::move(responder)](const absl::Status& status) {
                  if (!status.ok()) {
                      responder->fail(status);
                      return;
                  }
                  reply_to_reserve(request, responder);
              });
}

void turn_replica::reply_to_reserve(const reserve_request& request,
                                    const responder_ptr& responder) {
    reserve_reply reply{.is_complete = complete_,
                        .reservations = index_.reservations(request.wanted.program)};
    reply.ages = index_.ages(request.wanted, clock_.now());
    if (request.wants_chain && !request.previous.value().empty()) {
        std::vector<turn_record> chain;
        reply.chain = read_chain(request.previous, chain);
        reply.chain_text = text_of(chain);
    }
    reply.load = totals_for(request.load);
    responder->finish(wire::encode(reply));
}

chain_result turn_replica::read_chain(const turn_id& last,
                                      std::vector<turn_record>& records) const {
    if (!index_.has(last)) {
        return chain_result::absent;
    }
    const auto turns = index_.chain(last);
    if (!turns.has_value()) {
        return chain_result::partial;
    }
    for (const turn_id& turn : *turns) {
        auto record = store_.read(turn);
        if (!record.ok()) {
            records.clear();
            return chain_result::unreadable;
        }
        records.push_back(*std::move(record));
    }
    return chain_result::found;
}

void turn_replica::read(const read_request& request, const responder_ptr& responder) {
    read_reply reply{.is_complete = complete_};
    std::vector<turn_record> chain;
    reply.chain = read_chain(request.turn, chain);
    if (request.wants_records) {
        reply.records = std::move(chain);
    } else {
        reply.chain_text = text_of(chain);
    }
    if (reply.chain != chain_result::found && rejects(request.view)) {
        reply.newer = newer_view();
    }
    responder->finish(wire::encode(reply));
}

void turn_replica::usage(const usage_request& request, const responder_ptr& responder) {
    if (rejects(request.view)) {
        responder->finish(wire::encode(usage_reply{.newer = newer_view()}));
        return;
    }
    responder->finish(wire::encode(usage_reply{
        .is_complete = complete_, .reservations = index_.reservations(request.program)}));
}

void turn_replica::finish(finish_request request, responder_ptr responder) {
    load_table_.apply_report(request.load, clock_.now());
    if (rejects(request.view)) {
        responder->finish(wire::encode(finish_reply{.newer = newer_view()}));
        return;
    }
    if (!accepts_writes()) {
        responder->fail(rejection(rejects_writes_ ? "member_retiring" : "member_entering_group"));
        return;
    }
    store_new(std::move(request.records), std::move(request.settled),
              [this, responder = std::move(responder)](const absl::Status& status) {
                  if (!status.ok()) {
                      responder->fail(status);
                      return;
                  }
                  responder->finish(wire::encode(finish_reply{.is_complete = complete_}));
              });
}

void turn_replica::store_new(std::vector<turn_record> records,
                             std::vector<reservation> reservations,
                             std::function<void(absl::Status)> done) {
    store_change change;
    const std::int64_t stored_at = clock_.unix_microseconds();
    for (turn_record& record : records) {
        if (!index_.has(record.turn)) {
            change.turns.push_back({index_.next_number(), stored_at, std::move(record)});
        }
    }
    for (reservation& value : reservations) {
        if (index_.adds_information(value)) {
            change.reservations.push_back({index_.next_number(), stored_at, std::move(value)});
        }
    }
    if (change.turns.empty() && change.reservations.empty()) {
        done(absl::OkStatus());
        return;
    }
    // The index receives the change without the texts of the turns.
    store_change indexed;
    indexed.reservations = change.reservations;
    for (const stored_turn& turn : change.turns) {
        indexed.turns.push_back({turn.number,
                                 turn.stored_at,
                                 {.turn = turn.record.turn,
                                  .program = turn.record.program,
                                  .previous = turn.record.previous,
                                  .input = {},
                                  .output = {},
                                  .retention_seconds = turn.record.retention_seconds}});
    }
    ++pending_writes_;
    store_.write(std::move(change),
                 [this, alive = alive_, generation = generation_, indexed = std::move(indexed),
                  done = std::move(done)](const absl::Status& status) {
                     if (!*alive) {
                         return;
                     }
                     --pending_writes_;
                     if (generation != generation_) {
                         // The write began before the data of that group was deleted.
                         done(rejection("member_left_group"));
                         return;
                     }
                     if (status.ok()) {
                         apply(indexed);
                     }
                     record_write_result(status);
                     done(status);
                 });
}

void turn_replica::apply(const store_change& change) {
    const base::instant now = clock_.now();
    for (const stored_turn& turn : change.turns) {
        index_.add(turn, now);
    }
    for (const stored_reservation& entry : change.reservations) {
        index_.add(entry, now);
    }
    log_missing_turns();
}

void turn_replica::log_missing_turns() {
    if (misses_turns_ == (index_.missing_count() > 0)) {
        return;
    }
    misses_turns_ = !misses_turns_;
    if (misses_turns_) {
        base::log(base::log_level::warning, "turns_missing",
                  {{"turn", index_.missing_turns({}, 1).front().value()},
                   {"turns", index_.missing_count()}});
    } else {
        base::log(base::log_level::info, "turns_missing_no_more");
    }
}

void turn_replica::record_write_result(const absl::Status& status) {
    if (write_failed_ == !status.ok()) {
        return;
    }
    write_failed_ = !status.ok();
    if (write_failed_) {
        base::log(base::log_level::warning, "turn_store_write_failed", base::log_fields(status));
    } else {
        base::log(base::log_level::info, "turn_store_write_regained");
    }
}

void turn_replica::list(const list_request& request, const responder_ptr& responder) {
    const change_number after = request.disk == disk_ ? request.after : change_number();
    listed_by_[request.requester] = {request.disk, after, request.is_complete};
    settlement_.record_stored(request.requester, after);
    advance_settlement();
    index_listing listing = index_.list(after, options_.listed_changes);
    responder->finish(wire::encode(list_reply{.disk = disk_,
                                              .is_complete = complete_,
                                              .turns = std::move(listing.turns),
                                              .reservations = std::move(listing.reservations),
                                              .through = listing.through,
                                              .more = listing.more,
                                              .view = persisted_view(),
                                              .replaces_lost_disk = replaces_lost_disk_}));
    if (on_listed_) {
        on_listed_();
    }
}

void turn_replica::fetch(const fetch_request& request, const responder_ptr& responder) {
    fetch_reply reply;
    for (const turn_id& turn : with_earlier_turns(request)) {
        auto record = store_.read(turn);
        if (record.ok()) {
            reply.records.push_back(*std::move(record));
        }
    }
    responder->finish(wire::encode(reply));
}

std::vector<turn_id> turn_replica::with_earlier_turns(const fetch_request& request) const {
    std::vector<turn_id> turns = request.turns;
    std::set<turn_id> added(turns.begin(), turns.end());
    std::size_t left = request.earlier_turns;
    for (const turn_id& turn : request.turns) {
        for (turn_id at = index_.previous_of(turn); left > 0 && index_.has(at);
             at = index_.previous_of(at)) {
            if (!added.insert(at).second) {
                break;
            }
            turns.push_back(at);
            --left;
        }
    }
    return turns;
}

void turn_replica::expire() {
    const base::instant now = clock_.now();
    store_change dropped = index_.expire(now);
    if (dropped.dropped_turns.empty() && dropped.dropped_reservations.empty()) {
        return;
    }
    store_.write(std::move(dropped), [](const absl::Status& /*status*/) {});
    if (index_.has_expired_turns(now)) {
        further_expiry_ = loop_.after(base::milliseconds{0}, [this] { expire(); });
    }
}

}  // namespace pearbarrow::turns
