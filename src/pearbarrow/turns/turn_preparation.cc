#include "pearbarrow/turns/turn_preparation.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/turns/view_stamps.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {

turn_preparation::turn_preparation(net::event_loop& loop, member_caller& caller,
                                   const client_options& options, group_views& views,
                                   turn_request request, callbacks callbacks)
    : loop_(loop),
      caller_(caller),
      options_(options),
      views_(views),
      request_(std::move(request)),
      callbacks_(std::move(callbacks)),
      group_(views.group_of(request_.wanted.program)) {
    const directory::storage_view group = views.of(group_);
    view_revision_ = group.revision;
    members_ = states_of(group);
    majority_ = members_.size() / 2 + 1;
}

std::list<turn_preparation::member_state> turn_preparation::states_of(
    const directory::storage_view& group) {
    const view_stamp stamp = stamp_of(group);
    std::list<member_state> states;
    for (directory::storage_member& member : voters_of(group)) {
        member_state& state = states.emplace_back();
        state.member = std::move(member);
        state.view = stamp;
    }
    return states;
}

void turn_preparation::start() {
    limit_ = loop_.after(options_.reserve_timeout, [this] { end(turn_outcome::unavailable); });
    if (members_.empty()) {
        limit_ = loop_.after(base::milliseconds{0}, [this] { end(turn_outcome::unavailable); });
        return;
    }
    const member_state* chain_from = nearest();
    for (member_state& member : members_) {
        send_reserve(member, wants_chain() && &member == chain_from);
    }
    if (wants_chain()) {
        patience_ = loop_.after(options_.chain_patience, [this] { read_from_all(); });
    }
}

const turn_preparation::member_state* turn_preparation::nearest() const {
    const auto found = std::find_if(
        members_.begin(), members_.end(),
        [this](const member_state& member) { return member.member.zone == options_.zone; });
    return found == members_.end() ? &members_.front() : &*found;
}

/// The totals come from two members, so that one that is away or new leaves them to another.
dispatch::load_report turn_preparation::own_load(const member_state& member) const {
    if (options_.loads == nullptr) {
        return {};
    }
    const auto drawn = std::next(
        members_.begin(), static_cast<std::ptrdiff_t>(
                              base::stable_hash(request_.wanted.turn.value()) % members_.size()));
    const bool wants_totals = &member == nearest() || &member == &*drawn;
    return options_.loads->report(wants_totals);
}

void turn_preparation::send_reserve(member_state& member, bool with_chain) {
    member.reserve_retry.reset();
    const reserve_request message{request_.wanted, request_.previous, with_chain, own_load(member),
                                  member.view};
    member.reserve_call = caller_.call(
        member.member, wire::turn_reserve, wire::encode(message), options_.call_timeout,
        [this, &member, with_chain](const absl::StatusOr<std::string>& payload) {
            take_reserve(member, with_chain, payload);
        });
}

void turn_preparation::take_reserve(member_state& member, bool with_chain,
                                    const absl::StatusOr<std::string>& payload) {
    auto reply = payload.ok() ? wire::decode<reserve_reply>(*payload)
                              : absl::StatusOr<reserve_reply>(payload.status());
    if (!reply.ok()) {
        member.reserve_retry = loop_.after(options_.retry_interval, [this, &member, with_chain] {
            send_reserve(member, with_chain);
        });
        if (with_chain) {
            read_from_all();
        }
        return;
    }
    if (ends_outdated(member, reply->newer)) {
        return;
    }
    member.confirmed = true;
    member.confirmed_complete = reply->is_complete;
    known_.add(reply->reservations);
    if (options_.loads != nullptr) {
        options_.loads->take(reply->load);
    }
    if (with_chain) {
        take_chain(member, reply->is_complete, reply->chain, std::move(reply->chain_text));
    }
    if (budget_fits_) {
        // The chain comes after most have confirmed when its member's disk is the slowest.
        go_on();
        return;
    }
    judge();
}

void turn_preparation::read_from_all() {
    if (asked_all_ || chain_.has_value() || callbacks_.done == nullptr) {
        return;
    }
    asked_all_ = true;
    for (member_state& member : members_) {
        if (!member.says_absent) {
            send_read(member);
        }
    }
}

/// Few turns go on from another program's, so no record says which group has them: asking everybody
/// costs some messages then, and nothing otherwise.
void turn_preparation::read_elsewhere() {
    if (asked_elsewhere_ || chain_.has_value() || callbacks_.done == nullptr) {
        return;
    }
    asked_elsewhere_ = true;
    for (std::uint32_t group = 0; group < views_.groups(); ++group) {
        if (group != group_) {
            elsewhere_.splice(elsewhere_.end(), states_of(views_.of(group)));
        }
    }
    // A fleet of one group has nobody else to ask.
    chain_is_absent_ = all_say_absent();
    for (member_state& member : elsewhere_) {
        member.is_elsewhere = true;
        send_read(member);
    }
}

void turn_preparation::send_read(member_state& member) {
    member.read_retry.reset();
    const read_request question{
        .turn = request_.previous, .wants_records = member.is_elsewhere, .view = member.view};
    member.read_call =
        caller_.call(member.member, wire::turn_read, wire::encode(question), options_.call_timeout,
                     [this, &member](const absl::StatusOr<std::string>& payload) {
                         take_read(member, payload);
                     });
}

void turn_preparation::copy_records(std::vector<turn_record> records) {
    for (turn_record& record : records) {
        // The copy is kept by the group of the program that goes on from it.
        record.program = request_.wanted.program;
    }
    copied_ = std::move(records);
}

void turn_preparation::take_read(member_state& member, const absl::StatusOr<std::string>& payload) {
    auto reply = payload.ok() ? wire::decode<read_reply>(*payload)
                              : absl::StatusOr<read_reply>(payload.status());
    if (!reply.ok()) {
        member.read_retry =
            loop_.after(options_.retry_interval, [this, &member] { send_read(member); });
        return;
    }
    if (reply->chain != chain_result::found && ends_outdated(member, reply->newer)) {
        return;
    }
    if (member.is_elsewhere && !chain_.has_value() && reply->chain == chain_result::found) {
        for (const turn_record& record : reply->records) {
            reply->chain_text += record.input;
            reply->chain_text += record.output;
        }
        copy_records(std::move(reply->records));
    }
    take_chain(member, reply->is_complete, reply->chain, std::move(reply->chain_text));
    go_on();
}

void turn_preparation::take_chain(member_state& member, bool is_complete, chain_result result,
                                  std::string text) {
    if (chain_.has_value()) {
        return;
    }
    if (result == chain_result::found) {
        chain_ = std::move(text);
        return;
    }
    take_absent(member, is_complete && result == chain_result::absent);
}

void turn_preparation::take_absent(member_state& member, bool is_certain) {
    member.says_absent = is_certain;
    if (!is_certain && asked_all_) {
        member.read_retry =
            loop_.after(options_.retry_interval, [this, &member] { send_read(member); });
    }
    chain_is_absent_ = all_say_absent();
    read_from_all();
    // A turn that this group has confirmed is at one of any majority.
    if (count(&member_state::says_absent) >= majority_) {
        read_elsewhere();
    }
}

bool turn_preparation::all_say_absent() const {
    const auto says_absent = [](const member_state& member) { return member.says_absent; };
    return asked_elsewhere_ && std::all_of(members_.begin(), members_.end(), says_absent) &&
           std::all_of(elsewhere_.begin(), elsewhere_.end(), says_absent);
}

void turn_preparation::judge() {
    if (budget_fits_ || looking_again_ || count(&member_state::confirmed) < majority_ ||
        count(&member_state::confirmed_complete) < majority_) {
        return;
    }
    switch (judge_first(known_, request_.wanted, request_.budget)) {
        case budget_verdict::fits:
            budget_fits_ = true;
            go_on();
            return;
        case budget_verdict::exceeded:
            end(turn_outcome::budget_exceeded);
            return;
        case budget_verdict::look_again:
            look_again();
            return;
    }
}

void turn_preparation::look_again() {
    looking_again_ = true;
    for (member_state& member : members_) {
        send_usage(member);
    }
}

void turn_preparation::send_usage(member_state& member) {
    member.reserve_retry.reset();
    member.reserve_call = caller_.call(
        member.member, wire::turn_usage,
        wire::encode(usage_request{request_.wanted.program, member.view}), options_.call_timeout,
        [this, &member](const absl::StatusOr<std::string>& payload) {
            take_usage(member, payload);
        });
}

void turn_preparation::take_usage(member_state& member,
                                  const absl::StatusOr<std::string>& payload) {
    const auto reply = payload.ok() ? wire::decode<usage_reply>(*payload)
                                    : absl::StatusOr<usage_reply>(payload.status());
    if (!reply.ok()) {
        member.reserve_retry =
            loop_.after(options_.retry_interval, [this, &member] { send_usage(member); });
        return;
    }
    if (ends_outdated(member, reply->newer)) {
        return;
    }
    known_.add(reply->reservations);
    member.looked_again = reply->is_complete;
    if (budget_fits_ || count(&member_state::looked_again) < majority_) {
        return;
    }
    if (judge_again(known_, request_.wanted, request_.budget) == budget_verdict::exceeded) {
        end(turn_outcome::budget_exceeded);
        return;
    }
    budget_fits_ = true;
    go_on();
}

void turn_preparation::go_on() {
    if (chain_is_absent_) {
        end(turn_outcome::no_such_turn);
        return;
    }
    if (budget_fits_ && (!wants_chain() || chain_.has_value())) {
        end(turn_outcome::may_run);
    }
}

bool turn_preparation::ends_outdated(const member_state& member,
                                     const std::optional<directory::storage_view>& newer) {
    if (!newer.has_value()) {
        return false;
    }
    const auto outdated = std::exchange(callbacks_, {}).outdated;
    if (!outdated) {
        return true;
    }
    limit_.reset();
    patience_.reset();
    outdated(views_.note_newer(member.member.group, *newer));
    return true;
}

void turn_preparation::end(turn_outcome outcome) {
    const auto done = std::exchange(callbacks_, {}).done;
    if (!done) {
        return;
    }
    limit_.reset();
    patience_.reset();
    prepared_turn result{.outcome = outcome,
                         .chain_text = std::move(chain_).value_or(std::string()),
                         .copied = std::move(copied_),
                         .other_tokens = known_.total_without(request_.wanted.turn),
                         .earlier_backend = known_.backend_of(request_.previous),
                         .members_answered = count(&member_state::confirmed),
                         .view_revision = view_revision_};
    done(std::move(result));
}

std::size_t turn_preparation::count(bool member_state::*flag) const {
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [flag](const member_state& member) { return member.*flag; }));
}

}  // namespace pearbarrow::turns
