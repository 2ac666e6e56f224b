#include "pearbarrow/turns/turn_replica.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {
namespace {

constexpr base::milliseconds expiry_interval{5'000};

absl::Status refused(std::string_view reason) {
    return base::make_error(absl::StatusCode::kFailedPrecondition, "the member takes no writes",
                            {.step = "turn_replica", .reason = std::string(reason)});
}

/// Decodes a request and hands it on, or refuses it.
template <typename Request, typename Handler>
net::peer_method_handler decoded(Handler handler) {
    return [handler](std::string_view payload, std::shared_ptr<net::peer_responder> answer) {
        auto request = wire::decode<Request>(payload);
        if (!request.ok()) {
            answer->fail(request.status());
            return;
        }
        handler(*std::move(request), std::move(answer));
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
      index_(options_.index) {
    register_methods();
}

turn_replica::~turn_replica() {
    *alive_ = false;
}

void turn_replica::register_methods() {
    rpc_.register_method(wire::turn_reserve,
                         decoded<reserve_request>([this](auto request, auto answer) {
                             reserve(request, std::move(answer));
                         }));
    rpc_.register_method(wire::turn_read, decoded<read_request>([this](auto request, auto answer) {
                             read(request, answer);
                         }));
    rpc_.register_method(wire::turn_finish,
                         decoded<finish_request>([this](auto request, auto answer) {
                             finish(std::move(request), std::move(answer));
                         }));
    rpc_.register_method(wire::turn_list, decoded<list_request>([this](auto request, auto answer) {
                             list(request, answer);
                         }));
    rpc_.register_method(
        wire::turn_fetch,
        decoded<fetch_request>([this](auto request, auto answer) { fetch(request, answer); }));
    rpc_.register_method(
        wire::turn_usage,
        decoded<usage_request>([this](auto request, auto answer) { usage(request, answer); }));
}

absl::Status turn_replica::load() {
    auto contents = store_.load();
    if (!contents.ok()) {
        return contents.status();
    }
    disk_ = contents->disk;
    complete_ = contents->complete;
    index_.load(*contents, clock_.now(), clock_.unix_microseconds());
    base::log(base::log_level::info, "turn_store_loaded",
              {{"disk", disk_.value()},
               {"complete", complete_},
               {"turns", index_.turn_count()},
               {"programs", index_.program_count()}});
    return absl::OkStatus();
}

void turn_replica::start() {
    running_ = true;
    started_ = clock_.now();
    expiry_ = loop_.every(expiry_interval, [this] { expire(); });
    for (auto& [node, other] : others_) {
        other.heard = started_;
        ask_listing(node);
    }
}

void turn_replica::set_view(const directory::storage_view& view) {
    view_ = view;
    for (auto at = others_.begin(); at != others_.end();) {
        at = view_.find(at->first) == nullptr ? others_.erase(at) : std::next(at);
    }
    for (const directory::storage_member& member : view_.members) {
        if (member.node == options_.self) {
            continue;
        }
        const bool is_new = others_.find(member.node) == others_.end();
        other_member& other = others_[member.node];
        const bool begins_to_retire = member.retiring && !other.member.retiring;
        other.member = member;
        if (is_new && running_) {
            other.heard = clock_.now();
        }
        // One that retires waits for this listing, and the operator waits for the one that retires.
        if (running_ && (is_new || begins_to_retire)) {
            ask_listing(member.node);
        }
    }
    check_complete();
}

void turn_replica::reserve(const reserve_request& request, responder answer) {
    if (refusing_) {
        answer->fail(refused("member_retiring"));
        return;
    }
    store_new({}, {request.wanted},
              [this, request, answer = std::move(answer)](const absl::Status& status) {
                  if (!status.ok()) {
                      answer->fail(status);
                      return;
                  }
                  answer_reserve(request, answer);
              });
}

void turn_replica::answer_reserve(const reserve_request& request, const responder& answer) {
    reserve_reply reply{.is_complete = complete_,
                        .reservations = index_.reservations(request.wanted.program)};
    if (request.wants_chain && !request.previous.value().empty()) {
        reply.chain = read_chain(request.previous, reply.chain_text);
    }
    answer->finish(wire::encode(reply));
}

chain_result turn_replica::read_chain(const turn_id& last, std::string& text) const {
    const auto turns = index_.chain(last);
    if (!turns.has_value()) {
        return chain_result::absent;
    }
    for (const turn_id& turn : *turns) {
        const auto record = store_.read(turn);
        if (!record.ok()) {
            text.clear();
            return chain_result::unreadable;
        }
        text += record->input;
        text += record->output;
    }
    return chain_result::found;
}

void turn_replica::read(const read_request& request, const responder& answer) {
    read_reply reply{.is_complete = complete_};
    reply.chain = read_chain(request.turn, reply.chain_text);
    answer->finish(wire::encode(reply));
}

void turn_replica::usage(const usage_request& request, const responder& answer) {
    answer->finish(wire::encode(usage_reply{.is_complete = complete_,
                                            .reservations = index_.reservations(request.program)}));
}

void turn_replica::finish(finish_request request, responder answer) {
    if (refusing_) {
        answer->fail(refused("member_retiring"));
        return;
    }
    store_new(std::move(request.records), std::move(request.settled),
              [this, answer = std::move(answer)](const absl::Status& status) {
                  if (!status.ok()) {
                      answer->fail(status);
                      return;
                  }
                  answer->finish(wire::encode(finish_reply{.is_complete = complete_}));
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
        if (index_.is_news(value)) {
            change.reservations.push_back({index_.next_number(), stored_at, std::move(value)});
        }
    }
    if (change.turns.empty() && change.reservations.empty()) {
        done(absl::OkStatus());
        return;
    }
    // The index takes the change without the turns' texts.
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
    store_.write(std::move(change), [this, alive = alive_, indexed = std::move(indexed),
                                     done = std::move(done)](const absl::Status& status) {
        if (!*alive) {
            return;
        }
        --pending_writes_;
        if (status.ok()) {
            apply(indexed);
        }
        note_write(status);
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
}

void turn_replica::note_write(const absl::Status& status) {
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

void turn_replica::list(const list_request& request, const responder& answer) {
    const change_number after = request.disk == disk_ ? request.after : change_number();
    listed_by_[request.asker] = {request.disk, after};
    index_listing listing = index_.list(after, options_.listed_changes);
    answer->finish(wire::encode(list_reply{.disk = disk_,
                                           .is_complete = complete_,
                                           .turns = std::move(listing.turns),
                                           .reservations = std::move(listing.reservations),
                                           .through = listing.through,
                                           .more = listing.more}));
    if (on_listed_) {
        on_listed_();
    }
}

void turn_replica::fetch(const fetch_request& request, const responder& answer) {
    fetch_reply reply;
    for (const turn_id& turn : request.turns) {
        auto record = store_.read(turn);
        if (record.ok()) {
            reply.records.push_back(*std::move(record));
        }
    }
    answer->finish(wire::encode(reply));
}

void turn_replica::ask_listing(const base::node_id& node) {
    other_member& other = others_.at(node);
    other.next.reset();
    if (refusing_) {
        ask_later(other, options_.listing_interval);
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
    check_complete();
    if (listing.more) {
        ask_later(other, base::milliseconds{0});
        return;
    }
    ask_later(other, pause_before_listing(other));
}

base::milliseconds turn_replica::pause_before_listing(const other_member& other) const {
    const bool is_awaited = !complete_ || other.member.retiring;
    return is_awaited ? options_.catch_up_interval : options_.listing_interval;
}

void turn_replica::ask_later(other_member& other, base::milliseconds delay) {
    other.next = loop_.after(delay, [this, node = other.member.node] { ask_listing(node); });
}

void turn_replica::check_complete() {
    if (complete_ || view_.members.empty()) {
        return;
    }
    const auto read = static_cast<std::size_t>(std::count_if(
        others_.begin(), others_.end(),
        [](const auto& entry) { return entry.second.level && entry.second.was_complete; }));
    // A confirmed write is on a majority; one copy may have been on this member's lost disk.
    const std::size_t needed = view_.members.size() - view_.majority() + 1;
    if (read < needed) {
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

void turn_replica::expire() {
    store_change dropped = index_.expire(clock_.now());
    if (dropped.dropped_turns.empty() && dropped.dropped_reservations.empty()) {
        return;
    }
    store_.write(std::move(dropped), [](const absl::Status& /*status*/) {});
}

}  // namespace pearbarrow::turns
