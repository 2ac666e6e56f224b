#include "pearbarrow/turns/majority_write.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/turns/view_stamps.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {

namespace {

constexpr std::uint32_t max_timeout_doublings = 4;

}  // namespace

std::vector<directory::storage_member> voters_of(const directory::storage_view& view) {
    std::vector<directory::storage_member> voters;
    for (const directory::storage_member& member : view.members) {
        if (!member.retiring) {
            voters.push_back(member);
        }
    }
    return voters;
}

std::string failure_reason(const absl::Status& status) {
    std::string reason = base::details_of(status).reason;
    return reason.empty() ? absl::StatusCodeToString(status.code()) : reason;
}

majority_write::majority_write(net::event_loop& loop, member_caller& caller,
                               const client_options& options, group_views& views,
                               std::uint32_t group, finish_request request,
                               base::milliseconds timeout, callbacks callbacks)
    : loop_(loop),
      caller_(caller),
      options_(options),
      timeout_(timeout),
      callbacks_(std::move(callbacks)),
      views_(views),
      group_(group),
      request_(std::move(request)) {
    if (options_.loads != nullptr) {
        request_.load = options_.loads->report(false);
    }
}

void majority_write::start() {
    timeout_timer_ = loop_.after(timeout_, [this] {
        report(base::make_error(absl::StatusCode::kUnavailable,
                                "not confirmed by " + unconfirmed_voters(),
                                {.step = "store_turn",
                                 .reason = "storage_unavailable",
                                 .was_executed = base::executed::unknown}));
        end();
    });
    update_voters();
}

void majority_write::update_voters() {
    const directory::storage_view group = views_.of(group_);
    request_.view = stamp_of(group);
    payload_ = wire::encode(request_);
    const std::vector<directory::storage_member> voters = voters_of(group);
    for (member_write& write : members_) {
        write.is_replaced = std::none_of(voters.begin(), voters.end(), [&](const auto& voter) {
            return voter.node == write.member.node;
        });
        if (write.is_replaced) {
            write.retry.reset();
        }
    }
    for (const directory::storage_member& voter : voters) {
        const bool is_known =
            std::any_of(members_.begin(), members_.end(),
                        [&](const member_write& write) { return write.member.node == voter.node; });
        if (!is_known) {
            members_.emplace_back().member = voter;
            send(members_.back());
        }
    }
    check_confirmations();
}

void majority_write::send(member_write& write) {
    write.retry.reset();
    write.state = no_reply_reason;
    const auto time =
        options_.call_timeout * (1U << std::min(write.timeouts, max_timeout_doublings));
    write.call = caller_.call(
        write.member, wire::turn_finish, payload_, time,
        [this, &write](const absl::StatusOr<std::string>& reply) { on_reply(write, reply); });
}

void majority_write::on_reply(member_write& write, const absl::StatusOr<std::string>& reply) {
    const auto answer = reply.ok() ? wire::decode<finish_reply>(*reply)
                                   : absl::StatusOr<finish_reply>(reply.status());
    if (answer.ok() && answer->newer.has_value()) {
        on_newer_view(write, *answer->newer);
        return;
    }
    if (!answer.ok()) {
        write.state = failure_reason(answer.status());
        write.timeouts += answer.status().code() == absl::StatusCode::kDeadlineExceeded ? 1 : 0;
        if (!write.is_replaced) {
            write.retry = loop_.after(options_.retry_interval, [this, &write] { send(write); });
        }
        return;
    }
    write.stored = true;
    write.confirmed = answer->is_complete;
    if (!write.confirmed) {
        on_incomplete(write);
    }
    check_confirmations();
}

/// A reader counts complete members only, so the write must be on a majority of these. A member
/// that has stored the write confirms it once it is complete.
void majority_write::on_incomplete(member_write& write) {
    write.state = "incomplete";
    if (!is_confirmed_ && !write.is_replaced) {
        write.retry = loop_.after(options_.retry_interval, [this, &write] { send(write); });
    }
}

/// Sends the write again under the newer view. If the member could not name the newer voters, the
/// retry waits until the directory may have delivered them.
void majority_write::on_newer_view(member_write& write, const directory::storage_view& newer) {
    const bool names_voters = views_.record_newer(group_, newer);
    write.retry =
        loop_.after(names_voters ? base::milliseconds{0} : options_.retry_interval, [this, &write] {
            update_voters();
            if (!write.is_replaced) {
                send(write);
            }
        });
}

void majority_write::check_confirmations() {
    const auto voters = static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [](const member_write& write) { return !write.is_replaced; }));
    const auto confirmed = static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(),
        [](const member_write& write) { return write.confirmed && !write.is_replaced; }));
    if (confirmed > voters / 2 && !std::exchange(is_confirmed_, true)) {
        minority_timer_ = loop_.after(options_.minority_timeout, [this] { end(); });
        stop_retries_of_stored();
        report(absl::OkStatus());
    }
    const bool is_stored_everywhere =
        std::all_of(members_.begin(), members_.end(),
                    [](const member_write& write) { return write.stored || write.is_replaced; });
    if (is_confirmed_ && is_stored_everywhere && voters > 0) {
        end();
    }
}

void majority_write::stop_retries_of_stored() {
    for (member_write& write : members_) {
        if (write.stored) {
            write.retry.reset();
        }
    }
}

std::string majority_write::unconfirmed_voters() const {
    std::string names;
    for (const member_write& write : members_) {
        if (!write.confirmed && !write.is_replaced) {
            names += (names.empty() ? "" : ", ") + write.member.node.value() + ": " + write.state;
        }
    }
    return names.empty() ? "any member" : names;
}

void majority_write::report(const absl::Status& status) {
    if (const auto done = std::exchange(callbacks_.done, nullptr); done) {
        done(status);
    }
}

void majority_write::end() {
    timeout_timer_.reset();
    minority_timer_.reset();
    if (const auto over = std::exchange(callbacks_.over, nullptr); over) {
        over();
    }
}

}  // namespace pearbarrow::turns
