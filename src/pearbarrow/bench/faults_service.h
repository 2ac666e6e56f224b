/// What callers and back ends share in a simulated run: time, randomness, the record of the run,
/// and a way to the owners of programs.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <absl/status/statusor.h>

#include "pearbarrow/base/random.h"
#include "pearbarrow/bench/faults_history.h"
#include "pearbarrow/bench/faults_queue.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::bench::faults {

/// Callbacks of one request: parts in their order, then one final answer.
struct answer_callbacks {
    std::function<void(const wire::reply_part&)> on_part;
    std::function<void(const absl::StatusOr<wire::program_reply>&)> on_done;
};

class simulated_service {
  public:
    explicit simulated_service(std::uint64_t seed) : random(seed) {}
    virtual ~simulated_service() = default;
    simulated_service(const simulated_service&) = delete;
    simulated_service& operator=(const simulated_service&) = delete;

    /// Sends a caller's request to some node. The answer, or both ways, may be lost.
    virtual void send(const wire::program_request& request, answer_callbacks callbacks) = 0;

    /// Delay of one message.
    base::microseconds network_delay() {
        constexpr std::uint64_t longest_us = 10'000;
        return base::microseconds(random.below(longest_us));
    }

    event_queue queue;
    base::random_source random;
    run_history history;
    /// Tool calls' bodies by their arguments, which are unique.
    std::map<std::string, wire::tool_call> tool_bodies;
    std::uint64_t running_callers = 0;
};

}  // namespace pearbarrow::bench::faults
