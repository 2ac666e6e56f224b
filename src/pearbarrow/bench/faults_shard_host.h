/// One shard on one simulated node: the journal's leader and the programs' owner, joined as
/// `node/shard_host` joins them.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "pearbarrow/bench/faults_backends.h"
#include "pearbarrow/journal/leader.h"
#include "pearbarrow/program/shard_owner.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::bench::faults {

class fault_world;
class request_route;
class sim_node;

class sim_shard_host : public std::enable_shared_from_this<sim_shard_host> {
  public:
    enum class state { idle, campaigning, serving };

    sim_shard_host(fault_world& world, sim_node& node, base::shard_id shard);

    void campaign(const wire::journal_replica_set& set);
    void resign();
    void feed_leader(const journal::leader_event& event);
    void tick();
    void request(const wire::program_request& request, std::shared_ptr<request_route> route);
    void requester_gone(const std::shared_ptr<request_route>& route);
    /// Carries on with what is under way, unless the node is paused.
    void work();
    /// The process is gone.
    void die() { state_ = state::idle; }

    state current() const { return state_; }
    bool leads() const { return state_ == state::serving && leader_.is_leading(); }
    base::ballot ballot() const { return leader_.current_ballot(); }
    /// Virtual time of the last change of state.
    base::instant since() const { return since_; }
    std::vector<base::program_id> live_programs() const;

  private:
    struct appended_record {
        program::append_sequence sequence = 0;
        base::log_index index;
    };
    struct placement_item {
        wire::placement_offer offer;
        program::offer_id id;
        base::instant offered_at{};
        base::instant granted_at{};
        std::optional<base::backend_id> backend;
        /// The dispatcher that knows of it, and its process.
        std::size_t dispatcher = 0;
        std::uint64_t dispatcher_process = 0;
        /// Names the latest sending.
        std::uint64_t serial = 0;
        bool connected = false;
    };

    void set_state(state state);
    void deliver(program::shard_event event);
    void start_term(const journal::recovered& recovered);
    void end_term();
    void fail_held();
    void strike_between_actions();

    void on(const journal::send_request& action);
    void on(const journal::recovered& action) { start_term(action); }
    void on(const journal::appended& action) { appended_.push_back({action.token, action.index}); }
    void on(const journal::append_refused& action);
    void on(const journal::committed& action);
    void on(const journal::fenced& action);
    void on(const journal::unavailable& action);
    void on(const journal::available_again& action);
    void on(const journal::confirmed& action);
    void on(const journal::retained_read& action);
    void on(const journal::epoch_established& action);
    void on(const journal::learner_caught_up& action);
    void on(const journal::replica_lost& action) {}

    void perform(const program::shard_action& action);
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
    void act(const program::action::cancel_tool_attempt& action) {}
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
    void answer(program::reply_token token, const absl::StatusOr<wire::program_reply>& answer);
    /// Takes a back end's answers to this term, into this process.
    receiver receive();
    void run_in_term(base::microseconds delay, std::function<void()> what);

    // faults_placement.cc: as node/dispatcher_client.
    wire::placement_offer describe(const program::action::call_description& call) const;
    void send_offer(const base::attempt_id& attempt);
    void take_reply(const base::attempt_id& attempt, std::uint64_t serial,
                    const wire::placement_reply& reply);
    void send_registration(placement_item& item);
    void withdraw(const base::attempt_id& attempt);
    void update_placements();
    /// A notice to the dispatcher that may be lost.
    template <typename Notice>
    void tell(std::size_t dispatcher, Notice notice);

    fault_world& world_;
    sim_node& node_;
    base::shard_id shard_;
    journal::leader_core leader_;
    state state_ = state::idle;
    base::instant since_{};
    std::uint64_t term_ = 0;
    std::unique_ptr<program::shard_owner> owner_;
    std::deque<program::shard_event> inbox_;
    std::deque<program::shard_action> outbox_;
    bool working_ = false;
    std::uint64_t last_token_ = 0;
    std::map<program::reply_token, std::shared_ptr<request_route>> routes_;
    std::vector<std::pair<wire::program_request, std::shared_ptr<request_route>>> held_;
    std::deque<appended_record> appended_;
    std::vector<std::string> dropped_prefixes_;
    std::map<std::uint64_t, std::function<void()>> waiting_for_confirmation_;
    std::map<std::uint64_t, base::program_id> retained_reads_;
    std::map<base::attempt_id, placement_item> placements_;
    std::map<program::offer_id, base::attempt_id> offers_;
    std::uint64_t last_serial_ = 0;
};

}  // namespace pearbarrow::bench::faults
