/// Simulated model engines and tool services that inject the faults of real ones.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "event_queue.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/program/shard_actions.h"
#include "pearbarrow/program/shard_events.h"
#include "run_history.h"

namespace pearbarrow::simulation {

/// Receives the replies of a back end. The owner behind it may no longer be alive.
using receiver = std::function<void(const program::shard_event&)>;

struct backend_faults {
    /// Probabilities that a stream's connection breaks at a token, that any other reply is lost,
    /// that a reply is duplicated, and that a part of a stream is duplicated.
    double break_stream = 0.004;
    double lose_reply = 0.1;
    double repeat_reply = 0.1;
    double repeat_part = 0.02;
};

/// A connection that delays messages but preserves their order.
class ordered_link {
  public:
    ordered_link(event_queue& queue, base::random_source& random)
        : queue_(queue), random_(random) {}
    void send(event_queue::task arrive);

  private:
    event_queue& queue_;
    base::random_source& random_;
    base::instant last_{};
};

class model_engine {
  public:
    model_engine(event_queue& queue, base::random_source& random, run_history& history,
                 backend_faults faults)
        : queue_(queue), random_(random), history_(history), faults_(faults) {}

    void start(const program::action::start_model_attempt& request, receiver to);
    void resume(const base::attempt_id& attempt, std::uint64_t from, receiver to);
    void cancel(const base::attempt_id& attempt, receiver to);
    void release(const base::program_id& program, receiver to);
    /// Drops all streams and all cached state.
    void crash();
    std::set<base::program_id> holdings() const;

  private:
    struct stream {
        std::size_t run = 0;
        base::program_id program;
        std::vector<std::string> tokens;
        std::uint64_t produced = 0;
        bool cancelled = false;
        receiver to;
        std::shared_ptr<ordered_link> link;
        std::uint64_t next_to_send = 1;
    };

    void run(const program::action::start_model_attempt& request, receiver to);
    void attach(const base::attempt_id& attempt, std::uint64_t from, receiver to);
    void produce(const base::attempt_id& attempt, std::uint64_t epoch);
    void pump(const base::attempt_id& attempt);
    wire::token_usage usage_of(const stream& of) const;
    void send_reply(receiver to, program::shard_event event);
    std::shared_ptr<ordered_link> new_link();

    event_queue& queue_;
    base::random_source& random_;
    run_history& history_;
    backend_faults faults_;
    std::uint64_t epoch_ = 0;
    std::map<base::attempt_id, stream> streams_;
    std::set<base::attempt_id> refused_;
    std::set<base::program_id> pinned_;
};

/// The state that a tool service keeps about received idempotency keys.
enum class tool_memory {
    /// Executes a key once, replies to queries, and refuses a key after it replied "never seen".
    full,
    /// Replies to queries but cannot refuse a key; executes every request.
    remembers,
    /// Keeps no state and executes every request.
    none,
};

class model_tool {
  public:
    model_tool(event_queue& queue, base::random_source& random, run_history& history,
               backend_faults faults, tool_memory memory)
        : queue_(queue), random_(random), history_(history), faults_(faults), memory_(memory) {}

    void invoke(const program::action::start_tool_attempt& request, const wire::tool_call& body,
                receiver to);
    void query(const program::action::query_tool_attempt& request, receiver to);

  private:
    enum class key_state { running, ran };

    void run(const program::action::start_tool_attempt& request, const wire::tool_call& body,
             receiver to);
    void send_reply(receiver to, program::shard_event event);

    event_queue& queue_;
    base::random_source& random_;
    run_history& history_;
    backend_faults faults_;
    tool_memory memory_;
    std::map<std::string, key_state> keys_;
    std::set<std::string> refused_;
};

}  // namespace pearbarrow::simulation
