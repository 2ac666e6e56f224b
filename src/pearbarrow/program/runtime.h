/// In-memory state of programs in addition to their durable state: timers, readers, partial text.
/// It is lost with the owner, so no guarantee may depend on it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/config/objects.h"
#include "pearbarrow/program/shard_actions.h"
#include "pearbarrow/program/shard_events.h"

namespace pearbarrow::program {

/// A requester that waits for a call's result, and its position in the streamed text.
struct call_reader {
    reply_token token;
    bool stream = false;
    /// The attempt whose text was delivered, and the delivered bytes. Attempt 0 means none.
    attempt_number attempt = 0;
    std::uint64_t offset = 0;
};

enum class call_stage {
    /// The call waits for lower numbers or for its offer to placement.
    queued,
    /// The call waits until the history is read from the journal.
    reading_history,
    /// The call is offered to placement.
    offered,
    /// The intent is appended but not committed, or the history must be read again before the send.
    intended,
    /// The back end has received the attempt or may have received it.
    running,
    /// The status of the attempt is being queried at the tool.
    querying,
    /// A cancellation was sent to the engine.
    cancelling,
    /// The call waits before its next attempt.
    backing_off,
    /// The result is appended but not committed.
    finishing,
};

/// Runtime state of an unfinished call.
struct call_runtime {
    call_stage stage = call_stage::queued;
    base::instant accepted_at{};
    base::instant deadline{};
    base::instant stage_since{};
    /// Time of the next query, resume, cancellation or attempt.
    std::optional<base::instant> next_try;
    std::uint32_t tries = 0;

    std::optional<offer_id> offer;
    base::backend_id granted_backend;
    base::instant granted_at;
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};

    /// This owner started the attempt. Only then does a refusal from the engine prove that the
    /// attempt was never executed.
    bool started_here = false;
    bool intent_committed = false;
    std::string text;
    std::uint64_t last_index = 0;
    std::vector<call_reader> readers;
    /// Tokens of the call that count against the limits on in-flight tokens.
    std::uint64_t counted_tokens = 0;
    /// The error to return once the attempt has stopped. Unset unless the call is being stopped.
    std::optional<absl::Status> stop_status;
    result_record result;
};

/// A call that arrived before calls with lower numbers.
struct early_call {
    reply_token token;
    wire::submit_call_request request;
    base::instant since{};
};

/// A request that is repeated until it is confirmed.
struct repeated_send {
    base::instant next_try{};
    std::uint32_t tries = 0;
    std::uint64_t exchange = 0;
    std::vector<reply_token> waiting;
};

enum class history_use { show_history, show_result, explain };

/// A request that needs the program's history in memory.
struct history_request {
    history_use use = history_use::show_history;
    base::call_number number;
    call_reader reader;
};

struct program_runtime {
    base::instant opened_at{};
    base::instant last_used{};
    /// Time of the next check of the idle limit. Only one check is scheduled, regardless of the
    /// number of calls.
    std::optional<base::instant> idle_wake;
    std::optional<base::instant> ended_at;
    /// Objects whose limits apply to the program.
    std::vector<config::object_key> limited_by;
    std::map<base::call_number, call_runtime> calls;
    std::map<base::call_number, std::vector<early_call>> early_calls;

    bool history_requested = false;
    std::optional<base::instant> history_retry;
    std::uint32_t history_tries = 0;
    std::vector<history_request> history_requests;

    /// Set once the program is being ended.
    std::optional<std::string> ending;
    bool end_appended = false;
    bool forget_appended = false;
    std::vector<reply_token> end_waiters;
    std::map<base::backend_id, repeated_send> releases;
    /// Attempts whose stop the engine has not confirmed.
    std::map<base::attempt_id, base::backend_id> unconfirmed_stops;
    std::map<base::program_id, repeated_send> transfers;
    std::optional<repeated_send> budget_return;
};

}  // namespace pearbarrow::program
