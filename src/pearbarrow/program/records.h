/// Records that a program owner writes to its shard's journal before it acts.
///
/// The state of a shard's programs is the result of applying its records in order, at the owner
/// that wrote them and at every later one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::program {

/// Number of an attempt within its call; the first is 1. It is never used twice, since an attempt
/// starts only after its intent record is committed.
using attempt_number = std::uint32_t;

/// A failure as it is journaled, so that a late reader gets the same error.
struct failure {
    int code = 0;
    std::string message;
    std::string step;
    std::string peer;
    std::string reason;
    std::uint8_t executed_code = 0;
    /// When a new call may usefully be made; 0: that cannot help.
    std::uint64_t retry_after_ms = 0;
    bool operator==(const failure&) const = default;
    MSGPACK_DEFINE(code, message, step, peer, reason, executed_code, retry_after_ms);
};

failure to_failure(const absl::Status& status);
absl::Status to_status(const failure& value);

struct opened_record {
    base::tenant_id tenant;
    wire::open_program_request request;
    MSGPACK_DEFINE(tenant, request);
};

/// What the configuration said of a call's tool when the call was accepted. It stands above what
/// the caller claimed, also at a later owner.
struct tool_terms_record {
    bool repeatable = false;
    std::uint64_t cost = 0;
    MSGPACK_DEFINE(repeatable, cost);
};

/// The call will run when its turn comes. Written under the call's retention key.
struct accepted_record {
    base::call_number number;
    wire::call_body body;
    std::uint64_t deadline_ms = 0;
    std::string priority_class;
    std::string idempotency_key;
    std::optional<tool_terms_record> tool_terms;
    MSGPACK_DEFINE(number, body, deadline_ms, priority_class, idempotency_key, tool_terms);
};

/// The attempt may be sent to the back end once this record is committed.
struct intent_record {
    base::call_number number;
    attempt_number attempt = 0;
    base::backend_id backend;
    std::uint64_t reserved_tokens = 0;
    std::string decision;
    MSGPACK_DEFINE(number, attempt, backend, reserved_tokens, decision);
};

/// An attempt is over and its call goes on with another. Without `spent_tokens` the cost is in
/// doubt and its reservation is kept for good.
struct attempt_closed_record {
    base::call_number number;
    attempt_number attempt = 0;
    std::optional<std::uint64_t> spent_tokens;
    MSGPACK_DEFINE(number, attempt, spent_tokens);
};

/// The final answer of a call. Written under the call's retention key.
struct result_record {
    base::call_number number;
    attempt_number attempt = 0;
    std::string output;
    wire::token_usage usage;
    std::string finish_reason;
    base::backend_id backend;
    std::string decision;
    /// Set when the call failed or was refused.
    std::optional<failure> failed;
    /// Cost of the last attempt; none: in doubt, its reservation is kept.
    std::optional<std::uint64_t> spent_tokens;
    MSGPACK_DEFINE(number, attempt, output, usage, finish_reason, backend, decision, failed,
                   spent_tokens);
};

struct ended_record {
    std::string reason;
    MSGPACK_DEFINE(reason);
};

/// Every engine confirmed that it keeps nothing of the program.
struct released_record {
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

/// The ended program is dropped; its id is free of state from here on.
struct forgotten_record {
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

/// Parent: `tokens` are taken for the child. The child's id is the id of the transfer.
struct transfer_out_record {
    base::program_id child;
    wire::open_program_request open;
    MSGPACK_DEFINE(child, open);
};

/// Parent: the child's owner confirmed that the child is open.
struct transfer_confirmed_record {
    base::program_id child;
    MSGPACK_DEFINE(child);
};

/// Parent: the child gave back what it did not spend, or was never opened.
struct transfer_returned_record {
    base::program_id child;
    std::uint64_t tokens = 0;
    MSGPACK_DEFINE(child, tokens);
};

/// Child: the parent confirmed that it has the rest of the budget again.
struct budget_returned_record {
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

/// One entry of the journal. Exactly one of the optional parts is set.
struct program_record {
    base::program_id program;
    /// Time since the program was opened, so that a later owner keeps its run time limit.
    std::uint64_t age_ms = 0;
    std::optional<opened_record> opened;
    std::optional<accepted_record> accepted;
    std::optional<intent_record> intent;
    std::optional<attempt_closed_record> attempt_closed;
    std::optional<result_record> result;
    std::optional<ended_record> ended;
    std::optional<released_record> released;
    std::optional<forgotten_record> forgotten;
    std::optional<transfer_out_record> transfer_out;
    std::optional<transfer_confirmed_record> transfer_confirmed;
    std::optional<transfer_returned_record> transfer_returned;
    std::optional<budget_returned_record> budget_returned;
    MSGPACK_DEFINE(program, age_ms, opened, accepted, intent, attempt_closed, result, ended,
                   released, forgotten, transfer_out, transfer_confirmed, transfer_returned,
                   budget_returned);
};

/// Fails with reason `malformed_message`, or `unknown_record` when no part that this version knows
/// is set.
absl::StatusOr<program_record> decode_record(std::string_view payload);

/// Prefix of the retention keys of all of a program's records: `<program id>/`.
std::string retention_prefix(const base::program_id& program);
/// Key under which the journal keeps a call's body and result readable after truncation:
/// `<program id>/<call number, 10 digits>`. Records without bulk data have no key.
std::string retention_key(const base::program_id& program, base::call_number number);
std::string retention_key(const program_record& record);

}  // namespace pearbarrow::program
