#include "pearbarrow/directory/peer_multicast.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::directory {
namespace {

/// Part of its own time that a node gives the peers that it passes a message on to.
constexpr double share_of_time_passed_on = 0.6;

std::uint64_t position_of(const net::endpoint& node) {
    return base::stable_hash(net::to_string(node));
}

}  // namespace

/// One message on its way to the arcs of the ring. It is kept alive by its calls until each has
/// ended, also after `done`.
class peer_multicast::transmission : public std::enable_shared_from_this<transmission> {
  public:
    transmission(peer_multicast& owner, std::string payload, base::milliseconds timeout,
                 done_handler done)
        : owner(owner), payload(std::move(payload)), timeout(timeout), done(std::move(done)) {}

    void start(const std::vector<ring_peer>& targets, bool may_widen) {
        this->known_peers = targets.size();
        std::vector<ring_peer> responsive;
        for (const ring_peer& target : targets) {
            const bool is_responsive = !this->owner.is_unresponsive(target.address);
            if (may_widen && is_responsive && target.is_hub && this->has_wideners_left()) {
                this->arcs.push_back({.peers = {target}, .may_widen = true});
            } else if (is_responsive) {
                responsive.push_back(target);
            } else if (this->arcs.size() < this->owner.options.fanout) {
                this->arcs.push_back({.peers = {target}, .is_awaited = false});
            }
        }
        this->divide(responsive, may_widen);
        for (arc& each : this->arcs) {
            this->send(each);
        }
        this->timer = this->owner.loop.after(this->timeout, [this] { this->report(); });
        this->report_if_expected_replies_arrived();
    }

    /// The owner is being destroyed.
    void cancel() {
        this->is_cancelled = true;
        this->done = nullptr;
        this->timer.reset();
        for (arc& each : this->arcs) {
            each.call.reset();
        }
    }

    bool is_over() const {
        return std::all_of(this->arcs.begin(), this->arcs.end(),
                           [](const arc& each) { return each.is_over; });
    }

  private:
    /// Consecutive peers. The first one from `head` on that replies passes the message on.
    struct arc {
        std::vector<ring_peer> peers;
        std::size_t head = 0;
        /// False if its only peer has not replied recently.
        bool is_awaited = true;
        bool may_widen = false;
        bool is_over = false;
        std::unique_ptr<net::peer_call_handle> call;
    };

    bool has_wideners_left() const {
        const auto wideners = std::count_if(this->arcs.begin(), this->arcs.end(),
                                            [](const arc& each) { return each.may_widen; });
        return static_cast<std::size_t>(wideners) < this->owner.options.wideners;
    }

    void divide(const std::vector<ring_peer>& targets, bool may_widen) {
        const std::size_t arc_count = std::min(targets.size(), this->owner.options.fanout);
        const auto at = [&](std::size_t index) {
            return targets.begin() +
                   static_cast<std::ptrdiff_t>(index * targets.size() / arc_count);
        };
        for (std::size_t index = 0; index < arc_count; ++index) {
            this->arcs.push_back({.peers = {at(index), at(index + 1)},
                                  .may_widen = may_widen && this->has_wideners_left()});
        }
    }

    void send(arc& target) {
        const bool is_passed_on = target.head + 1 < target.peers.size();
        const auto share = is_passed_on || target.may_widen ? share_of_time_passed_on : 1.0;
        const base::milliseconds time{std::max<std::int64_t>(
            1, static_cast<std::int64_t>(static_cast<double>(this->timeout.count()) * share))};
        multicast_message message{.payload = this->payload,
                                  .timeout_ms = static_cast<std::uint32_t>(time.count()),
                                  .may_widen = target.may_widen,
                                  .known_peers = static_cast<std::uint32_t>(this->known_peers)};
        for (std::size_t index = target.head + 1; index < target.peers.size(); ++index) {
            message.pass_on_to.push_back(target.peers[index].address);
        }
        target.call =
            this->owner.rpc.call(base::node_id(), target.peers[target.head].address,
                                 this->owner.options.method, wire::encode(message), time * 2,
                                 {.on_part = nullptr,
                                  .on_done = [self = this->shared_from_this(),
                                              &target](const absl::StatusOr<std::string>& reply) {
                                      self->on_reply(target, reply);
                                  }});
    }

    void on_reply(arc& target, const absl::StatusOr<std::string>& reply) {
        const auto answer = reply.ok() ? wire::decode<multicast_reply>(*reply)
                                       : absl::StatusOr<multicast_reply>(reply.status());
        const net::endpoint& peer = target.peers[target.head].address;
        if (answer.ok()) {
            this->owner.unresponsive_until.erase(peer);
            this->result.reached += answer->reached;
            this->add_unreached(answer->unreached);
            auto& started = this->result.recently_started;
            started.insert(started.end(), answer->recently_started.begin(),
                           answer->recently_started.end());
            if (!answer->correction.empty()) {
                this->owner.receive(answer->correction);
            }
            target.is_over = true;
        } else {
            this->owner.unresponsive_until[peer] =
                this->owner.clock.now() + this->owner.options.unresponsive_penalty;
            ++this->result.failed;
            this->add_unreached({peer});
            ++target.head;
            target.is_over = target.head == target.peers.size();
        }
        if (!target.is_over) {
            // Replacing a call inside its own callback is not allowed.
            this->owner.loop.post([self = this->shared_from_this(), &target] {
                if (!self->is_cancelled) {
                    self->send(target);
                }
            });
            return;
        }
        this->report_if_expected_replies_arrived();
    }

    void report_if_expected_replies_arrived() {
        const bool is_complete =
            std::all_of(this->arcs.begin(), this->arcs.end(),
                        [](const arc& each) { return each.is_over || !each.is_awaited; });
        if (is_complete) {
            this->report();
        }
    }

    void add_unreached(const std::vector<net::endpoint>& peers) {
        auto& unreached = this->result.unreached;
        for (const net::endpoint& peer : peers) {
            if (std::find(unreached.begin(), unreached.end(), peer) == unreached.end()) {
                unreached.push_back(peer);
            }
        }
    }

    void report() {
        this->timer.reset();
        for (const arc& each : this->arcs) {
            if (!each.is_over) {
                this->add_unreached({each.peers[each.head].address});
            }
        }
        if (const auto callback = std::exchange(this->done, nullptr); callback) {
            callback(this->result);
        }
    }

    peer_multicast& owner;
    std::string payload;
    base::milliseconds timeout;
    done_handler done;
    std::list<arc> arcs;
    std::size_t known_peers = 0;
    std::unique_ptr<net::timer_handle> timer;
    multicast_result result;
    bool is_cancelled = false;
};

peer_multicast::peer_multicast(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                               multicast_options options, peer_source peers, peer_source hubs,
                               receiver receive, corrector correct)
    : loop(loop),
      rpc(rpc),
      clock(clock),
      options(std::move(options)),
      peers(std::move(peers)),
      hubs(std::move(hubs)),
      receive(std::move(receive)),
      correct(std::move(correct)),
      own_position(position_of(this->options.self)),
      started_at(clock.now()) {
    rpc.register_method(this->options.method, [this](std::string_view payload, auto responder) {
        this->handle(payload, responder);
    });
}

peer_multicast::~peer_multicast() {
    for (const auto& each : this->transmissions) {
        each->cancel();
    }
}

void peer_multicast::send(std::string payload, done_handler done) {
    this->start(this->peers_after_self(), payload, this->options.timeout, true, std::move(done));
}

void peer_multicast::start(const std::vector<ring_peer>& targets, const std::string& payload,
                           base::milliseconds timeout, bool may_widen, done_handler done) {
    this->transmissions.remove_if(
        [](const std::shared_ptr<transmission>& each) { return each->is_over(); });
    const auto started = std::make_shared<transmission>(*this, payload, timeout, std::move(done));
    this->transmissions.push_back(started);
    started->start(targets, may_widen);
}

void peer_multicast::handle(std::string_view payload,
                            const std::shared_ptr<net::peer_responder>& responder) {
    const auto message = wire::decode<multicast_message>(payload);
    if (!message.ok()) {
        responder->fail(message.status());
        return;
    }
    this->receive(message->payload);
    std::vector<ring_peer> targets;
    if (message->may_widen) {
        targets = this->peers_after_self();
    }
    if (targets.size() <= message->known_peers) {
        targets.clear();
        for (const net::endpoint& peer : message->pass_on_to) {
            targets.push_back({.position = 0, .address = peer});
        }
    }
    const auto reply = [this, responder,
                        received = message->payload](const multicast_result& result) {
        multicast_reply own{.reached = result.reached + 1,
                            .correction = this->correct(received),
                            .unreached = result.unreached,
                            .recently_started = result.recently_started};
        if (this->clock.now() - this->started_at < this->options.recent_start_time) {
            own.recently_started.push_back(this->options.self);
        }
        responder->finish(wire::encode(own));
    };
    if (targets.empty()) {
        reply({});
        return;
    }
    const base::milliseconds timeout{
        std::min<std::int64_t>(message->timeout_ms, this->options.timeout.count())};
    this->start(targets, message->payload, timeout, false, reply);
}

std::vector<peer_multicast::ring_peer> peer_multicast::peers_after_self() const {
    std::map<net::endpoint, bool> known;
    for (const net::endpoint& peer : this->peers()) {
        known[peer] = false;
    }
    for (const net::endpoint& hub : this->hubs()) {
        known[hub] = true;
    }
    known.erase(this->options.self);
    std::vector<ring_peer> found;
    found.reserve(known.size());
    for (const auto& [address, is_hub] : known) {
        // Positions relative to this node do not wrap around.
        found.push_back({.position = position_of(address) - this->own_position,
                         .address = address,
                         .is_hub = is_hub});
    }
    std::sort(found.begin(), found.end(), [](const ring_peer& left, const ring_peer& right) {
        return left.position < right.position;
    });
    return found;
}

bool peer_multicast::is_unresponsive(const net::endpoint& peer) const {
    const auto found = this->unresponsive_until.find(peer);
    return found != this->unresponsive_until.end() && this->clock.now() < found->second;
}

}  // namespace pearbarrow::directory
