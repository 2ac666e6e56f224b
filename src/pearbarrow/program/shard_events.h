/// What a shell tells a `shard_owner`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/configuration.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::program {

/// Names one waiting requester; chosen by the shell, never used twice by one owner.
using reply_token = base::strong_id<struct reply_token_tag, std::uint64_t>;
/// Names one offer to placement; chosen by the owner, unique only within its term.
using offer_id = base::strong_id<struct offer_tag, std::uint64_t>;
/// Number of an appended record within this owner's term; the first is 1.
using append_sequence = std::uint64_t;

namespace event {

/// A request from a gateway or another owner. Answered by exactly one `reply_final` or
/// `reply_error`, after any number of `reply_part`s.
struct request_received {
    reply_token token;
    wire::program_request request;
};

/// The requester went away: nothing more need be sent to it. Its call goes on.
struct requester_gone {
    reply_token token;
};

/// First event of an owner: the newest snapshot of the journal (empty if none) and the payloads of
/// the committed entries after it, in order. Entries of the journal itself (ownership) are left
/// out by the shell.
struct journal_recovered {
    std::string snapshot;
    std::vector<std::string> payloads;
};

/// All records with a sequence up to this one are on a majority under this owner's ballot.
struct records_committed {
    append_sequence through = 0;
};

/// No majority of the replicas answers (or again does): new requests are refused with `no_quorum`.
struct journal_availability {
    bool available = true;
};

/// A higher ballot fenced this owner, or it hands the shard over. Each waiting requester gets
/// `owner_lost` (executed unknown; repeating a numbered request elsewhere is safe); the object
/// answers only `not_owner` (executed no) from here on.
struct ownership_lost {
    /// The new owner, if known; shown as the peer of the error.
    base::node_id hint;
};

/// Placement chose a back end for the offer.
struct placement_granted {
    offer_id offer;
    base::backend_id backend;
    /// The encoded decision record.
    std::string decision;
    /// Passed on to the engine.
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};
};

/// Placement refuses for good: the call gets this status as its final answer.
struct placement_refused {
    offer_id offer;
    absl::Status status;
    std::string decision;
};

/// The dispatcher was lost before it answered: the call is offered again.
struct placement_lost {
    offer_id offer;
};

/// Text of an attempt. Parts of one attempt come in order without gaps; repeats are ignored.
struct model_part {
    base::attempt_id attempt;
    /// Index of the last token in `text`; the answer's first token has index 1.
    std::uint64_t index = 0;
    std::string text;
};

/// The engine ended the attempt's stream. When `usage` names more generated tokens than parts
/// arrived, the owner resumes the stream behind the last one.
struct model_finished {
    base::attempt_id attempt;
    wire::token_usage usage;
    /// `stop`, `length` or `cancelled`.
    std::string finish_reason;
};

/// The engine says that the attempt is over without a whole answer, or that it does not know it
/// (reason `stream_unknown`). `usage` only when the engine states what the attempt cost: leave it
/// out when the engine does not know the attempt, since it may have lost its memory.
struct model_failed {
    base::attempt_id attempt;
    absl::Status status;
    std::optional<wire::token_usage> usage;
};

/// The connection broke or the engine could not be reached: what became of the attempt is not
/// known. Also the answer to a start that the shell did not send for lack of leadership.
struct model_lost {
    base::attempt_id attempt;
};

/// The shell did not start the attempt, since `start_by` had passed: its back end may have been
/// marked as leaving since it was granted.
struct start_expired {
    base::attempt_id attempt;
};

struct tool_finished {
    base::attempt_id attempt;
    std::string output;
};

/// The tool answered with an error. The status's `executed` detail says whether it ran.
struct tool_failed {
    base::attempt_id attempt;
    absl::Status status;
};

/// No answer: the tool may have run.
struct tool_lost {
    base::attempt_id attempt;
};

enum class tool_state {
    /// It ran; `output` or `error` is what it answered.
    ran,
    running,
    /// Never seen, and the tool will refuse the idempotency key from now on.
    never_seen_and_fenced,
    /// Never seen, but it may still arrive.
    never_seen,
    /// The tool cannot tell, or does not know such queries.
    cannot_tell,
    /// The query got no answer; it is repeated within a bound.
    unreachable,
};

/// Answer to `action::query_tool_attempt`.
struct tool_status {
    base::attempt_id attempt;
    tool_state state = tool_state::cannot_tell;
    std::string output;
    /// Set when the tool ran and failed.
    absl::Status error;
};

/// The engine confirmed that it keeps nothing of the program, or is gone from the configuration.
struct cache_released {
    base::program_id program;
    base::backend_id backend;
};

/// Final answer of another owner to `action::send_to_owner`. Status codes kUnavailable,
/// kDeadlineExceeded, kAborted and kUnknown, and reason `not_owner`, mean "send again".
struct owner_answered {
    std::uint64_t exchange = 0;
    absl::StatusOr<wire::program_reply> reply;
};

/// Answer to `action::read_retained`: payloads of the journal's committed records with the key
/// prefix, in journal order.
struct retained_read {
    base::program_id program;
    absl::StatusOr<std::vector<std::string>> payloads;
};

/// Most open programs and running calls of one tenant, or of one program class, in this shard.
/// Empty `tenant` (or `program_class`): of each one not named. 0: no limit.
struct concurrency_limit {
    base::tenant_id tenant;
    std::string program_class;
    std::uint64_t programs = 0;
    std::uint64_t running_calls = 0;
};

/// Replaces all concurrency limits.
struct concurrency_limits_changed {
    std::vector<concurrency_limit> limits;
};

/// The operators' configuration: bounds on programs and the terms of tools. Fed before
/// `journal_recovered` and after each change.
struct configuration_changed {
    config::configuration_ptr configuration;
    base::region_name region;
};

/// Time passes; wanted every 50 ms or so.
struct tick {};

}  // namespace event

using shard_event =
    std::variant<event::request_received, event::requester_gone, event::journal_recovered,
                 event::records_committed, event::journal_availability, event::ownership_lost,
                 event::placement_granted, event::placement_refused, event::placement_lost,
                 event::model_part, event::model_finished, event::model_failed, event::model_lost,
                 event::start_expired, event::tool_finished, event::tool_failed, event::tool_lost,
                 event::tool_status, event::cache_released, event::owner_answered,
                 event::retained_read, event::concurrency_limits_changed,
                 event::configuration_changed, event::tick>;

}  // namespace pearbarrow::program
