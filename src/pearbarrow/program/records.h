/// Records that a program owner writes to its shard's journal before it acts.
///
/// The state of a shard's programs is the result of applying its records in order, both at
/// the owner that wrote them and at every later owner.
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

/// A failure as stored in the journal, so that a late reader receives the same error.
struct failure {
    int code = 0;
    std::string message;
    std::string step;
    std::string peer;
    std::string reason;
    std::uint8_t executed_code = 0;
    /// Delay after which a new call may succeed. 0 means that a retry does not help.
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

/// The configured terms of a call's tool at the time when the call was accepted. They override the
/// caller's claims, also at a later owner.
struct tool_terms_record {
    bool repeatable = false;
    std::uint64_t cost = 0;
    MSGPACK_DEFINE(repeatable, cost);
};

/// The call is accepted and runs after the calls before it. Written under the call's retention key.
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

/// An attempt has ended and its call continues with another one. Without `spent_tokens` the cost is
/// unknown and the reservation is permanent.
struct attempt_closed_record {
    base::call_number number;
    attempt_number attempt = 0;
    std::optional<std::uint64_t> spent_tokens;
    MSGPACK_DEFINE(number, attempt, spent_tokens);
};

/// The final result of a call. Written under the call's retention key.
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
    /// Cost of the last attempt. If it is unset, the cost is unknown and the reservation is kept.
    std::optional<std::uint64_t> spent_tokens;
    MSGPACK_DEFINE(number, attempt, output, usage, finish_reason, backend, decision, failed,
                   spent_tokens);
};

struct ended_record {
    std::string reason;
    MSGPACK_DEFINE(reason);
};

/// Every engine confirmed that it holds no cache for the program.
struct released_record {
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

/// The state of the ended program is removed. No state exists for its id after this record.
struct forgotten_record {
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

/// Parent: the budget in `open` is transferred to the child. The child's id identifies the
/// transfer.
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

/// Parent: the child returned its unspent tokens, or was never opened.
struct transfer_returned_record {
    base::program_id child;
    std::uint64_t tokens = 0;
    MSGPACK_DEFINE(child, tokens);
};

/// Child: the parent confirmed the return of the remaining budget.
struct budget_returned_record {
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

/// One entry of the journal. Exactly one of the optional parts is set.
struct program_record {
    base::program_id program;
    /// Time since the program was opened, so that a later owner enforces its run time limit.
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

/// Decodes a record. Fails with reason `malformed_message`, or with `unknown_record` when no part
/// that this version knows is set.
absl::StatusOr<program_record> decode_record(std::string_view payload);

/// Returns the prefix of the retention keys of all records of a program: `<program id>/`.
std::string retention_prefix(const base::program_id& program);
/// Returns the key under which a call's body and result stay readable after journal truncation:
/// `<program id>/<call number, 10 digits>`. Records without bulk data have no key.
std::string retention_key(const base::program_id& program, base::call_number number);
std::string retention_key(const program_record& record);

}  // namespace pearbarrow::program
