/// What an owner knows about programs beside their durable state: waits, readers, text so far.
/// All of it is lost with the owner, and nothing that must hold rests on it.
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

/// A requester that waits for a call's answer, and how much of it that one has.
struct call_reader {
    reply_token token;
    bool stream = false;
    /// Attempt and bytes of its text that were delivered; attempt 0: none.
    attempt_number attempt = 0;
    std::uint64_t offset = 0;
};

enum class call_stage {
    /// Waits for lower numbers, or to be offered to placement.
    queued,
    /// Waits for the history to be read from the journal.
    reading_history,
    /// Offered to placement.
    offered,
    /// The intent is appended but not committed, or the history must be read again before the send.
    intended,
    /// The back end has, or may have, the attempt.
    running,
    /// The tool is asked what became of the attempt.
    querying,
    /// The engine is told to stop.
    cancelling,
    /// Waits before another attempt.
    backing_off,
    /// The result is appended but not committed.
    finishing,
};

/// An unfinished call.
struct call_runtime {
    call_stage stage = call_stage::queued;
    base::instant accepted_at{};
    base::instant deadline{};
    base::instant stage_since{};
    /// When to repeat a query, a resume or a cancel, or to start the next attempt.
    std::optional<base::instant> next_try;
    std::uint32_t tries = 0;

    std::optional<offer_id> offer;
    base::backend_id granted_backend;
    base::instant granted_at;
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};

    /// The attempt was started by this owner, which so knows that an engine's "never taken" is
    /// true.
    bool started_here = false;
    bool intent_committed = false;
    std::string text;
    std::uint64_t last_index = 0;
    std::vector<call_reader> readers;
    /// Counted against the limits on tokens in flight.
    std::uint64_t counted_tokens = 0;
    /// The answer to give once the attempt has stopped; none while it is wanted.
    std::optional<absl::Status> stop_status;
    result_record result;
};

/// A call whose predecessors have not come yet.
struct early_call {
    reply_token token;
    wire::submit_call_request request;
    base::instant since{};
};

/// A message or order that is repeated until it is confirmed.
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
    /// The next look at the idle limit: one at a time, however many calls come.
    std::optional<base::instant> idle_wake;
    std::optional<base::instant> ended_at;
    /// Objects whose limits the program counts against.
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
    /// Attempts that an engine did not confirm to have stopped.
    std::map<base::attempt_id, base::backend_id> unconfirmed_stops;
    std::map<base::program_id, repeated_send> transfers;
    std::optional<repeated_send> budget_return;
};

}  // namespace pearbarrow::program
