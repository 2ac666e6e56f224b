/// What a `shard_owner` asks its shell to do. Actions are carried out in their order.
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

/// When the majority last vouched for this owner, and how long that may be trusted. If more than
/// `trusted_for` has passed since `known_at` when the shell is about to act, it must first have the
/// journal confirm the leadership (a round to a majority), and drop the action when that fails.
struct leadership {
    base::instant known_at{};
    base::microseconds trusted_for{0};
};

/// Append to the journal; `event::records_committed` answers. `retention_key` may be empty.
struct append_record {
    append_sequence sequence = 0;
    std::string payload;
    std::string retention_key;
};

struct reply_part {
    reply_token token;
    wire::reply_part part;
};

/// Sent only after every record that it rests on is committed. With `confirm` set the reply rests
/// on this owner being the newest one (such as "not found", or a history): the confirmation must be
/// asked for after the request came, so `trusted_for` is zero.
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

/// What placement needs to know of a call.
struct call_description {
    /// The attempt that a grant will start: unique for each attempt that is ever sent.
    base::attempt_id attempt;
    base::program_id program;
    base::tenant_id tenant;
    std::string program_class;
    std::vector<wire::label> labels;
    base::call_number number;
    /// Exactly one of both is set.
    std::optional<base::model_name> model;
    std::optional<base::tool_name> tool;
    std::string priority_class;
    /// Upper bound of the prompt's tokens, and the output limit.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// Engine of the program's last model call, which may hold its prefix; empty if none.
    base::backend_id last_engine;
    /// Marks of the prompt in ascending order of tokens: its first messages, then the history as
    /// it stood after earlier calls.
    std::vector<wire::prefix_mark> prefixes;
    /// Tokens that the program has been served so far, and time since it was opened.
    std::uint64_t attained_tokens = 0;
    base::milliseconds program_age{0};
    base::milliseconds waited{0};
    std::uint32_t calls_done = 0;
    bool sub_program = false;
    /// Back ends on which earlier attempts at this call failed.
    std::vector<base::backend_id> avoid;
    /// Time left until the caller wants no answer any more.
    base::milliseconds time_left{0};
};

struct offer_call {
    offer_id offer;
    call_description call;
};

struct withdraw_offer {
    offer_id offer;
};

/// The granted attempt is over: its place on the back end is free.
struct finish_placement {
    offer_id offer;
    base::attempt_id attempt;
    base::program_id program;
    base::backend_id backend;
    wire::attempt_outcome outcome = wire::attempt_outcome::completed;
    std::optional<wire::token_usage> usage;
    /// Mark of the history including this call's answer.
    wire::prefix_mark history;
    /// Tool of the program's next call, when that is queued already; empty otherwise.
    base::tool_name next_tool;
};

/// The program has ended: placement may forget its prefixes.
struct announce_program_end {
    base::program_id program;
    /// Engines that its calls ran on.
    std::vector<base::backend_id> engines;
};

/// After a take-over: an attempt that an earlier owner started occupies the back end.
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
    /// As granted by placement.
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};
    base::milliseconds time_left{0};
    base::call_number call;
    leadership confirm;
    /// A start that is held up beyond this, by the confirmation, is answered by `start_expired`.
    base::instant start_by;
};

/// Stream the attempt again from token `from_index` (the first is 1); answered like a start.
struct resume_model_attempt {
    base::attempt_id attempt;
    base::backend_id engine;
    std::uint64_t from_index = 1;
};

/// Answered by `model_finished` (finish reason `cancelled`, with the usage), by `model_failed` (the
/// attempt had ended before, or is not known), or by `model_lost` when the engine can't be asked.
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
    /// As of a model attempt.
    base::instant start_by;
};

/// Nobody waits for the tool's answer any more.
struct cancel_tool_attempt {
    base::attempt_id attempt;
    base::backend_id backend;
};

/// Ask what became of the call, and to refuse its key from now on if it was never seen (where the
/// tool can do that). Answered by `event::tool_status`.
struct query_tool_attempt {
    base::attempt_id attempt;
    base::backend_id backend;
    base::tool_name tool;
    std::string idempotency_key;
};

/// Free all memory held for the ended program; repeated with backoff until
/// `event::cache_released`.
struct release_cache {
    base::program_id program;
    base::backend_id backend;
};

/// Send to the owner of `routing_program(request)`'s shard; answered by `event::owner_answered`
/// with the same `exchange`.
struct send_to_owner {
    std::uint64_t exchange = 0;
    wire::program_request request;
    leadership confirm;
};

/// Answered by `event::retained_read`.
struct read_retained {
    base::program_id program;
    std::string key_prefix;
};

/// The program is forgotten: its retained records are garbage.
struct drop_retained {
    std::string key_prefix;
};

/// A snapshot that replaces all records of this term up to `through` and everything before the
/// term. All of them are committed.
struct store_snapshot {
    append_sequence through = 0;
    std::string payload;
};

/// The journal holds records that this version cannot apply: the shard must not be served.
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
