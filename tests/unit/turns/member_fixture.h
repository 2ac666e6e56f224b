/// Scripted storage members on one event loop, and a client that calls them.
#pragma once

#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../net/net_fixture.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/turns/relaying_caller.h"
#include "pearbarrow/turns/replica_groups.h"
#include "pearbarrow/turns/turn_client.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

namespace pearbarrow::turns::testing {

using net::testing::run_until;
using std::chrono::milliseconds;

/// Behavior of a scripted member.
struct member_script {
    milliseconds reserve_delay{0};
    bool silent = false;
    bool complete = true;
    chain_result chain = chain_result::found;
    std::string chain_text = "said before";
    /// Returned if the request wants the turns of the chain.
    std::vector<turn_record> chain_records;
    std::vector<reservation> reservations;
    /// View returned to senders that rely on an older one; empty to accept every sender.
    std::optional<directory::storage_view> newer;

    bool rejects(const view_stamp& sender) const {
        return this->newer.has_value() && sender.revision < this->newer->revision;
    }
};

class scripted_member {
  public:
    scripted_member(net::event_loop& loop, const std::string& name, member_script script)
        : loop_(loop),
          name_(name),
          script(std::move(script)),
          rpc_(net::make_peer_rpc(
              loop,
              {.self = base::node_id(name), .cluster = "test", .listen = net::testing::loopback})) {
        rpc_->register_method(wire::turn_reserve, [this](std::string_view payload, auto responder) {
            if (this->script.silent) {
                unanswered_.push_back(std::move(responder));
                return;
            }
            const auto request = wire::decode<reserve_request>(payload);
            if (this->script.rejects(request->view)) {
                responder->finish(wire::encode(reserve_reply{.newer = this->script.newer}));
                return;
            }
            ++reservations;
            reserve_reply reply{.is_complete = this->script.complete,
                                .reservations = this->script.reservations};
            if (request->wants_chain) {
                reply.chain = this->script.chain;
                reply.chain_text = this->script.chain_text;
            }
            timers_.push_back(loop_.after(this->script.reserve_delay, [responder, reply] {
                responder->finish(wire::encode(reply));
            }));
        });
        rpc_->register_method(wire::turn_read, [this](std::string_view payload, auto responder) {
            ++reads;
            if (this->script.silent) {
                unanswered_.push_back(std::move(responder));
                return;
            }
            read_reply reply{.is_complete = this->script.complete, .chain = this->script.chain};
            if (wire::decode<read_request>(payload)->wants_records) {
                reply.records = this->script.chain_records;
            } else {
                reply.chain_text = this->script.chain_text;
            }
            responder->finish(wire::encode(reply));
        });
        rpc_->register_method(wire::turn_usage, [this](std::string_view, auto responder) {
            ++usage_requests;
            responder->finish(wire::encode(usage_reply{.is_complete = this->script.complete,
                                                       .reservations = this->script.reservations}));
        });
        rpc_->register_method(wire::turn_finish, [this](std::string_view payload, auto responder) {
            if (this->script.silent) {
                unanswered_.push_back(std::move(responder));
                return;
            }
            auto request = *wire::decode<finish_request>(payload);
            if (this->script.rejects(request.view)) {
                responder->finish(wire::encode(finish_reply{.newer = this->script.newer}));
                return;
            }
            finished.push_back(std::move(request));
            responder->finish(wire::encode(finish_reply{.is_complete = this->script.complete}));
        });
        cr_assert(rpc_->start().ok());
    }

    directory::storage_member member(const std::string& zone) const {
        return {.node = base::node_id(name_), .address = rpc_->local_endpoint(), .zone = zone};
    }

    int reservations = 0;
    int reads = 0;
    int usage_requests = 0;
    std::vector<finish_request> finished;

  private:
    net::event_loop& loop_;
    std::string name_;

  public:
    member_script script;

  private:
    std::unique_ptr<net::peer_rpc> rpc_;
    std::vector<std::shared_ptr<net::peer_responder>> unanswered_;
    std::vector<std::unique_ptr<net::timer_handle>> timers_;
};

/// Members in zones a, b, c, ... and a client in zone a.
struct member_group {
    /// With `group_size` 0 all members form one replica group; otherwise each `group_size`
    /// consecutive members form one.
    explicit member_group(const std::vector<member_script>& scripts, std::uint32_t group_size = 0) {
        char zone = 'a';
        for (const member_script& script : scripts) {
            members.emplace_back(loop, std::string("store-") + zone, script);
            view.members.push_back(members.back().member(std::string(1, zone)));
            if (group_size > 0) {
                const auto index = static_cast<std::uint32_t>(view.members.size() - 1);
                view.members.back().group = index / group_size;
                view.groups = index / group_size + 1;
            }
            ++zone;
        }
        view.revision = 1;
        rpc = net::make_peer_rpc(
            loop,
            {.self = base::node_id("edge"), .cluster = "test", .listen = net::testing::loopback});
        cr_assert(rpc->start().ok());
        caller.emplace(loop, *rpc, clock, relaying_options{}, [this] {
            ++relays_chosen;
            if (relay_peers.empty()) {
                return relay_peer;
            }
            const net::endpoint next = relay_peers.front();
            relay_peers.erase(relay_peers.begin());
            return next;
        });
        caller->set_view(view);
        client = std::make_unique<turn_client>(loop, clock, *caller, client_options{.zone = "a"});
        client->set_view(view);
    }

    /// Prepares a turn and waits for the outcome.
    prepared_turn prepare(turn_request request) {
        std::optional<prepared_turn> result;
        const auto step = client->prepare(
            std::move(request), [&](prepared_turn prepared) { result = std::move(prepared); });
        cr_assert(run_until(loop, [&] { return result.has_value(); }));
        return *std::move(result);
    }

    net::event_loop loop;
    base::system_clock_source clock;
    std::list<scripted_member> members;
    directory::storage_view view;
    /// Unset while its port is 0.
    net::endpoint relay_peer{"127.0.0.1", 0};
    /// Peers that are chosen before `relay_peer`, each once.
    std::vector<net::endpoint> relay_peers;
    int relays_chosen = 0;
    std::unique_ptr<net::peer_rpc> rpc;
    std::optional<relaying_caller> caller;
    std::unique_ptr<turn_client> client;
};

/// Returns a program that the group stores.
inline base::program_id program_in(const directory::storage_view& view, std::uint32_t group) {
    for (int index = 0;; ++index) {
        base::program_id program("program-" + std::to_string(index));
        if (group_of(view, program) == group) {
            return program;
        }
    }
}

inline turn_request request_of(std::uint64_t tokens, std::uint64_t budget,
                               const std::string& previous = "") {
    return {.wanted = {.program = base::program_id("program"),
                       .turn = turn_id("turn"),
                       .tokens = tokens},
            .budget = budget,
            .previous = turn_id(previous)};
}

}  // namespace pearbarrow::turns::testing
