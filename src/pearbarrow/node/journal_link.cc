#include "pearbarrow/node/journal_link.h"

#include <utility>
#include <variant>

#include "pearbarrow/base/log.h"

namespace pearbarrow::node {

namespace {

/// Longer than the leader's own limit, which decides.
constexpr base::milliseconds transport_timeout{5'000};
/// Tokens of this class's own questions; the shard's host counts its own from 1.
constexpr std::uint64_t first_question = std::uint64_t{1} << 63U;

template <typename... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

}  // namespace

journal_link::journal_link(node_context& context, membership_service& membership,
                           base::shard_id shard, journal_link_callbacks callbacks)
    : context_(context),
      membership_(membership),
      leader_(shard, context.self()),
      callbacks_(std::move(callbacks)) {}

journal_link::~journal_link() = default;

void journal_link::end_reign() {
    established_epoch_ = 0;
    questions_.clear();
    caught_up_.clear();
}

void journal_link::feed(const journal::leader_event& event) {
    if (std::holds_alternative<journal::campaign>(event) ||
        std::holds_alternative<journal::resign>(event)) {
        end_reign();
    }
    const std::weak_ptr<int> alive = alive_;
    for (const journal::leader_action& action : leader_.apply(event, context_.now())) {
        carry_out(action);
        if (alive.expired()) {
            return;
        }
    }
}

void journal_link::when_confirmed(std::function<void()> then) {
    const std::uint64_t token = first_question + ++last_question_;
    questions_[token] = std::move(then);
    feed(journal::confirm{token});
}

void journal_link::carry_out(const journal::leader_action& action) {
    std::visit(
        overloaded{
            [this](const journal::send_request& item) { send(item); },
            [this](const journal::recovered& item) { callbacks_.on_recovered(item); },
            [this](const journal::appended& item) { callbacks_.on_appended(item); },
            [this](const journal::append_refused& item) { callbacks_.on_append_refused(item); },
            [this](const journal::committed& item) { callbacks_.on_committed(item.through); },
            [this](const journal::fenced& item) {
                end_reign();
                callbacks_.on_fenced(item);
            },
            [this](const journal::unavailable&) { callbacks_.on_availability(false); },
            [this](const journal::available_again&) { callbacks_.on_availability(true); },
            [this](const journal::confirmed& item) {
                const auto question = questions_.extract(item.token);
                if (question.empty()) {
                    callbacks_.on_confirmed(item.token);
                } else {
                    question.mapped()();
                }
            },
            [this](const journal::retained_read& item) { callbacks_.on_retained(item); },
            [this](const journal::epoch_established& item) { established_epoch_ = item.epoch; },
            [this](const journal::learner_caught_up& item) { caught_up_.insert(item.member); },
            [](const journal::replica_lost& item) {
                base::log(base::log_level::error, "journal_replica_lost",
                          {{"node", item.member.node.value()},
                           {"store", item.member.store},
                           {"reason", item.reason}});
            },
        },
        action);
}

void journal_link::send(const journal::send_request& action) {
    const std::uint64_t request_id = wire::header_of(action.request).request_id;
    const auto address = membership_.peer_address(action.to.node);
    if (!address.has_value()) {
        context_.loop.post([this, request_id, alive = std::weak_ptr<int>(alive_)] {
            if (!alive.expired()) {
                feed(journal::request_failed{request_id});
            }
        });
        return;
    }
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this, request_id](const absl::StatusOr<std::string>& payload) {
        take_reply(request_id, payload);
    };
    calls_[request_id] = context_.rpc.call(
        action.to.node, *address, wire::method_of(action.request),
        wire::encode_journal_request(action.request), transport_timeout, std::move(callbacks));
}

void journal_link::take_reply(std::uint64_t request_id,
                              const absl::StatusOr<std::string>& payload) {
    const auto handle = std::move(calls_[request_id]);
    calls_.erase(request_id);
    const auto reply = payload.ok() ? wire::decode<wire::journal_reply>(*payload)
                                    : absl::StatusOr<wire::journal_reply>(payload.status());
    if (reply.ok()) {
        feed(journal::replica_replied{*reply});
    } else {
        feed(journal::request_failed{request_id});
    }
}

}  // namespace pearbarrow::node
