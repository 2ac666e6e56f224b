/// Model engines and tool services with the faults that real ones show.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/base/random.h"
#include "pearbarrow/bench/faults_history.h"
#include "pearbarrow/bench/faults_queue.h"
#include "pearbarrow/emulator/answer_text.h"
#include "pearbarrow/program/shard_actions.h"
#include "pearbarrow/program/shard_events.h"

namespace pearbarrow::bench::faults {

/// Where a back end's answers go; the receiver may be gone by then.
using receiver = std::function<void(const program::shard_event&)>;

struct backend_faults {
    /// Chances that a stream's connection breaks at a token, that any other answer is lost, that
    /// an answer comes twice, and that a part of a stream does.
    double break_stream = 0.004;
    double lose_answer = 0.1;
    double repeat_answer = 0.1;
    double repeat_part = 0.02;
    /// Chance that a tool takes half a minute.
    double hang = 0.03;
};

/// A connection: messages arrive late but in order.
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
    model_engine(base::backend_id id, event_queue& queue, base::random_source& random,
                 run_history& history, backend_faults faults)
        : id_(std::move(id)), queue_(queue), random_(random), history_(history), faults_(faults) {}

    void start(const program::action::start_model_attempt& request, receiver to);
    void resume(const base::attempt_id& attempt, std::uint64_t from, receiver to);
    void cancel(const base::attempt_id& attempt, receiver to);
    void release(const base::program_id& program, receiver to);
    /// Loses all streams and all memory.
    void crash();
    std::set<base::program_id> holdings() const;

  private:
    struct stream {
        std::size_t run = 0;
        base::program_id program;
        emulator::answer_text text;
        std::uint64_t length = 0;
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
    void answer(receiver to, program::shard_event event);
    std::shared_ptr<ordered_link> new_link();

    base::backend_id id_;
    event_queue& queue_;
    base::random_source& random_;
    run_history& history_;
    backend_faults faults_;
    std::uint64_t epoch_ = 0;
    std::map<base::attempt_id, stream> streams_;
    std::set<base::attempt_id> refused_;
    std::set<base::program_id> pinned_;
};

/// How much a tool service knows of the keys that it was sent.
enum class tool_memory {
    /// Runs a key once, answers queries, and refuses a key after the answer "never seen".
    full,
    /// Answers queries, but cannot refuse a key; runs whatever arrives.
    remembers,
    /// Knows nothing and runs whatever arrives.
    none,
};

class model_tool {
  public:
    model_tool(base::backend_id id, event_queue& queue, base::random_source& random,
               run_history& history, backend_faults faults, tool_memory memory)
        : id_(std::move(id)),
          queue_(queue),
          random_(random),
          history_(history),
          faults_(faults),
          memory_(memory) {}

    void invoke(const program::action::start_tool_attempt& request, const wire::tool_call& body,
                receiver to);
    void query(const program::action::query_tool_attempt& request, receiver to);

  private:
    enum class key_state { running, ran };

    void run(const program::action::start_tool_attempt& request, const wire::tool_call& body,
             receiver to);
    void answer(receiver to, program::shard_event event);

    base::backend_id id_;
    event_queue& queue_;
    base::random_source& random_;
    run_history& history_;
    backend_faults faults_;
    tool_memory memory_;
    std::map<std::string, key_state> keys_;
    std::set<std::string> refused_;
};

}  // namespace pearbarrow::bench::faults
