#include "pearbarrow/turns/storage_membership.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/turns/loss_check.h"

namespace pearbarrow::turns {
storage_membership::storage_membership(net::event_loop& loop, const base::clock& clock,
                                       turn_replica& replica,
                                       storage_register& storage_view_register,
                                       membership_options options)
    : loop_(loop),
      clock_(clock),
      replica_(replica),
      register_(storage_view_register),
      options_(std::move(options)) {}

storage_membership::~storage_membership() {
    replica_.on_listed(nullptr);
}

void storage_membership::start() {
    replica_.on_listed([this] {
        if (retirement_requested_.value_or(false)) {
            check();
        }
    });
    timer_ = loop_.every(options_.check_interval, [this] { check(); });
}

void storage_membership::set_view(const directory::storage_view& view) {
    view_ = view;
    const auto* self = view.find(options_.self.node);
    replica_.reject_writes(self != nullptr && self->retiring);
    check();
}

void storage_membership::set_retiring(bool retiring) {
    const bool is_changed = retirement_requested_ != retiring;
    retirement_requested_ = retiring;
    if (is_changed && retiring) {
        check();
    }
}

void storage_membership::set_candidates(std::vector<directory::storage_member> candidates) {
    if (view_.has_value() || candidates == candidates_) {
        return;
    }
    candidates_ = std::move(candidates);
    schedule_formation();
}

void storage_membership::announce() {
    if (announced_ || announcing_) {
        return;
    }
    announcing_ = true;
    register_.announce(options_.self, [this](const absl::Status& status) {
        announcing_ = false;
        announced_ = status.ok();
    });
}

void storage_membership::schedule_formation() {
    const auto before_self = std::count_if(
        candidates_.begin(), candidates_.end(),
        [this](const auto& candidate) { return candidate.node < options_.self.node; });
    formation_timer_ =
        loop_.after(options_.formation_quiet + before_self * options_.formation_stagger,
                    [this] { form_view(); });
}

void storage_membership::form_view() {
    const bool is_candidate =
        std::any_of(candidates_.begin(), candidates_.end(),
                    [this](const auto& candidate) { return candidate.node == options_.self.node; });
    if (view_.has_value() || !register_empty_ || proposing_ || !is_candidate) {
        return;
    }
    directory::storage_view first = form_groups(candidates_, options_.groups);
    base::log(base::log_level::info, "storage_view_formed",
              {{"members", first.members.size()}, {"groups", first.groups}});
    propose(std::move(first));
    // Retries if the proposal is rejected and no view arrives.
    schedule_formation();
}

void storage_membership::check() {
    if (proposing_ || !retirement_requested_.has_value()) {
        return;
    }
    if (*retirement_requested_) {
        advance_retirement();
        return;
    }
    if (!view_.has_value()) {
        if (register_empty_) {
            announce();
        }
        return;
    }
    if (auto next = next_view(); next.has_value()) {
        propose(*std::move(next));
    }
}

std::optional<directory::storage_view> storage_membership::next_view() {
    const auto* self = view_->find(options_.self.node);
    const bool would_be_voter = self == nullptr || self->retiring;
    if (would_be_voter && !replica_.is_view_persisted()) {
        return std::nullopt;
    }
    if (self == nullptr) {
        directory::storage_view next = *view_;
        directory::storage_member entry = options_.self;
        const auto group = group_to_enter(*view_, entry, replica_.group(), options_.groups);
        log_waiting(!group.has_value());
        if (!group.has_value()) {
            return std::nullopt;
        }
        entry.group = *group;
        next.members.push_back(std::move(entry));
        return next;
    }
    if (self->address != options_.self.address || self->retiring) {
        directory::storage_view next = *view_;
        for (auto& member : next.members) {
            if (member.node == options_.self.node) {
                const std::uint32_t group = member.group;
                member = options_.self;
                member.group = group;
            }
        }
        return next;
    }
    return view_without_dead_member();
}

void storage_membership::log_waiting(bool is_waiting) {
    if (std::exchange(is_waiting_to_enter_, is_waiting) == is_waiting) {
        return;
    }
    base::log(base::log_level::warning,
              is_waiting ? "storage_member_waits" : "storage_member_enters",
              {{"zone", options_.self.zone},
               {"view", view_->revision},
               {"reason", "losing a zone would cost its group the majority"}});
}

/// A dead voter first loses its vote and stays in the view, so that a member with a new disk still
/// counts it among those that may hold confirmed writes. It leaves the view once the remaining
/// voters have stored everything that it may have confirmed.
std::optional<directory::storage_view> storage_membership::view_without_dead_member() {
    if (!replica_.is_complete()) {
        return std::nullopt;
    }
    const directory::storage_view group = own_group();
    const directory::storage_member* dead = find_dead(group);
    if (dead == nullptr) {
        log_kept({});
        return std::nullopt;
    }
    return dead->retiring ? view_without(*dead) : view_without_vote_of(*dead, group);
}

const directory::storage_member* storage_membership::find_dead(
    const directory::storage_view& group) const {
    const directory::storage_member* found = nullptr;
    for (const directory::storage_member& member : group.members) {
        if (is_dead(member.node) && (found == nullptr || member.retiring)) {
            found = &member;
        }
    }
    return found;
}

std::optional<directory::storage_view> storage_membership::view_without(
    const directory::storage_member& dead) {
    if (!can_remove_voter()) {
        return std::nullopt;
    }
    directory::storage_view next = *view_;
    std::erase_if(next.members, [&](const auto& member) { return member.node == dead.node; });
    base::log(base::log_level::info, "storage_member_removed",
              {{"member", dead.node.value()}, {"group", dead.group}, {"view", view_->revision}});
    return next;
}

std::optional<directory::storage_view> storage_membership::view_without_vote_of(
    const directory::storage_member& dead, const directory::storage_view& group) {
    const read_members read = read_voters(group);
    if (!may_remove_voter(group, read)) {
        log_kept(dead.node, read);
        return std::nullopt;
    }
    if (!can_remove_voter()) {
        return std::nullopt;
    }
    directory::storage_view next = *view_;
    for (directory::storage_member& member : next.members) {
        member.retiring = member.retiring || member.node == dead.node;
    }
    base::log(base::log_level::warning, "storage_member_dead",
              {{"member", dead.node.value()},
               {"group", dead.group},
               {"view", view_->revision},
               {"level", read.all},
               {"complete", read.complete}});
    log_kept({});
    return next;
}

read_members storage_membership::read_voters(const directory::storage_view& group) const {
    read_members read{.complete = 1, .all = 1};
    for (const directory::storage_member& member : group.members) {
        if (member.node == options_.self.node || member.retiring || is_dead(member.node) ||
            !replica_.is_caught_up_with(member.node)) {
            continue;
        }
        ++read.all;
        read.complete += replica_.was_complete(member.node) ? 1 : 0;
    }
    return read;
}

void storage_membership::log_kept(const base::node_id& dead, const read_members& read) {
    if (std::exchange(kept_, dead) == dead || dead.value().empty()) {
        return;
    }
    base::log(base::log_level::warning, "storage_member_kept",
              {{"member", dead.value()},
               {"view", view_->revision},
               {"voters", voter_count(own_group())},
               {"level", read.all},
               {"complete", read.complete},
               {"reason", "too few voters would remain, or it may hold the only copy of a write"}});
}

/// If two voters leave in quick succession, an edge that knows of neither change could still write
/// to a majority that includes both.
bool storage_membership::can_remove_voter() const {
    if (!replica_.is_settled()) {
        replica_.accelerate_settlement();
        return false;
    }
    return true;
}

directory::storage_view storage_membership::own_group() const {
    const auto* self = view_->find(options_.self.node);
    return self == nullptr ? directory::storage_view() : members_of(*view_, self->group);
}

bool storage_membership::is_dead(const base::node_id& node) const {
    return node != options_.self.node &&
           clock_.now() - replica_.last_reply_from(node) > options_.dead_after;
}

bool storage_membership::is_fully_replicated() const {
    std::size_t replicas = 0;
    for (const auto& member : own_group().members) {
        if (member.node == options_.self.node || member.retiring) {
            continue;
        }
        if (!replica_.has_everything(member.node)) {
            return false;
        }
        ++replicas;
    }
    return replicas >= min_voters;
}

void storage_membership::advance_retirement() {
    if (!view_.has_value()) {
        return;
    }
    // Retirement does not wait for this report: its reply may be lost while the operator's deadline
    // runs.
    report_running();
    const auto* self = view_->find(options_.self.node);
    if (self == nullptr) {
        report_completed();
        return;
    }
    directory::storage_view next = *view_;
    if (!self->retiring) {
        const bool may_retire = may_retire_voter(own_group(), read_voters(own_group()));
        log_retirement_waits(!may_retire);
        if (!may_retire || !can_remove_voter()) {
            return;
        }
        for (auto& member : next.members) {
            member.retiring = member.retiring || member.node == options_.self.node;
        }
        propose(std::move(next));
        return;
    }
    if (is_fully_replicated()) {
        std::erase_if(next.members,
                      [this](const auto& member) { return member.node == options_.self.node; });
        propose(std::move(next));
    }
}

void storage_membership::log_retirement_waits(bool waits) {
    if (std::exchange(retirement_waits_, waits) == waits || !waits) {
        return;
    }
    base::log(base::log_level::warning, "storage_retirement_waits",
              {{"view", view_->revision},
               {"voters", voter_count(own_group())},
               {"complete", read_voters(own_group()).complete},
               {"reason", "too few complete voters would remain"}});
}

void storage_membership::report_running() {
    if (running_report_ != report::due) {
        return;
    }
    running_report_ = report::sent;
    register_.report_retirement(false, [this](const absl::Status& status) {
        running_report_ = status.ok() ? report::accepted : report::due;
    });
}

void storage_membership::report_completed() {
    if (completed_report_ != report::due) {
        return;
    }
    completed_report_ = report::sent;
    register_.report_retirement(true, [this](const absl::Status& status) {
        completed_report_ = status.ok() ? report::accepted : report::due;
    });
}

void storage_membership::propose(directory::storage_view next) {
    proposing_ = true;
    const bool enters = view_.has_value() && view_->find(options_.self.node) == nullptr;
    base::log(base::log_level::info, "storage_view_proposed",
              {{"base", next.revision}, {"members", next.members.size()}});
    register_.propose(next, [this, enters](const absl::Status& status) {
        proposing_ = false;
        if (!status.ok()) {
            base::log(base::log_level::info, "storage_view_not_taken", base::log_fields(status));
        } else if (enters) {
            replica_.record_entry();
        }
    });
}

}  // namespace pearbarrow::turns
