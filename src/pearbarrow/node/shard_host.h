/// One shard that this node owns or campaigns for: its journal's leader and its programs' owner,
/// with everything that they ask for carried out.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/gateway/program_router.h"
#include "pearbarrow/node/dispatcher_client.h"
#include "pearbarrow/node/journal_link.h"
#include "pearbarrow/node/model_attempts.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/node/quota_service.h"
#include "pearbarrow/node/tool_attempts.h"
#include "pearbarrow/program/shard_owner.h"

namespace pearbarrow::node {

/// What the hosts of all shards share.
struct shard_services {
    node_context& context;
    membership_service& membership;
    const configuration_view& configuration;
    backend_service& backends;
    dispatcher_client& dispatchers;
    gateway::program_router& router;
    quota_service& quotas;
};

enum class shard_state { idle, campaigning, serving };

class shard_host {
  public:
    /// `on_lost` runs, from the event loop, after the shard was lost to another node.
    shard_host(shard_services& services, base::shard_id shard,
               std::function<void(const journal::fenced&)> on_lost);
    ~shard_host();
    shard_host(const shard_host&) = delete;
    shard_host& operator=(const shard_host&) = delete;

    /// Takes the shard: a higher ballot, the journal read, then `serving`.
    void campaign(const wire::journal_replica_set& set);
    /// The configuration names another replica set.
    void change_replica_set(const wire::journal_replica_set& set);
    /// Stops owning the shard; waiting requesters are told to go elsewhere.
    void resign();
    void tick();
    void configuration_changed();

    /// Answers through `responder`. While campaigning, the request waits.
    void request(wire::program_request request, std::shared_ptr<net::peer_responder> responder);

    shard_state state() const { return state_; }
    bool available() const { return available_; }
    base::instant state_since() const { return state_since_; }
    const journal::leader_core& leader() const { return journal_->leader(); }
    /// For the repair of the replica set.
    journal_link& journal() { return *journal_; }
    std::size_t program_count() const;
    /// Programs that have not ended; none unless serving.
    std::vector<base::program_id> live_programs() const {
        return owner_ == nullptr ? std::vector<base::program_id>() : owner_->live_programs();
    }
    /// Adds what the shard's programs use of limits to `sum`.
    void add_quota_use(program::quota_use_map& sum) const;
    std::size_t running_calls() const { return models_->running() + tools_->running(); }
    bool idle() const;

  private:
    struct held_request {
        wire::program_request request;
        std::shared_ptr<net::peer_responder> responder;
    };
    struct appended_record {
        program::append_sequence sequence = 0;
        base::log_index index;
    };

    journal_link_callbacks journal_callbacks();
    void set_state(shard_state state);
    void start_term(const journal::recovered& recovered);
    void end_term();
    void release_held();
    void fail_held();
    /// Gives the request to the owner, once the limits that it counts against have room.
    void deliver(wire::program_request request, std::shared_ptr<net::peer_responder> responder);
    void take(wire::program_request request, std::shared_ptr<net::peer_responder> responder);

    void feed(program::shard_event event);
    void carry_out(const program::shard_action& action);
    void act(const program::action::append_record& action);
    void act(const program::action::reply_part& action);
    void act(const program::action::reply_final& action);
    void act(const program::action::reply_error& action);
    void act(const program::action::offer_call& action);
    void act(const program::action::withdraw_offer& action);
    void act(const program::action::finish_placement& action);
    void act(const program::action::announce_program_end& action);
    void act(const program::action::register_in_flight& action);
    void act(const program::action::start_model_attempt& action);
    void act(const program::action::resume_model_attempt& action);
    void act(const program::action::cancel_model_attempt& action);
    void act(const program::action::start_tool_attempt& action);
    void act(const program::action::cancel_tool_attempt& action);
    void act(const program::action::query_tool_attempt& action);
    void act(const program::action::release_cache& action);
    void act(const program::action::send_to_owner& action);
    void act(const program::action::read_retained& action);
    void act(const program::action::drop_retained& action);
    void act(const program::action::store_snapshot& action);
    void act(const program::action::journal_unusable& action);

    /// Whether a start that waited for its confirmation may still be made; tells the owner if not.
    bool is_in_time(const base::attempt_id& attempt, base::instant start_by);
    /// Runs `then` now when the leadership is fresh, else after the journal has confirmed it.
    void when_leading(const program::action::leadership& proof, std::function<void()> then);
    void records_committed(base::log_index through);
    void answer(program::reply_token token,
                const std::function<void(net::peer_responder&)>& respond);
    absl::Status not_owner() const;

    shard_services& services_;
    base::shard_id shard_;
    std::function<void(const journal::fenced&)> on_lost_;
    std::unique_ptr<journal_link> journal_;
    std::unique_ptr<model_attempts> models_;
    std::unique_ptr<tool_attempts> tools_;
    shard_state state_ = shard_state::idle;
    base::instant state_since_{};
    bool available_ = true;

    /// Set while a term lasts.
    std::unique_ptr<program::shard_owner> owner_;
    std::deque<program::shard_event> events_;
    bool feeding_ = false;
    std::uint64_t last_token_ = 0;
    std::map<program::reply_token, std::shared_ptr<net::peer_responder>> responders_;
    std::deque<held_request> held_;
    std::deque<appended_record> appended_;
    std::vector<std::string> dropped_prefixes_;
    std::map<std::uint64_t, std::function<void()>> waiting_for_confirmation_;
    std::map<std::uint64_t, base::program_id> retained_reads_;
    std::map<std::uint64_t, std::unique_ptr<gateway::program_route>> exchanges_;
    std::map<program::offer_id, base::attempt_id> offers_;
    std::set<base::attempt_id> placements_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
