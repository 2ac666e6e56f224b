#include "pearbarrow/turns/relaying_caller.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {
namespace {

/// Minimum remaining time for a relayed call. A round trip between zones takes about 3 ms; with too
/// little time, the missing reply would be counted as a failure of the relay.
constexpr base::milliseconds min_relay_time{10};

}  // namespace

/// One call, sent directly, through a relay, or both. The first success ends it; it fails when no
/// attempt is left.
class relaying_caller::relayable_call final : public net::peer_call_handle {
  public:
    relayable_call(relaying_caller& owner, directory::storage_member member,
                   net::method_number method, std::string payload, base::milliseconds timeout,
                   reply_handler on_reply)
        : owner(owner),
          member(std::move(member)),
          method(method),
          payload(std::move(payload)),
          sent_at(owner.clock.now()),
          deadline(this->sent_at + timeout),
          on_reply(std::move(on_reply)) {}
    relayable_call(const relayable_call&) = delete;
    relayable_call& operator=(const relayable_call&) = delete;
    ~relayable_call() override { relayable_call::cancel(); }

    void start() {
        this->owner.on_call_sent(this->member.node, this->sent_at);
        this->direct = this->owner.rpc.call(
            this->member.node, this->member.address, this->method, this->payload, this->time_left(),
            {.on_part = nullptr, .on_done = [this](const absl::StatusOr<std::string>& reply) {
                 this->on_direct_reply(reply);
             }});
        if (this->owner.lacks_majority(this->member.group)) {
            this->relay();
        } else {
            this->relay_timer = this->owner.loop.after(this->owner.options.silence_timeout, [this] {
                if (this->owner.lacks_majority(this->member.group)) {
                    this->relay();
                }
            });
        }
    }

    void cancel() override {
        if (this->on_reply != nullptr) {
            this->owner.on_call_cancelled(this->member.node, this->sent_at);
        }
        this->on_reply = nullptr;
        this->direct.reset();
        this->relayed.reset();
        this->relay_timer.reset();
    }

  private:
    base::milliseconds time_left() const {
        const auto left = std::chrono::duration_cast<base::milliseconds>(this->deadline -
                                                                         this->owner.clock.now());
        return std::max(left, base::milliseconds{1});
    }

    void on_direct_reply(const absl::StatusOr<std::string>& reply) {
        this->direct_failed = !reply.ok();
        if (reply.ok() || !is_unresponsive(reply.status())) {
            this->owner.on_reply_received(this->member.node);
            this->end(reply);
            return;
        }
        if (this->owner.lacks_majority(this->member.group)) {
            this->relay();
        }
        if (!this->relay_in_flight) {
            this->end(reply);
        }
    }

    void relay() {
        if (this->relay_in_flight || this->on_reply == nullptr ||
            this->time_left() < min_relay_time) {
            return;
        }
        const net::endpoint peer = this->owner.relay_peer();
        if (peer.port == 0) {
            return;
        }
        this->relay_in_flight = true;
        ++this->owner.relayed;
        const relay_request request{this->member.node, this->method, this->payload};
        this->relayed = this->owner.rpc.call(
            base::node_id(), peer, wire::turn_relay, wire::encode(request),
            std::min(this->time_left(), this->owner.options.silence_timeout),
            {.on_part = nullptr, .on_done = [this, peer](const absl::StatusOr<std::string>& reply) {
                 this->on_relayed_reply(peer, reply);
             }});
    }

    void on_relayed_reply(const net::endpoint& peer, const absl::StatusOr<std::string>& reply) {
        this->relay_in_flight = false;
        const bool is_relay_failure = this->owner.on_relay_result(peer, reply);
        if (reply.ok()) {
            this->end(reply);
            return;
        }
        if (is_relay_failure) {
            this->relay();
        }
        if (this->relay_in_flight) {
            return;
        }
        if (this->direct_failed) {
            this->end(reply);
            return;
        }
        this->relay_timer = this->owner.loop.after(this->owner.options.relay_backoff, [this] {
            if (this->owner.lacks_majority(this->member.group)) {
                this->relay();
            }
        });
    }

    void end(const absl::StatusOr<std::string>& reply) {
        if (const auto handler = std::exchange(this->on_reply, nullptr); handler) {
            this->relay_timer.reset();
            handler(reply);
        }
    }

    relaying_caller& owner;
    directory::storage_member member;
    net::method_number method;
    std::string payload;
    base::instant sent_at;
    base::instant deadline;
    reply_handler on_reply;
    std::unique_ptr<net::peer_call_handle> direct;
    std::unique_ptr<net::peer_call_handle> relayed;
    std::unique_ptr<net::timer_handle> relay_timer;
    bool direct_failed = false;
    bool relay_in_flight = false;
};

relaying_caller::relaying_caller(net::event_loop& loop, net::peer_rpc& rpc,
                                 const base::clock& clock, relaying_options options,
                                 peer_source choose_peer)
    : loop(loop), rpc(rpc), clock(clock), options(options), choose_peer(std::move(choose_peer)) {}

relaying_caller::~relaying_caller() = default;

void relaying_caller::set_view(const directory::storage_view& view) {
    std::map<base::node_id, voter> next;
    for (const directory::storage_member& member : view.members) {
        if (member.retiring) {
            continue;
        }
        const auto known = this->voters.find(member.node);
        next[member.node] = {.group = member.group,
                             .unanswered_since = known == this->voters.end()
                                                     ? std::nullopt
                                                     : known->second.unanswered_since};
    }
    this->voters = std::move(next);
    this->groups = view.groups;
}

std::unique_ptr<net::peer_call_handle> relaying_caller::call(
    const directory::storage_member& member, net::method_number method, std::string payload,
    base::milliseconds timeout, reply_handler on_reply) {
    auto started = std::make_unique<relayable_call>(*this, member, method, std::move(payload),
                                                    timeout, std::move(on_reply));
    started->start();
    return started;
}

std::optional<base::milliseconds> relaying_caller::silence_of(const base::node_id& member) const {
    const auto found = this->voters.find(member);
    if (found == this->voters.end() || !found->second.unanswered_since.has_value()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<base::milliseconds>(this->clock.now() -
                                                          *found->second.unanswered_since);
}

bool relaying_caller::is_responsive(const voter& state, base::instant now) const {
    return !state.unanswered_since.has_value() ||
           now - *state.unanswered_since < this->options.silence_timeout;
}

bool relaying_caller::lacks_majority(std::uint32_t group) const {
    const base::instant now = this->clock.now();
    std::size_t members = 0;
    std::size_t responsive = 0;
    for (const auto& [node, state] : this->voters) {
        if (state.group != group) {
            continue;
        }
        ++members;
        responsive += this->is_responsive(state, now) ? 1 : 0;
    }
    return members > 0 && responsive < members / 2 + 1;
}

bool relaying_caller::lacks_majority() const {
    for (std::uint32_t group = 0; group < this->groups; ++group) {
        if (this->lacks_majority(group)) {
            return true;
        }
    }
    return false;
}

void relaying_caller::on_call_sent(const base::node_id& node, base::instant at) {
    const auto found = this->voters.find(node);
    if (found != this->voters.end() && !found->second.unanswered_since.has_value()) {
        found->second.unanswered_since = at;
    }
}

// A cancelled call does not indicate a silent member: callers usually cancel because other members
// were faster.
void relaying_caller::on_call_cancelled(const base::node_id& node, base::instant at) {
    const auto found = this->voters.find(node);
    if (found != this->voters.end() && found->second.unanswered_since == at &&
        this->clock.now() - at < this->options.silence_timeout) {
        found->second.unanswered_since.reset();
    }
}

void relaying_caller::on_reply_received(const base::node_id& node) {
    const auto found = this->voters.find(node);
    if (found == this->voters.end()) {
        return;
    }
    const std::uint32_t group = found->second.group;
    const bool was_cut = this->lacks_majority(group);
    found->second.unanswered_since.reset();
    if (was_cut && !this->lacks_majority(group)) {
        base::log(base::log_level::info, "storage_reached_again",
                  {{"group", group}, {"relayed_calls", this->relayed}});
    }
}

bool relaying_caller::on_relay_result(const net::endpoint& peer,
                                      const absl::StatusOr<std::string>& reply) {
    const base::instant now = this->clock.now();
    if (reply.ok()) {
        if (this->working_relay != peer) {
            base::log(base::log_level::warning, "storage_reached_by_relay",
                      {{"peer", net::to_string(peer)}});
        }
        this->working_relay = peer;
        this->relay_succeeded_at = now;
        this->failed_relays = 0;
        return false;
    }
    // A single member may be down: the peer is kept while it reaches other members.
    const bool is_member_failure =
        base::details_of(reply.status()).reason == member_silent_reason &&
        this->working_relay == peer &&
        now - this->relay_succeeded_at < this->options.relay_trust_time;
    if (is_member_failure) {
        return false;
    }
    if (this->working_relay == peer) {
        this->working_relay = {};
    }
    if (++this->failed_relays >= this->options.max_failed_relays) {
        this->failed_relays = 0;
        this->relay_backoff_until = now + this->options.relay_backoff;
    }
    return true;
}

net::endpoint relaying_caller::relay_peer() {
    if (this->working_relay.port != 0) {
        return this->working_relay;
    }
    if (this->clock.now() < this->relay_backoff_until) {
        return {};
    }
    return this->choose_peer();
}

}  // namespace pearbarrow::turns
