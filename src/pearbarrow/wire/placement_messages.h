/// Messages between a program's owner and the dispatcher of a cell of engines.
///
/// The owner offers one attempt at a model or tool call and waits for the reply, a grant or a
/// refusal. When the attempt has ended it sends `placement_finished`. After the loss of a
/// dispatcher the owner offers again what has no grant and sends `placement_registration` for what
/// is in flight. Processes' clocks differ, so every time here is a length, counted when the message
/// is sent.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pearbarrow/base/ids.h"

namespace pearbarrow::wire {

/// The first `tokens` tokens of a prompt, named by a hash of their content. Equal keys mean equal
/// prefixes, also between programs (a shared system prompt, a ledger's document).
struct prefix_mark {
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;

    bool operator==(const prefix_mark&) const = default;
    MSGPACK_DEFINE(key, tokens);
};

/// One attempt at a call, offered to a cell of engines or tool services.
struct placement_offer {
    /// Names the offer: unique for each one that is ever made.
    base::attempt_id attempt;
    base::program_id program;
    base::tenant_id tenant;
    base::call_number call;
    base::node_id owner;
    std::string program_class;
    /// Exactly one of both is not empty.
    base::model_name model;
    base::tool_name tool;
    /// Labels of the program, matched by the selectors of scheduling rules.
    std::map<std::string, std::string> labels;

    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// Marks of the prompt in ascending order of tokens: parts that other programs may
    /// share (system prompt, document). The program's own history is `history_tokens`.
    std::vector<prefix_mark> prefixes;

    /// Time left until the caller's deadline; 0 when there is none.
    std::uint64_t deadline_ms = 0;
    /// Time that the call has waited before this offer (earlier dispatchers and attempts).
    std::uint64_t waited_ms = 0;
    /// Engine of the program's last model call, which may hold its prefix; empty if none.
    base::backend_id last_engine;
    /// Tokens at the head of the prompt that the last engine may have cached.
    std::uint32_t history_tokens = 0;
    /// Tokens that the program has been served so far.
    std::uint64_t attained_tokens = 0;
    /// Time since the program's first call.
    std::uint64_t program_age_ms = 0;
    /// Calls of the program that are finished.
    std::uint32_t calls_done = 0;
    /// 0 for a program, 1 for its sub-program, and so on.
    std::uint32_t depth = 0;
    /// Sub-programs of the same parent that are still under way, this one not counted.
    std::uint32_t siblings_under_way = 0;
    /// Engines on which earlier attempts at this call failed.
    std::vector<base::backend_id> avoid;

    MSGPACK_DEFINE(attempt, program, tenant, call, owner, program_class, model, tool, labels,
                   prompt_tokens, max_output_tokens, prefixes, deadline_ms, waited_ms, last_engine,
                   history_tokens, attained_tokens, program_age_ms, calls_done, depth,
                   siblings_under_way, avoid);
};

enum class placement_answer : std::uint8_t { granted = 0, refused = 1 };

/// The one reply to an offer.
struct placement_reply {
    placement_answer answer = placement_answer::refused;
    base::attempt_id attempt;

    /// Set when granted. The engine to call, and the number of the grant at this dispatcher.
    base::backend_id backend;
    base::grant_id grant;
    /// The priority to give to the engine for this request; lower runs first.
    std::int32_t engine_priority = 0;
    /// How long the engine is asked to keep the program's prefix after the answer; 0 for no pin.
    std::uint64_t pin_lease_ms = 0;
    /// Engines that hold an outdated prefix of the program: the owner may release it there.
    std::vector<base::backend_id> stale_holders;

    /// Set when refused: an absl::StatusCode, a snake_case reason, a sentence, and when to come
    /// back (0: repeating can't help). A refused attempt was not and will not be run.
    std::int32_t status_code = 0;
    std::string reason;
    std::string message;
    std::uint64_t retry_after_ms = 0;

    /// The packed `placement::decision_record`, journaled with the call by the owner.
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
    /// Prompt tokens that the engine took from its cache.
    std::uint32_t cached_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// From the request's arrival at the engine to the first token, and to the last.
    std::uint64_t first_token_us = 0;
    std::uint64_t service_us = 0;
    /// What the program's next prompt will start with: prompt and answer, in tokens.
    std::uint32_t history_tokens = 0;
    /// No further call will come: the program has ended.
    bool program_ended = false;
    /// The tool that the program is going to call next, when known; empty otherwise.
    std::string next_tool;

    MSGPACK_DEFINE(attempt, program, backend, outcome, prompt_tokens, cached_tokens, output_tokens,
                   first_token_us, service_us, history_tokens, program_ended, next_tool);
};

/// The owner no longer wants a grant for this offer. Answered by a refusal with reason `withdrawn`
/// when the offer was still waiting; ignored when it was unknown or granted already.
struct placement_withdrawal {
    base::attempt_id attempt;
    std::string reason;

    MSGPACK_DEFINE(attempt, reason);
};

/// An attempt granted by an earlier dispatcher is in flight; sent after a take-over of the cell.
struct placement_registration {
    placement_offer offer;
    base::backend_id backend;
    /// Time since its grant.
    std::uint64_t running_ms = 0;

    MSGPACK_DEFINE(offer, backend, running_ms);
};

/// Asks a dispatcher why an offer waits, was granted or refused (bounded memory of records).
struct placement_explain_request {
    base::attempt_id attempt;

    MSGPACK_DEFINE(attempt);
};

struct placement_explain_reply {
    bool found = false;
    /// The packed `placement::decision_record`.
    std::string decision;

    MSGPACK_DEFINE(found, decision);
};

}  // namespace pearbarrow::wire

MSGPACK_ADD_ENUM(pearbarrow::wire::placement_answer);
MSGPACK_ADD_ENUM(pearbarrow::wire::attempt_outcome);
