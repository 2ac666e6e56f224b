/// Messages between gateways and program owners, and between the owners of a parent and its child.
///
/// Every message is a msgpack array. A decoder keeps the default of a field that the sender did not
/// know and ignores fields after the last that it knows, so fields are only ever added at the end.
/// Times are spans in milliseconds: instants of one process mean nothing in another.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::wire {

/// One key and value that operators' selectors match.
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
    /// Name of the tool that answered; empty for other roles.
    std::string name;
    bool operator==(const chat_message&) const = default;
    MSGPACK_DEFINE(role, content, name);
};

/// Bounds on one program. 0 means: the owner's default.
struct program_limits {
    /// The program is ended when no call was submitted or running for this long.
    std::uint64_t idle_ms = 0;
    /// The program is ended when this much time has passed since it was opened.
    std::uint64_t run_time_ms = 0;
    /// Most calls in the program; further ones are refused with `turn_limit`.
    std::uint64_t turns = 0;
    /// Most equal calls in a row; one more is refused with `loop_detected`.
    std::uint64_t equal_calls = 0;
    bool operator==(const program_limits&) const = default;
    MSGPACK_DEFINE(idle_ms, run_time_ms, turns, equal_calls);
};

/// The program from whose budget a sub-program's is taken, and the call that opened it.
struct parent_reference {
    base::program_id program;
    base::call_number call;
    bool operator==(const parent_reference&) const = default;
    MSGPACK_DEFINE(program, call);
};

/// Opens a program. The id is drawn by the gateway; opening the same id again with the same body
/// answers as the first time. With `parent`, route it to the parent's owner: that one carves the
/// budget and has the child opened at the child's owner.
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

/// Asks a model to continue the program's history with `new_messages` added.
struct model_call {
    base::model_name model;
    /// Only this turn's messages: the owner puts the history before them.
    std::vector<chat_message> new_messages;
    std::uint64_t max_output_tokens = 0;
    /// Sampling parameters etc. as JSON, passed on to the engine unread; may be empty.
    std::string parameters_json;
    bool operator==(const model_call&) const = default;
    MSGPACK_DEFINE(model, new_messages, max_output_tokens, parameters_json);
};

/// Runs a tool. The output joins the history as a message of role `tool`.
struct tool_call {
    base::tool_name tool;
    std::string arguments_json;
    /// True when running it twice does no harm. False: it runs at most once.
    bool repeatable = false;
    /// Tokens of the budget that one run costs.
    std::uint64_t declared_cost = 0;
    bool operator==(const tool_call&) const = default;
    MSGPACK_DEFINE(tool, arguments_json, repeatable, declared_cost);
};

/// What a call asks for: exactly one of both is set. Two bodies are "the same call" when equal.
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
    /// True: `reply_part`s come before the final reply.
    bool stream = false;
    /// Time left until the caller wants no answer any more; 0 for the owner's default.
    std::uint64_t deadline_ms = 0;
    /// Name of the priority class; empty for the program class's own.
    std::string priority_class;
    /// The caller's `Idempotency-Key`; empty if none.
    std::string idempotency_key;
    /// Last event id that this caller has seen, when it repeats a call; empty if none.
    std::string last_event_id;
    MSGPACK_DEFINE(number, body, stream, deadline_ms, priority_class, idempotency_key,
                   last_event_id);
};

/// Waits for the answer of an earlier call; never starts one.
struct attach_call_request {
    base::call_number number;
    bool stream = false;
    /// `attempt.offset` of the last part that the caller has; empty for all of the text.
    std::string last_event_id;
    MSGPACK_DEFINE(number, stream, last_event_id);
};

struct cancel_call_request {
    base::call_number number;
    MSGPACK_DEFINE(number);
};

struct end_program_request {
    /// Shown in `program_view::end_reason`; empty for `ended_by_caller`.
    std::string reason;
    MSGPACK_DEFINE(reason);
};

struct get_program_request {
    /// Nothing yet; msgpack needs one field.
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

struct get_history_request {
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

/// Parent's owner to child's owner: opens the child with a budget already taken from the parent.
/// Idempotent by the child's id.
struct open_child_request {
    open_program_request open;
    MSGPACK_DEFINE(open);
};

/// Child's owner to parent's owner (`program` of the request is the parent): gives back what the
/// ended child did not spend. Idempotent by the child's id.
struct return_budget_request {
    base::program_id child;
    std::uint64_t tokens = 0;
    MSGPACK_DEFINE(child, tokens);
};

/// Asks for the decision records of a call.
struct explain_call_request {
    base::call_number number;
    MSGPACK_DEFINE(number);
};

/// An operator's reading of a call's decision records. The tenant is not checked and must be empty.
/// Only the operators' service of a node sends it; no request of a caller is turned into it.
struct operator_explain_request {
    base::call_number number;
    MSGPACK_DEFINE(number);
};

/// One request to a program's owner. Exactly one of the optional parts is set.
struct program_request {
    base::tenant_id tenant;
    /// The program that the request is routed by, except for `open` with a parent (route by
    /// `open->parent->program`).
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

/// The program whose shard's owner must get `request`.
inline const base::program_id& routing_program(const program_request& request) {
    const bool by_parent = request.open.has_value() && request.open->parent.has_value();
    return by_parent ? request.open->parent->program : request.program;
}

/// Tokens that a call used, as the engine counted them.
struct token_usage {
    std::uint64_t prompt_tokens = 0;
    /// Part of `prompt_tokens` that the engine had cached.
    std::uint64_t cached_tokens = 0;
    std::uint64_t generated_tokens = 0;
    bool operator==(const token_usage&) const = default;
    MSGPACK_DEFINE(prompt_tokens, cached_tokens, generated_tokens);
};

/// A piece of a streamed answer.
struct reply_part {
    /// `attempt.offset`: attempt number, and bytes of its text through the end of this part.
    std::string event_id;
    std::string text;
    /// The answer starts afresh: all text sent before this part is void. `text` may be empty.
    bool restart = false;
    base::call_number call;
    MSGPACK_DEFINE(event_id, text, restart, call);
};

/// The answer of a call that ended well. A call that failed or was refused is answered by an error
/// status with its details (`base::error_details`).
struct call_result {
    base::call_number number;
    /// The model's whole text, or the tool's whole output.
    std::string output;
    token_usage usage;
    /// `stop`, `length`, `tool`.
    std::string finish_reason;
    /// Tokens of the budget that are neither spent nor reserved.
    std::uint64_t remaining_budget = 0;
    /// Always `yes` (1) in a result; carried so that gateways show one thing for all answers.
    std::uint8_t executed_code = static_cast<std::uint8_t>(base::executed::yes);
    /// The placement decision of the attempt that answered, as placement encoded it.
    std::string decision_record;
    /// Event id of the end of `output`.
    std::string last_event_id;
    base::backend_id backend;
    MSGPACK_DEFINE(number, output, usage, finish_reason, remaining_budget, executed_code,
                   decision_record, last_event_id, backend);
};

/// What get_program shows, and what open, end and cancel answer with.
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
    /// Reserved for running calls, and kept for attempts whose cost is in doubt.
    std::uint64_t reserved_tokens = 0;
    std::uint64_t remaining_budget = 0;
    /// The number that the next new call will have.
    base::call_number next_call;
    std::optional<parent_reference> parent;
    std::vector<base::program_id> children;
    /// True once every engine has confirmed that it keeps nothing of the ended program.
    bool cache_released = false;
    MSGPACK_DEFINE(program, tenant, program_class, labels, state, end_reason, token_budget,
                   spent_tokens, reserved_tokens, remaining_budget, next_call, parent, children,
                   cache_released);
};

/// The conversation so far, in the order of the calls.
struct history_view {
    std::vector<chat_message> messages;
    MSGPACK_DEFINE(messages);
};

/// Decision records of one call, oldest first, and what became of the call.
struct explain_view {
    std::vector<std::string> decision_records;
    /// `waiting_for_order`, `waiting_for_placement`, `running`, `done`, `failed`.
    std::string state;
    /// Reason code when the call failed.
    std::string reason;
    MSGPACK_DEFINE(decision_records, state, reason);
};

/// The final reply; the part that fits the request is set. Failures travel as a status instead.
struct program_reply {
    std::optional<program_view> program;
    std::optional<call_result> call;
    std::optional<history_view> history;
    std::optional<explain_view> explain;
    MSGPACK_DEFINE(program, call, history, explain);
};

}  // namespace pearbarrow::wire
