/// The part of `log_core` that determines the result of a proposed change.
#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/config/log_core.h"
#include "pearbarrow/config/validate.h"

namespace pearbarrow::config {
namespace {

constexpr std::string_view propose_step = "propose_change";
constexpr std::string_view store_peer = "key_value_service";
/// Retry delay returned during an outage of the service.
constexpr base::milliseconds outage_retry_delay{5'000};
constexpr base::milliseconds behind_retry_delay{500};

absl::Status make_proposal_error(absl::StatusCode code, std::string_view message,
                                 std::string_view reason, base::executed was_executed,
                                 std::optional<base::milliseconds> retry_after = std::nullopt) {
    return base::make_error(code, message,
                            {.step = std::string(propose_step),
                             .peer = std::string(store_peer),
                             .reason = std::string(reason),
                             .was_executed = was_executed,
                             .retry_after = retry_after});
}

base::config_version target_of(const change& content) {
    return base::config_version(content.base_version.value() + 1);
}

}  // namespace

void log_core::on(const propose& event, base::instant now, actions& out) {
    proposal waiting;
    waiting.token = event.token;
    waiting.content = event.content;
    waiting.deadline = now + options_.proposal_timeout;
    waiting.retry_delay = options_.retry_initial;
    if (settle_from_log(waiting, out)) {
        return;
    }
    if (event.content.base_version > current_->version()) {
        finish(waiting,
               make_proposal_error(
                   absl::StatusCode::kUnavailable,
                   fmt::format("this node is at version {} and has not learned version {} yet",
                               current_->version().value(), event.content.base_version.value()),
                   "config_behind", base::executed::no, behind_retry_delay),
               out);
        return;
    }
    const absl::Status valid = to_status(validate_change(*current_, event.content));
    if (!valid.ok()) {
        finish(waiting, valid, out);
        return;
    }
    if (options_.faults.accept_early) {
        finish(waiting, target_of(waiting.content), out);
    }
    send_create(waiting, out);
    proposals_.push_back(std::move(waiting));
}

void log_core::send_create(proposal& waiting, actions& out) {
    waiting.phase = proposal_phase::creating;
    waiting.request = next_request();
    out.emplace_back(create_entry{waiting.request, target_of(waiting.content), waiting.content});
}

void log_core::on(const entry_created& event, base::instant now, actions& out) {
    const auto found =
        std::find_if(proposals_.begin(), proposals_.end(),
                     [&](const proposal& each) { return each.request == event.request; });
    if (found == proposals_.end()) {
        return;
    }
    proposal& waiting = *found;
    waiting.request = 0;
    store_reachable_ = event.status.ok() || absl::IsAlreadyExists(event.status);
    if (event.status.ok()) {
        apply_received(nullptr, {{target_of(waiting.content), waiting.content}}, now, out);
        return;
    }
    if (absl::IsAlreadyExists(event.status)) {
        start_settling(waiting, now, out);
        return;
    }
    waiting.failure = std::string(event.status.message());
    const bool may_exist = base::details_of(event.status).was_executed != base::executed::no;
    if (may_exist && options_.faults.lost_reply_is_rejection) {
        const proposal rejected = waiting;
        proposals_.erase(found);
        finish(
            rejected,
            make_proposal_error(absl::StatusCode::kUnavailable, rejected.failure,
                                "config_store_unavailable", base::executed::no, outage_retry_delay),
            out);
        return;
    }
    if (may_exist) {
        waiting.in_doubt = true;
        start_settling(waiting, now, out);
        return;
    }
    waiting.retry_at = now + waiting.retry_delay;
    waiting.retry_delay = std::min(waiting.retry_delay * 2, options_.retry_maximum);
}

void log_core::start_settling(proposal& waiting, base::instant now, actions& out) {
    waiting.phase = proposal_phase::settling;
    waiting.request = next_request();
    // The read starts before the proposed version, so that the reply includes its entry.
    out.emplace_back(read_log{waiting.request, waiting.content.base_version});
}

bool log_core::settle_from_log(const proposal& waiting, actions& out) {
    const base::config_version target = target_of(waiting.content);
    if (target > current_->version()) {
        return false;
    }
    const log_entry* entry = find_kept_entry(target);
    if (entry != nullptr && entry->content.id == waiting.content.id) {
        finish(waiting, target, out);
        return true;
    }
    if (entry != nullptr) {
        finish(waiting, conflict_status(waiting.content, entry->content), out);
        return true;
    }
    const bool newest = target == current_->version();
    if (newest && current_->last_change_id() == waiting.content.id) {
        finish(waiting, target, out);
        return true;
    }
    if (may_have_executed(waiting) && !newest) {
        finish(
            waiting,
            make_proposal_error(absl::StatusCode::kUnavailable,
                                "the entry was compacted before this node could read whose it was",
                                "config_outcome_unknown", base::executed::unknown),
            out);
        return true;
    }
    // The first attempt of a retried request may have been accepted in a compacted entry.
    finish(waiting,
           make_proposal_error(absl::StatusCode::kAborted,
                               fmt::format("version {} is long taken; the newest is {}",
                                           target.value(), current_->version().value()),
                               "config_conflict",
                               newest ? base::executed::no : base::executed::unknown),
           out);
    return true;
}

bool log_core::may_have_executed(const proposal& waiting) {
    // An in-flight request may still create the entry.
    const bool create_in_flight = waiting.request != 0 && waiting.phase == proposal_phase::creating;
    return waiting.in_doubt || create_in_flight;
}

void log_core::settle_proposals(base::instant now, actions& out) {
    std::erase_if(proposals_,
                  [&](const proposal& waiting) { return settle_from_log(waiting, out); });
}

void log_core::expire_or_retry(base::instant now, actions& out) {
    std::erase_if(proposals_, [&](proposal& waiting) {
        if (now >= waiting.deadline) {
            finish(waiting,
                   may_have_executed(waiting)
                       ? make_proposal_error(
                             absl::StatusCode::kUnavailable,
                             "no answer from the service; the change may be accepted yet: " +
                                 waiting.failure,
                             "config_outcome_unknown", base::executed::unknown)
                       : make_proposal_error(absl::StatusCode::kUnavailable,
                                             "the service is not available: " + waiting.failure,
                                             "config_store_unavailable", base::executed::no,
                                             outage_retry_delay),
                   out);
            return true;
        }
        if (waiting.request == 0 && now >= waiting.retry_at) {
            send_create(waiting, out);
        }
        return false;
    });
}

void log_core::finish(const proposal& waiting, absl::StatusOr<base::config_version> result,
                      actions& out) {
    out.emplace_back(proposal_done{waiting.token, std::move(result)});
}

absl::Status log_core::conflict_status(const change& rejected, const change& accepted) const {
    return make_proposal_error(
        absl::StatusCode::kAborted,
        fmt::format("version {} was taken by {} (change {}); the newest is {}",
                    target_of(rejected).value(), accepted.author, accepted.id,
                    current_->version().value()),
        "config_conflict", base::executed::no);
}

}  // namespace pearbarrow::config
