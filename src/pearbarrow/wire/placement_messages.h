/// Messages between a program's owner and the dispatcher of a cell of engines.
///
/// The owner offers one attempt at a model or tool call and waits for the reply, a grant or a
/// refusal. When the attempt has ended it sends `placement_finished`. After the loss of a
/// dispatcher the owner repeats offers without a grant and sends `placement_registration` for
/// attempts in flight. The clocks of processes differ, so every time is a duration at the time of
/// sending.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pearbarrow/base/ids.h"

namespace pearbarrow::wire {

/// The first `tokens` tokens of a prompt, identified by a hash of their content. Equal keys mean
/// equal prefixes, also between programs (a shared system prompt, a ledger's document).
struct prefix_mark {
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;

    bool operator==(const prefix_mark&) const = default;
    MSGPACK_DEFINE(key, tokens);
};

/// One attempt at a call, offered to a cell of engines or tool services.
struct placement_offer {
    /// Unique id of the offer.
    base::attempt_id attempt;
    base::program_id program;
    base::tenant_id tenant;
    base::call_number call;
    base::node_id owner;
    std::string program_class;
    /// Exactly one of `model` and `tool` is not empty.
    base::model_name model;
    base::tool_name tool;
    /// Labels of the program, which the selectors of scheduling rules match.
    std::map<std::string, std::string> labels;

    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// Marks of the prompt in ascending order of tokens: parts that other programs may
    /// share (system prompt, document). The program's own history is `history_tokens`.
    std::vector<prefix_mark> prefixes;

    /// Time left until the caller's deadline. 0 if there is none.
    std::uint64_t deadline_ms = 0;
    /// Time that the call has waited before this offer (earlier dispatchers and attempts).
    std::uint64_t waited_ms = 0;
    /// Engine of the program's last model call, which may have cached its prefix. Empty if none.
    base::backend_id last_engine;
    /// Tokens at the head of the prompt that the last engine may have cached.
    std::uint32_t history_tokens = 0;
    /// Tokens served to the program so far.
    std::uint64_t attained_tokens = 0;
    /// Time since the program's first call.
    std::uint64_t program_age_ms = 0;
    /// Finished calls of the program.
    std::uint32_t calls_done = 0;
    /// 0 for a program, 1 for its sub-program, and so on.
    std::uint32_t depth = 0;
    /// Other sub-programs of the same parent that are in progress.
    std::uint32_t siblings_in_progress = 0;
    /// Engines on which earlier attempts at this call have failed.
    std::vector<base::backend_id> excluded_engines;

    MSGPACK_DEFINE(attempt, program, tenant, call, owner, program_class, model, tool, labels,
                   prompt_tokens, max_output_tokens, prefixes, deadline_ms, waited_ms, last_engine,
                   history_tokens, attained_tokens, program_age_ms, calls_done, depth,
                   siblings_in_progress, excluded_engines);
};

enum class placement_outcome : std::uint8_t { granted = 0, refused = 1 };

/// The only reply to an offer.
struct placement_reply {
    placement_outcome answer = placement_outcome::refused;
    base::attempt_id attempt;

    /// Set when granted. The engine to call, and the number of the grant at this dispatcher.
    base::backend_id backend;
    base::grant_id grant;
    /// Priority of this request at the engine. Lower values run first.
    std::int32_t engine_priority = 0;
    /// How long the engine should keep the program's prefix after the response. 0 for no pin.
    std::uint64_t pin_lease_ms = 0;
    /// Engines that cache an outdated prefix of the program, which the owner may release.
    std::vector<base::backend_id> stale_holders;

    /// Set if refused: an absl::StatusCode, a snake_case reason, a sentence, and the retry delay (0
    /// if a retry cannot succeed). A refused attempt has not been and will not be executed.
    std::int32_t status_code = 0;
    std::string reason;
    std::string message;
    std::uint64_t retry_after_ms = 0;

    /// The encoded `placement::decision_record`, which the owner journals with the call.
    std::string decision;

    MSGPACK_DEFINE(answer, attempt, backend, grant, engine_priority, pin_lease_ms, stale_holders,
                   status_code, reason, message, retry_after_ms, decision);
};

enum class attempt_outcome : std::uint8_t { completed = 0, cancelled = 1, failed = 2, lost = 3 };

/// A granted attempt has ended and no longer occupies its engine.
struct placement_finished {
    base::attempt_id attempt;
    base::program_id program;
    base::backend_id backend;
    attempt_outcome outcome = attempt_outcome::completed;
    std::uint32_t prompt_tokens = 0;
    /// Prompt tokens that the engine read from its cache.
    std::uint32_t cached_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// Time from the arrival of the request at the engine to the first token, and to the last.
    std::uint64_t first_token_us = 0;
    std::uint64_t service_us = 0;
    /// Length of the prompt and the response in tokens, with which the program's next prompt
    /// starts.
    std::uint32_t history_tokens = 0;
    /// Whether the program has ended and sends no further calls.
    bool program_ended = false;
    /// The tool that the program calls next. Empty if unknown.
    std::string next_tool;

    MSGPACK_DEFINE(attempt, program, backend, outcome, prompt_tokens, cached_tokens, output_tokens,
                   first_token_us, service_us, history_tokens, program_ended, next_tool);
};

/// Withdraws an offer. The dispatcher refuses a waiting offer with reason `withdrawn`, and ignores
/// the withdrawal of an offer that is unknown or already granted.
struct placement_withdrawal {
    base::attempt_id attempt;
    std::string reason;

    MSGPACK_DEFINE(attempt, reason);
};

/// Registers an attempt in flight that an earlier dispatcher granted, after a takeover of the cell.
struct placement_registration {
    placement_offer offer;
    base::backend_id backend;
    /// Time since its grant.
    std::uint64_t running_ms = 0;

    MSGPACK_DEFINE(offer, backend, running_ms);
};

/// Queries why an offer waits, was granted or was refused. The dispatcher keeps a bounded number of
/// records.
struct placement_explain_request {
    base::attempt_id attempt;

    MSGPACK_DEFINE(attempt);
};

struct placement_explain_reply {
    bool found = false;
    /// The encoded `placement::decision_record`.
    std::string decision;

    MSGPACK_DEFINE(found, decision);
};

}  // namespace pearbarrow::wire

MSGPACK_ADD_ENUM(pearbarrow::wire::placement_outcome);
MSGPACK_ADD_ENUM(pearbarrow::wire::attempt_outcome);
