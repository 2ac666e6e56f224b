/// Messages between gateways and program owners, and between the owners of a parent and its child.
///
/// Every message is a msgpack array. A decoder keeps the default of a missing field and ignores
/// additional fields at the end, so fields are only added at the end. Times are durations in
/// milliseconds, since the clocks of processes differ.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::wire {

/// A key and a value that operators' selectors match.
struct label {
    std::string key;
    std::string value;
    auto operator<=>(const label&) const = default;
    MSGPACK_DEFINE(key, value);
};

/// One message of a conversation; `role` is `system`, `user`, `assistant` or `tool`.
struct chat_message {
    std::string role;
    std::string content;
    /// Name of the tool that returned the content. Empty for other roles.
    std::string name;
    bool operator==(const chat_message&) const = default;
    MSGPACK_DEFINE(role, content, name);
};

/// Limits of a program. 0 selects the owner's default.
struct program_limits {
    /// The program ends when no call was submitted or running for this long.
    std::uint64_t idle_ms = 0;
    /// The program ends when this time has passed since it was opened.
    std::uint64_t run_time_ms = 0;
    /// Maximum number of calls. Further calls are refused with `turn_limit`.
    std::uint64_t turns = 0;
    /// Maximum number of equal consecutive calls. A further one is refused with `loop_detected`.
    std::uint64_t equal_calls = 0;
    bool operator==(const program_limits&) const = default;
    MSGPACK_DEFINE(idle_ms, run_time_ms, turns, equal_calls);
};

/// The program that provides the budget of a sub-program, and the call that opened it.
struct parent_reference {
    base::program_id program;
    base::call_number call;
    bool operator==(const parent_reference&) const = default;
    MSGPACK_DEFINE(program, call);
};

/// Opens a program. The gateway generates the id. A repeated request with the same id and body has
/// the same reply. A request with `parent` is routed to the parent's owner, which reserves the
/// budget and opens the child at the child's owner.
struct open_program_request {
    std::string program_class;
    std::vector<label> labels;
    /// Tokens (prompt + generated, and declared tool costs) that the program may spend.
    std::uint64_t token_budget = 0;
    std::optional<parent_reference> parent;
    program_limits limits;
    bool operator==(const open_program_request&) const = default;
    MSGPACK_DEFINE(program_class, labels, token_budget, parent, limits);
};

/// Calls a model with the program's history and `new_messages`.
struct model_call {
    base::model_name model;
    /// Messages of this turn only. The owner prepends the history.
    std::vector<chat_message> new_messages;
    std::uint64_t max_output_tokens = 0;
    /// Sampling and other parameters as JSON, which are forwarded to the engine unparsed. May be
    /// empty.
    std::string parameters_json;
    bool operator==(const model_call&) const = default;
    MSGPACK_DEFINE(model, new_messages, max_output_tokens, parameters_json);
};

/// Executes a tool. The output is added to the history as a message with role `tool`.
struct tool_call {
    base::tool_name tool;
    std::string arguments_json;
    /// Whether the tool may be executed more than once. Otherwise it is executed at most once.
    bool repeatable = false;
    /// Cost of one execution in tokens of the budget.
    std::uint64_t declared_cost = 0;
    bool operator==(const tool_call&) const = default;
    MSGPACK_DEFINE(tool, arguments_json, repeatable, declared_cost);
};

/// The body of a call. Exactly one member is set. Calls with equal bodies are the same call.
struct call_body {
    std::optional<model_call> model;
    std::optional<tool_call> tool;
    bool operator==(const call_body&) const = default;
    MSGPACK_DEFINE(model, tool);
};

/// Submits call `number`, or attaches to it if the same was submitted before.
struct submit_call_request {
    /// 0: the next free number, or the number that `idempotency_key` already has.
    base::call_number number;
    call_body body;
    /// Whether `reply_part`s precede the final reply.
    bool stream = false;
    /// Time left until the caller's deadline. 0 selects the owner's default.
    std::uint64_t deadline_ms = 0;
    /// Name of the priority class. Empty selects that of the program class.
    std::string priority_class;
    /// The caller's `Idempotency-Key`. Empty if none.
    std::string idempotency_key;
    /// Last event id that the caller received before it repeated the call. Empty if none.
    std::string last_event_id;
    MSGPACK_DEFINE(number, body, stream, deadline_ms, priority_class, idempotency_key,
                   last_event_id);
};

/// Waits for the reply of an earlier call and never starts one.
struct attach_call_request {
    base::call_number number;
    bool stream = false;
    /// `attempt.offset` of the last part that the caller has. Empty requests the whole text.
    std::string last_event_id;
    MSGPACK_DEFINE(number, stream, last_event_id);
};

struct cancel_call_request {
    base::call_number number;
    MSGPACK_DEFINE(number);
};

struct end_program_request {
    /// Value of `program_view::end_reason`. Empty selects `ended_by_caller`.
    std::string reason;
    MSGPACK_DEFINE(reason);
};

struct get_program_request {
    /// Unused, since msgpack needs at least one field.
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

struct get_history_request {
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

/// Sent by the parent's owner to the child's owner. Opens the child with a budget that is already
/// deducted from the parent.
/// Idempotent by the child's id.
struct open_child_request {
    open_program_request open;
    MSGPACK_DEFINE(open);
};

/// Sent by the child's owner to the parent's owner (`program` of the request is the parent).
/// Returns the unspent budget of the ended child. Idempotent by the child's id.
struct return_budget_request {
    base::program_id child;
    std::uint64_t tokens = 0;
    MSGPACK_DEFINE(child, tokens);
};

/// Requests the decision records of a call.
struct explain_call_request {
    base::call_number number;
    MSGPACK_DEFINE(number);
};

/// Requests a call's decision records for an operator. The tenant is not checked and must be empty.
/// Only the operators' service of a node sends this message, never on behalf of a caller.
struct operator_explain_request {
    base::call_number number;
    MSGPACK_DEFINE(number);
};

/// A request to a program's owner. Exactly one of the optional members is set.
struct program_request {
    base::tenant_id tenant;
    /// The program that determines the route of the request, except for `open` with a parent, which
    /// `open->parent->program` routes.
    base::program_id program;
    std::optional<open_program_request> open;
    std::optional<submit_call_request> submit;
    std::optional<attach_call_request> attach;
    std::optional<cancel_call_request> cancel;
    std::optional<end_program_request> end;
    std::optional<get_program_request> get;
    std::optional<get_history_request> history;
    std::optional<open_child_request> open_child;
    std::optional<return_budget_request> return_budget;
    std::optional<explain_call_request> explain;
    std::optional<operator_explain_request> operator_explain;
    MSGPACK_DEFINE(tenant, program, open, submit, attach, cancel, end, get, history, open_child,
                   return_budget, explain, operator_explain);
};

/// Returns the program whose shard's owner receives `request`.
inline const base::program_id& routing_program(const program_request& request) {
    const bool by_parent = request.open.has_value() && request.open->parent.has_value();
    return by_parent ? request.open->parent->program : request.program;
}

/// Tokens that a call used, as reported by the engine.
struct token_usage {
    std::uint64_t prompt_tokens = 0;
    /// Part of `prompt_tokens` that the engine had cached.
    std::uint64_t cached_tokens = 0;
    std::uint64_t generated_tokens = 0;
    bool operator==(const token_usage&) const = default;
    MSGPACK_DEFINE(prompt_tokens, cached_tokens, generated_tokens);
};

/// A part of a streamed reply.
struct reply_part {
    /// `attempt.offset`: attempt number, and bytes of its text through the end of this part.
    std::string event_id;
    std::string text;
    /// Whether the reply restarts, which discards all text before this part. `text` may be empty.
    bool restart = false;
    base::call_number call;
    MSGPACK_DEFINE(event_id, text, restart, call);
};

/// The reply of a successful call. The reply of a failed or refused call is an error status with
/// details (`base::error_details`).
struct call_result {
    base::call_number number;
    /// The whole text of the model or the whole output of the tool.
    std::string output;
    token_usage usage;
    /// `stop`, `length`, `tool`.
    std::string finish_reason;
    /// Tokens of the budget that are neither spent nor reserved.
    std::uint64_t remaining_budget = 0;
    /// Always `yes` (1) in a result, so that gateways report the same field in all responses.
    std::uint8_t executed_code = static_cast<std::uint8_t>(base::executed::yes);
    /// The encoded placement decision of the successful attempt.
    std::string decision_record;
    /// Event id of the end of `output`.
    std::string last_event_id;
    base::backend_id backend;
    MSGPACK_DEFINE(number, output, usage, finish_reason, remaining_budget, executed_code,
                   decision_record, last_event_id, backend);
};

/// The reply of get, open, end and cancel.
struct program_view {
    base::program_id program;
    base::tenant_id tenant;
    std::string program_class;
    std::vector<label> labels;
    /// `open`, `ending` or `ended`.
    std::string state;
    std::string end_reason;
    std::uint64_t token_budget = 0;
    std::uint64_t spent_tokens = 0;
    /// Tokens reserved for running calls and for attempts with an unknown cost.
    std::uint64_t reserved_tokens = 0;
    std::uint64_t remaining_budget = 0;
    /// Number of the next new call.
    base::call_number next_call;
    std::optional<parent_reference> parent;
    std::vector<base::program_id> children;
    /// Whether every engine has confirmed that it caches nothing of the ended program.
    bool cache_released = false;
    MSGPACK_DEFINE(program, tenant, program_class, labels, state, end_reason, token_budget,
                   spent_tokens, reserved_tokens, remaining_budget, next_call, parent, children,
                   cache_released);
};

/// The conversation up to now, in the order of the calls.
struct history_view {
    std::vector<chat_message> messages;
    MSGPACK_DEFINE(messages);
};

/// Decision records of a call, oldest first, and the state of the call.
struct explain_view {
    std::vector<std::string> decision_records;
    /// `waiting_for_order`, `waiting_for_placement`, `running`, `done`, `failed`.
    std::string state;
    /// Reason code of a failed call.
    std::string reason;
    MSGPACK_DEFINE(decision_records, state, reason);
};

/// The final reply. The member that matches the request is set. Failures are sent as a status
/// instead.
struct program_reply {
    std::optional<program_view> program;
    std::optional<call_result> call;
    std::optional<history_view> history;
    std::optional<explain_view> explain;
    MSGPACK_DEFINE(program, call, history, explain);
};

}  // namespace pearbarrow::wire
