#include "pearbarrow/turns/majority_write.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/turns/view_stamps.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {

namespace {

constexpr std::uint32_t most_doublings = 4;

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
    limit_ = loop_.after(timeout_, [this] {
        report(base::make_error(absl::StatusCode::kUnavailable,
                                "too few storage members confirmed the turn",
                                {.step = "store_turn",
                                 .reason = "storage_unavailable",
                                 .was_executed = base::executed::unknown}));
        end();
    });
    take_voters();
}

void majority_write::take_voters() {
    const directory::storage_view group = views_.of(group_);
    request_.view = stamp_of(group);
    payload_ = wire::encode(request_);
    const std::vector<directory::storage_member> voters = voters_of(group);
    for (member_write& part : parts_) {
        part.is_replaced = std::none_of(voters.begin(), voters.end(), [&](const auto& voter) {
            return voter.node == part.member.node;
        });
        if (part.is_replaced) {
            part.retry.reset();
        }
    }
    for (const directory::storage_member& voter : voters) {
        const bool is_known =
            std::any_of(parts_.begin(), parts_.end(),
                        [&](const member_write& part) { return part.member.node == voter.node; });
        if (!is_known) {
            parts_.emplace_back().member = voter;
            send(parts_.back());
        }
    }
    judge();
}

void majority_write::send(member_write& part) {
    part.retry.reset();
    const auto time = options_.call_timeout * (1U << std::min(part.unanswered, most_doublings));
    part.call = caller_.call(
        part.member, wire::turn_finish, payload_, time,
        [this, &part](const absl::StatusOr<std::string>& reply) { take_reply(part, reply); });
}

void majority_write::take_reply(member_write& part, const absl::StatusOr<std::string>& reply) {
    const auto answer = reply.ok() ? wire::decode<finish_reply>(*reply)
                                   : absl::StatusOr<finish_reply>(reply.status());
    if (answer.ok() && answer->newer.has_value()) {
        take_newer(part, *answer->newer);
        return;
    }
    if (!answer.ok()) {
        part.unanswered += answer.status().code() == absl::StatusCode::kDeadlineExceeded ? 1 : 0;
        if (!part.is_replaced) {
            part.retry = loop_.after(options_.retry_interval, [this, &part] { send(part); });
        }
        return;
    }
    part.confirmed = true;
    judge();
}

/// The member is asked again as one of the newer voters; where it can't say who they are, once the
/// directory may have told.
void majority_write::take_newer(member_write& part, const directory::storage_view& newer) {
    const bool is_told = views_.note_newer(group_, newer);
    part.retry =
        loop_.after(is_told ? base::milliseconds{0} : options_.retry_interval, [this, &part] {
            take_voters();
            if (!part.is_replaced) {
                send(part);
            }
        });
}

void majority_write::judge() {
    const auto voters = static_cast<std::size_t>(std::count_if(
        parts_.begin(), parts_.end(), [](const member_write& part) { return !part.is_replaced; }));
    const auto confirmed = static_cast<std::size_t>(std::count_if(
        parts_.begin(), parts_.end(),
        [](const member_write& part) { return part.confirmed && !part.is_replaced; }));
    if (confirmed > voters / 2) {
        report(absl::OkStatus());
    }
    if (confirmed == voters && voters > 0) {
        end();
    }
}

void majority_write::report(const absl::Status& status) {
    if (const auto done = std::exchange(callbacks_.done, nullptr); done) {
        done(status);
    }
}

void majority_write::end() {
    limit_.reset();
    if (const auto over = std::exchange(callbacks_.over, nullptr); over) {
        over();
    }
}

}  // namespace pearbarrow::turns
