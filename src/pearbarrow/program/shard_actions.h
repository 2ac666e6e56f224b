/// Actions that a `shard_owner` returns to its shell. The shell executes them in order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pearbarrow/program/records.h"
#include "pearbarrow/program/shard_events.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::program::action {

/// The last time at which a majority confirmed this owner, and how long that confirmation is valid.
/// If more than `trusted_for` has passed since `known_at` when the shell is about to act, the
/// journal must first confirm the leadership by a round to a majority. The shell drops the action
/// if that fails.
struct leadership {
    base::instant known_at{};
    base::microseconds trusted_for{0};
};

/// Appends a record to the journal. `event::records_committed` reports the commit. `retention_key`
/// may be empty.
struct append_record {
    append_sequence sequence = 0;
    std::string payload;
    std::string retention_key;
};

struct reply_part {
    reply_token token;
    wire::reply_part part;
};

/// The final reply to a requester, sent only after every record that it depends on is committed.
/// With `confirm` set the reply is valid only if this owner is the newest one (such as "not found",
/// or a history). The confirmation must then be requested after the request arrived, so
/// `trusted_for` is zero.
struct reply_final {
    reply_token token;
    wire::program_reply reply;
    std::optional<leadership> confirm;
};

struct reply_error {
    reply_token token;
    absl::Status status;
    std::optional<leadership> confirm;
};

/// Properties of a call that placement uses.
struct call_description {
    /// The attempt that a grant starts. It is unique among all attempts that are ever sent.
    base::attempt_id attempt;
    base::program_id program;
    base::tenant_id tenant;
    std::string program_class;
    std::vector<wire::label> labels;
    base::call_number number;
    /// Exactly one of `model` and `tool` is set.
    std::optional<base::model_name> model;
    std::optional<base::tool_name> tool;
    std::string priority_class;
    /// Upper bound of the prompt's tokens, and the output limit.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// Engine of the program's last model call, which may hold its prefix; empty if none.
    base::backend_id last_engine;
    /// Marks of the prompt in ascending order of tokens: its first messages, then the history
    /// after earlier calls.
    std::vector<wire::prefix_mark> prefixes;
    /// Tokens that the program has been served so far, and time since it was opened.
    std::uint64_t attained_tokens = 0;
    base::milliseconds program_age{0};
    base::milliseconds waited{0};
    std::uint32_t calls_done = 0;
    bool sub_program = false;
    /// Back ends on which earlier attempts at this call failed.
    std::vector<base::backend_id> avoid;
    /// Time until the call's deadline.
    base::milliseconds time_left{0};
};

struct offer_call {
    offer_id offer;
    call_description call;
};

struct withdraw_offer {
    offer_id offer;
};

/// The granted attempt has ended and its capacity on the back end is free.
struct finish_placement {
    offer_id offer;
    base::attempt_id attempt;
    base::program_id program;
    base::backend_id backend;
    wire::attempt_outcome outcome = wire::attempt_outcome::completed;
    std::optional<wire::token_usage> usage;
    /// Mark of the history including this call's output.
    wire::prefix_mark history;
    /// Tool of the program's next call if that call is already queued; empty otherwise.
    base::tool_name next_tool;
};

/// The program has ended and placement may drop its prefixes.
struct announce_program_end {
    base::program_id program;
    /// Engines that its calls ran on.
    std::vector<base::backend_id> engines;
};

/// After a take-over: registers an attempt of an earlier owner that occupies the back end.
struct register_in_flight {
    offer_id offer;
    base::backend_id backend;
    call_description call;
};

struct start_model_attempt {
    base::attempt_id attempt;
    base::backend_id engine;
    base::program_id program;
    base::tenant_id tenant;
    base::model_name model;
    /// The whole prompt: the program's history and the call's new messages.
    std::vector<wire::chat_message> messages;
    std::uint64_t max_output_tokens = 0;
    std::string parameters_json;
    std::string priority_class;
    /// Value from the grant of placement.
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};
    base::milliseconds time_left{0};
    base::call_number call;
    leadership confirm;
    /// If the confirmation delays the start beyond this time, the shell reports `start_expired`.
    base::instant start_by;
};

/// Streams the attempt again from token `from_index` (the first is 1). The events are those of a
/// start.
struct resume_model_attempt {
    base::attempt_id attempt;
    base::backend_id engine;
    std::uint64_t from_index = 1;
};

/// Cancels an attempt. The outcome is reported by `model_finished` (finish reason `cancelled`, with
/// the usage), by `model_failed` (the attempt had ended before, or is not known), or by
/// `model_lost` when the engine cannot be reached.
struct cancel_model_attempt {
    base::attempt_id attempt;
    base::backend_id engine;
};

struct start_tool_attempt {
    base::attempt_id attempt;
    base::backend_id backend;
    base::program_id program;
    base::tenant_id tenant;
    base::tool_name tool;
    /// The same for every attempt of a call.
    std::string idempotency_key;
    std::string arguments_json;
    base::milliseconds time_left{0};
    base::call_number call;
    leadership confirm;
    /// Same as `start_model_attempt::start_by`.
    base::instant start_by;
};

/// Cancels a tool attempt whose result is no longer needed.
struct cancel_tool_attempt {
    base::attempt_id attempt;
    base::backend_id backend;
};

/// Queries the status of the call. A tool that supports fencing refuses the key from now on if it
/// has never seen it. The result is `event::tool_status`.
struct query_tool_attempt {
    base::attempt_id attempt;
    base::backend_id backend;
    base::tool_name tool;
    std::string idempotency_key;
};

/// Frees the cache memory of the ended program. Repeated with backoff until
/// `event::cache_released`.
struct release_cache {
    base::program_id program;
    base::backend_id backend;
};

/// Sends a request to the owner of the shard of `routing_program(request)`. The reply arrives as
/// `event::owner_answered` with the same `exchange`.
struct send_to_owner {
    std::uint64_t exchange = 0;
    wire::program_request request;
    leadership confirm;
};

/// Reads retained records. The result is `event::retained_read`.
struct read_retained {
    base::program_id program;
    std::string key_prefix;
};

/// Drops the retained records of a forgotten program.
struct drop_retained {
    std::string key_prefix;
};

/// A snapshot that replaces all records of this term up to `through` and everything before the
/// term. All of them are committed.
struct store_snapshot {
    append_sequence through = 0;
    std::string payload;
};

/// The journal contains records that this version cannot apply, so the shard must not be served.
struct journal_unusable {
    absl::Status status;
};

}  // namespace pearbarrow::program::action

namespace pearbarrow::program {

using shard_action =
    std::variant<action::append_record, action::reply_part, action::reply_final,
                 action::reply_error, action::offer_call, action::withdraw_offer,
                 action::finish_placement, action::announce_program_end, action::register_in_flight,
                 action::start_model_attempt, action::resume_model_attempt,
                 action::cancel_model_attempt, action::start_tool_attempt,
                 action::cancel_tool_attempt, action::query_tool_attempt, action::release_cache,
                 action::send_to_owner, action::read_retained, action::drop_retained,
                 action::store_snapshot, action::journal_unusable>;

}  // namespace pearbarrow::program
