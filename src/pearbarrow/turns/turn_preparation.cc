#include "pearbarrow/turns/turn_preparation.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/turns/view_stamps.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {
namespace {

std::string chain_state(bool is_complete, chain_result result) {
    switch (result) {
        case chain_result::found:
            return "found";
        case chain_result::absent:
            return is_complete ? "absent" : "incomplete";
        case chain_result::partial:
            return "partial";
        case chain_result::unreadable:
            return "unreadable";
    }
    return "unknown";
}

}  // namespace

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
    timeout_ = loop_.after(options_.reserve_timeout, [this] { end(turn_outcome::unavailable); });
    if (members_.empty()) {
        timeout_ = loop_.after(base::milliseconds{0}, [this] { end(turn_outcome::unavailable); });
        return;
    }
    const member_state* chain_from = nearest();
    for (member_state& member : members_) {
        send_reserve(member, wants_chain() && &member == chain_from);
    }
    if (wants_chain()) {
        chain_timer_ = loop_.after(options_.chain_patience, [this] { read_from_all(); });
    }
}

const turn_preparation::member_state* turn_preparation::nearest() const {
    const auto found = std::find_if(
        members_.begin(), members_.end(),
        [this](const member_state& member) { return member.member.zone == options_.zone; });
    return found == members_.end() ? &members_.front() : &*found;
}

/// Load totals are requested from two members, so that one suffices if the other is down or new.
dispatch::load_report turn_preparation::load_report_for(const member_state& member) const {
    if (options_.loads == nullptr) {
        return {};
    }
    const auto second_source = std::next(
        members_.begin(), static_cast<std::ptrdiff_t>(
                              base::stable_hash(request_.wanted.turn.value()) % members_.size()));
    const bool wants_totals = &member == nearest() || &member == &*second_source;
    return options_.loads->report(wants_totals);
}

void turn_preparation::send_reserve(member_state& member, bool with_chain) {
    member.reserve_retry.reset();
    member.reservation = no_reply_reason;
    if (with_chain) {
        member.chain = no_reply_reason;
    }
    const reserve_request message{request_.wanted, request_.previous, with_chain,
                                  load_report_for(member), member.view};
    member.reserve_call = caller_.call(
        member.member, wire::turn_reserve, wire::encode(message), options_.call_timeout,
        [this, &member, with_chain](const absl::StatusOr<std::string>& payload) {
            on_reserve_reply(member, with_chain, payload);
        });
}

void turn_preparation::on_reserve_reply(member_state& member, bool with_chain,
                                        const absl::StatusOr<std::string>& payload) {
    auto reply = payload.ok() ? wire::decode<reserve_reply>(*payload)
                              : absl::StatusOr<reserve_reply>(payload.status());
    if (!reply.ok()) {
        member.reservation = failure_reason(reply.status());
        if (with_chain) {
            member.chain = member.reservation;
        }
        member.reserve_retry = loop_.after(options_.retry_interval, [this, &member, with_chain] {
            send_reserve(member, with_chain);
        });
        if (with_chain) {
            read_from_all();
        }
        return;
    }
    if (end_if_outdated(member, reply->newer)) {
        return;
    }
    member.confirmed = true;
    member.confirmed_complete = reply->is_complete;
    member.reservation = reply->is_complete ? "done" : "incomplete";
    known_.add(reply->reservations);
    for (const reservation_age& age : reply->ages) {
        base::milliseconds& longest = ages_[age.turn];
        longest = std::max(longest, base::milliseconds{age.milliseconds});
    }
    if (options_.loads != nullptr) {
        options_.loads->apply_totals(reply->load);
    }
    if (with_chain) {
        on_chain_result(member, reply->is_complete, reply->chain, std::move(reply->chain_text));
    }
    if (budget_fits_) {
        // If the member that sends the chain has the slowest disk, the chain arrives after the
        // majority has confirmed.
        finish_if_ready();
        return;
    }
    check_budget();
}

void turn_preparation::read_from_all() {
    if (reading_all_ || chain_.has_value() || callbacks_.done == nullptr) {
        return;
    }
    reading_all_ = true;
    for (member_state& member : members_) {
        if (!member.reports_absent) {
            send_read(member);
        }
    }
}

/// Few turns continue a turn of another program, so no record states which group stores it.
/// Querying all groups costs messages only in those cases.
void turn_preparation::read_other_groups() {
    if (reading_other_groups_ || chain_.has_value() || callbacks_.done == nullptr) {
        return;
    }
    reading_other_groups_ = true;
    for (std::uint32_t group = 0; group < views_.groups(); ++group) {
        if (group != group_) {
            other_members_.splice(other_members_.end(), states_of(views_.of(group)));
        }
    }
    // With a single group there are no other members to query.
    chain_is_absent_ = all_report_absent();
    for (member_state& member : other_members_) {
        member.in_other_group = true;
        send_read(member);
    }
}

void turn_preparation::send_read(member_state& member) {
    member.read_retry.reset();
    member.chain = no_reply_reason;
    const read_request message{
        .turn = request_.previous, .wants_records = member.in_other_group, .view = member.view};
    member.read_call =
        caller_.call(member.member, wire::turn_read, wire::encode(message), options_.call_timeout,
                     [this, &member](const absl::StatusOr<std::string>& payload) {
                         on_read_reply(member, payload);
                     });
}

void turn_preparation::set_copied_records(std::vector<turn_record> records) {
    for (turn_record& record : records) {
        // The copy is stored by the group of the program that continues it.
        record.program = request_.wanted.program;
    }
    copied_ = std::move(records);
}

void turn_preparation::on_read_reply(member_state& member,
                                     const absl::StatusOr<std::string>& payload) {
    auto reply = payload.ok() ? wire::decode<read_reply>(*payload)
                              : absl::StatusOr<read_reply>(payload.status());
    if (!reply.ok()) {
        member.chain = failure_reason(reply.status());
        member.read_retry =
            loop_.after(options_.retry_interval, [this, &member] { send_read(member); });
        return;
    }
    if (reply->chain != chain_result::found && end_if_outdated(member, reply->newer)) {
        return;
    }
    if (member.in_other_group && !chain_.has_value() && reply->chain == chain_result::found) {
        for (const turn_record& record : reply->records) {
            reply->chain_text += record.input;
            reply->chain_text += record.output;
        }
        set_copied_records(std::move(reply->records));
    }
    on_chain_result(member, reply->is_complete, reply->chain, std::move(reply->chain_text));
    finish_if_ready();
}

void turn_preparation::on_chain_result(member_state& member, bool is_complete, chain_result result,
                                       std::string text) {
    member.chain = chain_state(is_complete, result);
    if (chain_.has_value()) {
        return;
    }
    if (result == chain_result::found) {
        chain_ = std::move(text);
        return;
    }
    member.reports_partial = result == chain_result::partial;
    on_chain_absent(member, is_complete && result == chain_result::absent);
}

void turn_preparation::on_chain_absent(member_state& member, bool is_certain) {
    member.reports_absent = is_certain;
    if (!is_certain && reading_all_) {
        member.read_retry =
            loop_.after(options_.retry_interval, [this, &member] { send_read(member); });
    }
    chain_is_absent_ = all_report_absent();
    read_from_all();
    // A turn confirmed by this group is present in every majority of it.
    if (count(&member_state::reports_absent) >= majority_) {
        read_other_groups();
    }
}

bool turn_preparation::all_report_absent() const {
    const auto reports_absent = [](const member_state& member) { return member.reports_absent; };
    return reading_other_groups_ && std::all_of(members_.begin(), members_.end(), reports_absent) &&
           std::all_of(other_members_.begin(), other_members_.end(), reports_absent);
}

void turn_preparation::check_budget() {
    if (budget_fits_ || rereading_ || count(&member_state::confirmed) < majority_ ||
        count(&member_state::confirmed_complete) < majority_) {
        return;
    }
    switch (check_reserved(known_, request_.wanted, request_.budget)) {
        case budget_verdict::fits:
            budget_fits_ = true;
            finish_if_ready();
            return;
        case budget_verdict::exceeded:
            end(turn_outcome::budget_exceeded);
            return;
        case budget_verdict::needs_reread:
            reread_reservations();
            return;
    }
}

void turn_preparation::reread_reservations() {
    rereading_ = true;
    for (member_state& member : members_) {
        send_usage(member);
    }
}

void turn_preparation::send_usage(member_state& member) {
    member.reserve_retry.reset();
    member.reservation = no_reply_reason;
    member.reserve_call = caller_.call(
        member.member, wire::turn_usage,
        wire::encode(usage_request{request_.wanted.program, member.view}), options_.call_timeout,
        [this, &member](const absl::StatusOr<std::string>& payload) {
            on_usage_reply(member, payload);
        });
}

void turn_preparation::on_usage_reply(member_state& member,
                                      const absl::StatusOr<std::string>& payload) {
    const auto reply = payload.ok() ? wire::decode<usage_reply>(*payload)
                                    : absl::StatusOr<usage_reply>(payload.status());
    if (!reply.ok()) {
        member.reservation = failure_reason(reply.status());
        member.reserve_retry =
            loop_.after(options_.retry_interval, [this, &member] { send_usage(member); });
        return;
    }
    if (end_if_outdated(member, reply->newer)) {
        return;
    }
    known_.add(reply->reservations);
    member.has_reread = reply->is_complete;
    member.reservation = reply->is_complete ? "done" : "incomplete";
    if (budget_fits_ || count(&member_state::has_reread) < majority_) {
        return;
    }
    if (check_reread(known_, request_.wanted, request_.budget) == budget_verdict::exceeded) {
        end(turn_outcome::budget_exceeded);
        return;
    }
    budget_fits_ = true;
    finish_if_ready();
}

void turn_preparation::finish_if_ready() {
    if (chain_is_absent_) {
        end(turn_outcome::no_such_turn);
        return;
    }
    if (budget_fits_ && (!wants_chain() || chain_.has_value())) {
        end(turn_outcome::may_run);
    }
}

bool turn_preparation::end_if_outdated(const member_state& member,
                                       const std::optional<directory::storage_view>& newer) {
    if (!newer.has_value()) {
        return false;
    }
    const auto outdated = std::exchange(callbacks_, {}).outdated;
    if (!outdated) {
        return true;
    }
    timeout_.reset();
    chain_timer_.reset();
    outdated(views_.record_newer(member.member.group, *newer));
    return true;
}

void turn_preparation::end(turn_outcome outcome) {
    const auto done = std::exchange(callbacks_, {}).done;
    if (!done) {
        return;
    }
    timeout_.reset();
    chain_timer_.reset();
    prepared_turn result{.outcome = outcome,
                         .chain_text = std::move(chain_).value_or(std::string()),
                         .copied_records = std::move(copied_),
                         .other_tokens = known_.total_without(request_.wanted.turn),
                         .previous_backend = known_.backend_of(request_.previous),
                         .members_answered = count(&member_state::confirmed),
                         .partial_chains = count(&member_state::reports_partial),
                         .view_revision = view_revision_};
    if (const reservation* resumed = known_.find(request_.resumed); resumed != nullptr) {
        result.resumed = *resumed;
        result.resumed_age = age_of(request_.resumed);
    }
    for (const reservation& other : known_.others_with_content(request_.wanted)) {
        result.same_content.push_back({.reserved = other, .age = age_of(other.turn)});
    }
    if (outcome == turn_outcome::unavailable) {
        result.progress = progress();
    }
    done(std::move(result));
}

base::milliseconds turn_preparation::age_of(const turn_id& turn) const {
    const auto found = ages_.find(turn);
    return found == ages_.end() ? base::milliseconds{0} : found->second;
}

std::vector<member_progress> turn_preparation::progress() const {
    std::vector<member_progress> all;
    const auto add = [&](const member_state& state) {
        all.push_back({.member = state.member.node,
                       .reservation = state.reservation,
                       .chain = state.chain,
                       .silence = caller_.silence_of(state.member.node)});
    };
    std::for_each(members_.begin(), members_.end(), add);
    std::for_each(other_members_.begin(), other_members_.end(), add);
    return all;
}

std::size_t turn_preparation::count(bool member_state::*flag) const {
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [flag](const member_state& member) { return member.*flag; }));
}

}  // namespace pearbarrow::turns
