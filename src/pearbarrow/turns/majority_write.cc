#include "pearbarrow/turns/majority_write.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
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
                               const client_options& options, const directory::storage_view& view,
                               finish_request request, base::milliseconds timeout,
                               callbacks callbacks)
    : loop_(loop),
      caller_(caller),
      options_(options),
      timeout_(timeout),
      callbacks_(std::move(callbacks)) {
    if (options_.loads != nullptr) {
        request.load = options_.loads->report(false);
    }
    payload_ = wire::encode(request);
    for (const directory::storage_member& member : voters_of(view)) {
        parts_.emplace_back().member = member;
    }
    needed_ = parts_.size() / 2 + 1;
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
    for (member_write& part : parts_) {
        send(part);
    }
}

void majority_write::send(member_write& part) {
    part.retry.reset();
    const auto time = options_.call_timeout * (1U << std::min(part.unanswered, most_doublings));
    part.call = caller_.call(part.member, wire::turn_finish, payload_, time,
                             [this, &part](const absl::StatusOr<std::string>& reply) {
                                 take_reply(part, reply.status());
                             });
}

void majority_write::take_reply(member_write& part, const absl::Status& status) {
    if (!status.ok()) {
        part.unanswered += status.code() == absl::StatusCode::kDeadlineExceeded ? 1 : 0;
        part.retry = loop_.after(options_.retry_interval, [this, &part] { send(part); });
        return;
    }
    ++confirmed_;
    if (confirmed_ == needed_) {
        report(absl::OkStatus());
    }
    if (confirmed_ == parts_.size()) {
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
