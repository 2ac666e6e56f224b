#include "pearbarrow/turns/turn_preparation.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/turns/replica_groups.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {

turn_preparation::turn_preparation(net::event_loop& loop, member_caller& caller,
                                   const client_options& options,
                                   const directory::storage_view& view, turn_request request,
                                   std::function<void(prepared_turn)> done)
    : loop_(loop),
      caller_(caller),
      options_(options),
      request_(std::move(request)),
      done_(std::move(done)),
      view_revision_(view.revision),
      group_(group_of(view, request_.wanted.program)) {
    for (const directory::storage_member& member : voters_of(view)) {
        const bool is_elsewhere = member.group != group_;
        member_state& state = (is_elsewhere ? elsewhere_ : members_).emplace_back();
        state.member = member;
        state.is_elsewhere = is_elsewhere;
    }
    majority_ = members_.size() / 2 + 1;
}

void turn_preparation::start() {
    limit_ = loop_.after(options_.reserve_timeout, [this] { end(turn_outcome::unavailable); });
    if (members_.empty()) {
        limit_ = loop_.after(base::milliseconds{0}, [this] { end(turn_outcome::unavailable); });
        return;
    }
    const std::size_t chain_from = nearest();
    for (std::size_t index = 0; index < members_.size(); ++index) {
        send_reserve(members_[index], wants_chain() && index == chain_from);
    }
    if (wants_chain()) {
        patience_ = loop_.after(options_.chain_patience, [this] { read_from_all(); });
    }
}

std::size_t turn_preparation::nearest() const {
    for (std::size_t index = 0; index < members_.size(); ++index) {
        if (members_[index].member.zone == options_.zone) {
            return index;
        }
    }
    return 0;
}

/// The totals come from two members, so that one that is away or new leaves them to another.
dispatch::load_report turn_preparation::own_load(const member_state& member) const {
    if (options_.loads == nullptr) {
        return {};
    }
    const std::size_t drawn = base::stable_hash(request_.wanted.turn.value()) % members_.size();
    const bool wants_totals = &member == &members_[nearest()] || &member == &members_[drawn];
    return options_.loads->report(wants_totals);
}

void turn_preparation::send_reserve(member_state& member, bool with_chain) {
    member.reserve_retry.reset();
    const reserve_request message{request_.wanted, request_.previous, with_chain, own_load(member)};
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
    if (asked_all_ || chain_.has_value() || done_ == nullptr) {
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
    if (asked_elsewhere_ || chain_.has_value() || done_ == nullptr) {
        return;
    }
    asked_elsewhere_ = true;
    for (member_state& member : elsewhere_) {
        send_read(member);
    }
}

void turn_preparation::send_read(member_state& member) {
    member.read_retry.reset();
    const read_request question{.turn = request_.previous, .wants_records = member.is_elsewhere};
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
    return std::all_of(members_.begin(), members_.end(), says_absent) &&
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
        member.member, wire::turn_usage, wire::encode(usage_request{request_.wanted.program}),
        options_.call_timeout, [this, &member](const absl::StatusOr<std::string>& payload) {
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

void turn_preparation::end(turn_outcome outcome) {
    const auto done = std::exchange(done_, nullptr);
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
