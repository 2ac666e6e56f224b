/// Events that a shell passes to a `shard_owner`.
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

/// Identifies one waiting requester. The shell assigns it and never reuses it for one owner.
using reply_token = base::strong_id<struct reply_token_tag, std::uint64_t>;
/// Identifies one offer to placement. The owner assigns it; it is unique only within its term.
using offer_id = base::strong_id<struct offer_tag, std::uint64_t>;
/// Number of an appended record within this owner's term; the first is 1.
using append_sequence = std::uint64_t;

namespace event {

/// A request from a gateway or another owner. It gets any number of `reply_part`s and then exactly
/// one `reply_final` or `reply_error`.
struct request_received {
    reply_token token;
    wire::program_request request;
};

/// The requester disconnected and needs no further replies. Its call continues.
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

/// All records up to this sequence are stored on a majority under this owner's ballot.
struct records_committed {
    append_sequence through = 0;
};

/// Reports whether a majority of the replicas is reachable. While it is not, new requests are
/// refused with `no_quorum`.
struct journal_availability {
    bool available = true;
};

/// A higher ballot fenced this owner, or it hands the shard over. Each waiting requester gets
/// `owner_lost` (executed unknown; a retry of a numbered request elsewhere is safe). From then on
/// the owner replies to every request with `not_owner` (executed no).
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
    /// Forwarded to the engine.
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};
};

/// Placement refuses the call permanently, and the call fails with this status.
struct placement_refused {
    offer_id offer;
    absl::Status status;
    std::string decision;
};

/// The dispatcher was lost before it replied. The call is offered again.
struct placement_lost {
    offer_id offer;
};

/// Text of an attempt. Parts of one attempt arrive in order without gaps; repeated parts are
/// ignored.
struct model_part {
    base::attempt_id attempt;
    /// Index of the last token in `text`; the first token of the output has index 1.
    std::uint64_t index = 0;
    std::string text;
};

/// The engine ended the attempt's stream. When `usage` reports more generated tokens than
/// arrived, the owner resumes the stream after the last one.
struct model_finished {
    base::attempt_id attempt;
    wire::token_usage usage;
    /// `stop`, `length` or `cancelled`.
    std::string finish_reason;
};

/// The engine reports that the attempt ended without a complete output, or that the attempt is
/// unknown (reason `stream_unknown`). `usage` is set only when the engine reports the cost of the
/// attempt. It is unset for an unknown attempt, since the engine may have lost its state.
struct model_failed {
    base::attempt_id attempt;
    absl::Status status;
    std::optional<wire::token_usage> usage;
};

/// The connection broke or the engine could not be reached, so the outcome of the attempt is
/// unknown. Also reported for a start that the shell did not send because the leadership was not
/// confirmed.
struct model_lost {
    base::attempt_id attempt;
};

/// The shell did not start the attempt because `start_by` had passed. The back end may have been
/// marked as leaving since the grant.
struct start_expired {
    base::attempt_id attempt;
};

struct tool_finished {
    base::attempt_id attempt;
    std::string output;
};

/// The tool returned an error. The `executed` detail of the status states whether it was executed.
struct tool_failed {
    base::attempt_id attempt;
    absl::Status status;
};

/// The tool sent no response; the call may have been executed.
struct tool_lost {
    base::attempt_id attempt;
};

enum class tool_state {
    /// The call was executed; `output` or `error` is its result.
    ran,
    running,
    /// The tool never received the call and will refuse the idempotency key from now on.
    never_seen_and_fenced,
    /// The tool has not received the call, but it may still arrive.
    never_seen,
    /// The tool does not know the status or does not support such queries.
    cannot_tell,
    /// The query got no response; it is repeated for a limited time.
    unreachable,
};

/// Result of `action::query_tool_attempt`.
struct tool_status {
    base::attempt_id attempt;
    tool_state state = tool_state::cannot_tell;
    std::string output;
    /// Set when the tool ran and failed.
    absl::Status error;
};

/// The engine confirmed that it holds no cache for the program, or was removed from the
/// configuration.
struct cache_released {
    base::program_id program;
    base::backend_id backend;
};

/// Final reply of another owner to `action::send_to_owner`. The request is sent again on status
/// codes kUnavailable, kDeadlineExceeded, kAborted and kUnknown, and on reason `not_owner`.
struct owner_answered {
    std::uint64_t exchange = 0;
    absl::StatusOr<wire::program_reply> reply;
};

/// Result of `action::read_retained`: payloads of the committed records with the key prefix, in
/// journal order.
struct retained_read {
    base::program_id program;
    absl::StatusOr<std::vector<std::string>> payloads;
};

/// Maximum number of open programs and running calls of one tenant, or of one program class, in
/// this shard. If both names are empty, the limit applies to each tenant without its own limit. 0
/// means no limit.
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

/// The operators' configuration: bounds on programs and the terms of tools. Passed before
/// `journal_recovered` and after each change.
struct configuration_changed {
    config::configuration_ptr configuration;
    base::region_name region;
};

/// Drives all timers. Expected about every 50 ms.
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
