/// Simulates two shards of program owners with model journals, engines, tools and faults.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <absl/status/statusor.h>

#include "event_queue.h"
#include "model_backends.h"
#include "model_journal.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/program/shard_owner.h"
#include "run_history.h"

namespace pearbarrow::simulation {

struct world_options {
    std::uint64_t seed = 1;
    program::owner_options owner;
    /// Whether shells confirm the leadership when an action requires it. False only in tests.
    bool confirm_leadership = true;
    backend_faults backends;
    std::uint64_t programs = 5;
    base::seconds fault_time{25};
};

/// Callbacks of one request of a caller.
struct reply_callbacks {
    std::function<void(const wire::reply_part&)> on_part;
    std::function<void(const absl::StatusOr<wire::program_reply>&)> on_done;
};

class program_world;

/// One term of one shard's owner, with its shell. A paused node executes nothing; it continues with
/// its pending actions when the pause ends.
class owner_node : public std::enable_shared_from_this<owner_node> {
  public:
    owner_node(program_world& world, std::size_t shard, std::uint64_t term);

    void deliver(program::shard_event event);
    void request(const wire::program_request& request, reply_callbacks callbacks);
    void pause(base::instant until);
    void crash();
    void keep_ticking();
    bool alive() const { return alive_; }

  private:
    void work();
    void perform(const program::shard_action& action);
    void perform(const program::action::append_record& action);
    void perform(const program::action::reply_part& action);
    void perform(const program::action::reply_final& action);
    void perform(const program::action::reply_error& action);
    void perform(const program::action::offer_call& action);
    void perform(const program::action::start_model_attempt& action);
    void perform(const program::action::resume_model_attempt& action);
    void perform(const program::action::cancel_model_attempt& action);
    void perform(const program::action::start_tool_attempt& action);
    void perform(const program::action::query_tool_attempt& action);
    void perform(const program::action::release_cache& action);
    void perform(const program::action::send_to_owner& action);
    void perform(const program::action::read_retained& action);
    void perform(const program::action::drop_retained& action);
    void perform(const program::action::store_snapshot& action);
    void perform(const program::action::journal_unusable& action);
    template <typename Action>
    void perform(const Action& action) {}  // actions that the model back ends ignore

    /// Runs `act` if the leadership is fresh or a majority confirms it.
    void if_leader(const program::action::leadership& known, std::function<void()> act);
    void finish(program::reply_token token, const absl::StatusOr<wire::program_reply>& reply);
    receiver receive();
    void lose_ownership();

    program_world& world_;
    std::size_t shard_;
    std::uint64_t term_;
    program::shard_owner owner_;
    bool alive_ = true;
    base::instant paused_until_{};
    std::deque<program::shard_event> inbox_;
    std::deque<program::shard_action> outbox_;
    std::map<program::reply_token, reply_callbacks> callers_;
    std::uint64_t last_token_ = 0;
};

class program_world {
  public:
    explicit program_world(world_options options);
    ~program_world();

    /// Runs all callers until they finish, under faults.
    run_history run();

    /// Sends a request to the owner of its program, or to the previous owner.
    void send(const wire::program_request& request, reply_callbacks callbacks);

    // Parts of the world, for nodes and callers.
    event_queue queue;
    base::random_source random;
    run_history history;
    const world_options options;
    std::vector<std::unique_ptr<model_journal>> journals;
    std::map<base::backend_id, std::unique_ptr<model_engine>> engines;
    std::map<base::backend_id, std::unique_ptr<model_tool>> tools;
    /// Bodies of tool calls by `arguments_json`.
    std::map<std::string, wire::tool_call> tool_bodies;
    std::uint64_t running_callers = 0;

    base::microseconds network_delay();
    std::size_t shard_of(const base::program_id& program) const;
    base::backend_id any_engine();
    base::backend_id tool_for(const base::tool_name& tool) const;

  private:
    enum class fate { crash, pause, hand_over };
    void take_over(std::size_t shard, fate old_owner_fate);
    void schedule_fault();
    void inject_fault();
    bool quiet() const;

    std::vector<std::vector<std::shared_ptr<owner_node>>> nodes_;
};

}  // namespace pearbarrow::simulation
