#include "pearbarrow/turns/relaying_caller.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {
namespace {

/// With less time left a relay can't answer: a round trip between zones takes some 3 ms, and its
/// silence would count against it.
constexpr base::milliseconds least_relay_time{10};

}  // namespace

/// One call, on one or both ways. The first success ends it; a failure does once no way is left.
class relaying_caller::one_call final : public net::peer_call_handle {
  public:
    one_call(relaying_caller& owner, directory::storage_member member, net::method_number method,
             std::string payload, base::milliseconds timeout, reply_handler on_reply)
        : owner(owner),
          member(std::move(member)),
          method(method),
          payload(std::move(payload)),
          asked_at(owner.clock.now()),
          ends_at(this->asked_at + timeout),
          on_reply(std::move(on_reply)) {}
    one_call(const one_call&) = delete;
    one_call& operator=(const one_call&) = delete;
    ~one_call() override { one_call::cancel(); }

    void start() {
        this->owner.note_asked(this->member.node, this->asked_at);
        this->direct = this->owner.rpc.call(
            this->member.node, this->member.address, this->method, this->payload, this->time_left(),
            {.on_part = nullptr, .on_done = [this](const absl::StatusOr<std::string>& reply) {
                 this->take_direct(reply);
             }});
        if (this->owner.is_cut(this->member.group)) {
            this->relay();
        } else {
            this->patience = this->owner.loop.after(this->owner.options.patience, [this] {
                if (this->owner.is_cut(this->member.group)) {
                    this->relay();
                }
            });
        }
    }

    void cancel() override {
        if (this->on_reply != nullptr) {
            this->owner.note_unasked(this->member.node, this->asked_at);
        }
        this->on_reply = nullptr;
        this->direct.reset();
        this->relayed.reset();
        this->patience.reset();
    }

  private:
    base::milliseconds time_left() const {
        const auto left =
            std::chrono::duration_cast<base::milliseconds>(this->ends_at - this->owner.clock.now());
        return std::max(left, base::milliseconds{1});
    }

    void take_direct(const absl::StatusOr<std::string>& reply) {
        this->direct_failed = !reply.ok();
        if (reply.ok() || !is_silence(reply.status())) {
            this->owner.note_answered(this->member.node);
            this->end(reply);
            return;
        }
        if (this->owner.is_cut(this->member.group)) {
            this->relay();
        }
        if (!this->relay_runs) {
            this->end(reply);
        }
    }

    void relay() {
        if (this->relay_runs || this->on_reply == nullptr || this->time_left() < least_relay_time) {
            return;
        }
        const net::endpoint peer = this->owner.relay_peer();
        if (peer.port == 0) {
            return;
        }
        this->relay_runs = true;
        ++this->owner.relayed;
        const relay_request request{this->member.node, this->method, this->payload};
        this->relayed = this->owner.rpc.call(
            base::node_id(), peer, wire::turn_relay, wire::encode(request),
            std::min(this->time_left(), this->owner.options.patience),
            {.on_part = nullptr, .on_done = [this, peer](const absl::StatusOr<std::string>& reply) {
                 this->take_relayed(peer, reply);
             }});
    }

    void take_relayed(const net::endpoint& peer, const absl::StatusOr<std::string>& reply) {
        this->relay_runs = false;
        const bool is_peers_fault = this->owner.note_relay(peer, reply);
        if (reply.ok()) {
            this->end(reply);
            return;
        }
        if (is_peers_fault) {
            this->relay();
        }
        if (this->relay_runs) {
            return;
        }
        if (this->direct_failed) {
            this->end(reply);
            return;
        }
        this->patience = this->owner.loop.after(this->owner.options.rest, [this] {
            if (this->owner.is_cut(this->member.group)) {
                this->relay();
            }
        });
    }

    void end(const absl::StatusOr<std::string>& reply) {
        if (const auto handler = std::exchange(this->on_reply, nullptr); handler) {
            this->patience.reset();
            handler(reply);
        }
    }

    relaying_caller& owner;
    directory::storage_member member;
    net::method_number method;
    std::string payload;
    base::instant asked_at;
    base::instant ends_at;
    reply_handler on_reply;
    std::unique_ptr<net::peer_call_handle> direct;
    std::unique_ptr<net::peer_call_handle> relayed;
    std::unique_ptr<net::timer_handle> patience;
    bool direct_failed = false;
    bool relay_runs = false;
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
                             .silent_since = known == this->voters.end()
                                                 ? std::nullopt
                                                 : known->second.silent_since};
    }
    this->voters = std::move(next);
    this->groups = view.groups;
}

std::unique_ptr<net::peer_call_handle> relaying_caller::call(
    const directory::storage_member& member, net::method_number method, std::string payload,
    base::milliseconds timeout, reply_handler on_reply) {
    auto started = std::make_unique<one_call>(*this, member, method, std::move(payload), timeout,
                                              std::move(on_reply));
    started->start();
    return started;
}

bool relaying_caller::answers(const voter& one, base::instant now) const {
    return !one.silent_since.has_value() || now - *one.silent_since < this->options.patience;
}

bool relaying_caller::is_cut(std::uint32_t group) const {
    const base::instant now = this->clock.now();
    std::size_t members = 0;
    std::size_t answering = 0;
    for (const auto& [node, one] : this->voters) {
        if (one.group != group) {
            continue;
        }
        ++members;
        answering += this->answers(one, now) ? 1 : 0;
    }
    return members > 0 && answering < members / 2 + 1;
}

bool relaying_caller::is_cut() const {
    for (std::uint32_t group = 0; group < this->groups; ++group) {
        if (this->is_cut(group)) {
            return true;
        }
    }
    return false;
}

void relaying_caller::note_asked(const base::node_id& node, base::instant at) {
    const auto found = this->voters.find(node);
    if (found != this->voters.end() && !found->second.silent_since.has_value()) {
        found->second.silent_since = at;
    }
}

// Whoever asked waits no longer, mostly because other members were faster: no sign of silence yet.
void relaying_caller::note_unasked(const base::node_id& node, base::instant at) {
    const auto found = this->voters.find(node);
    if (found != this->voters.end() && found->second.silent_since == at &&
        this->clock.now() - at < this->options.patience) {
        found->second.silent_since.reset();
    }
}

void relaying_caller::note_answered(const base::node_id& node) {
    const auto found = this->voters.find(node);
    if (found == this->voters.end()) {
        return;
    }
    const std::uint32_t group = found->second.group;
    const bool was_cut = this->is_cut(group);
    found->second.silent_since.reset();
    if (was_cut && !this->is_cut(group)) {
        base::log(base::log_level::info, "storage_reached_again",
                  {{"group", group}, {"relayed_calls", this->relayed}});
    }
}

bool relaying_caller::note_relay(const net::endpoint& peer,
                                 const absl::StatusOr<std::string>& reply) {
    const base::instant now = this->clock.now();
    if (reply.ok()) {
        if (this->good_peer != peer) {
            base::log(base::log_level::warning, "storage_reached_by_relay",
                      {{"peer", net::to_string(peer)}});
        }
        this->good_peer = peer;
        this->good_at = now;
        this->failed_relays = 0;
        return false;
    }
    // One member may be down: the peer is good as long as it reaches another.
    const bool is_members_fault = base::details_of(reply.status()).reason == member_silent_reason &&
                                  this->good_peer == peer &&
                                  now - this->good_at < this->options.trust;
    if (is_members_fault) {
        return false;
    }
    if (this->good_peer == peer) {
        this->good_peer = {};
    }
    if (++this->failed_relays >= this->options.tried_relays) {
        this->failed_relays = 0;
        this->rests_until = now + this->options.rest;
    }
    return true;
}

net::endpoint relaying_caller::relay_peer() {
    if (this->good_peer.port != 0) {
        return this->good_peer;
    }
    if (this->clock.now() < this->rests_until) {
        return {};
    }
    return this->choose_peer();
}

}  // namespace pearbarrow::turns
