/// The durable state of a shard's programs: the result of applying the journal's records in order.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/program/budget.h"
#include "pearbarrow/program/prefix_chain.h"
#include "pearbarrow/program/records.h"

namespace pearbarrow::program {

enum class call_phase : std::uint8_t { accepted = 0, running = 1, done = 2 };
enum class program_phase : std::uint8_t { open = 0, ended = 1, released = 2 };

}  // namespace pearbarrow::program

MSGPACK_ADD_ENUM(pearbarrow::program::call_phase);
MSGPACK_ADD_ENUM(pearbarrow::program::program_phase);

namespace pearbarrow::program {

/// An attempt whose intent is in the journal and whose end is not.
struct attempt_state {
    attempt_number number = 0;
    base::backend_id backend;
    std::uint64_t reserved_tokens = 0;
    std::string decision;
    MSGPACK_DEFINE(number, backend, reserved_tokens, decision);
};

/// One call. The body is kept only until the call is done; the journal retains it after that.
struct call_state {
    base::call_number number;
    std::uint64_t body_hash = 0;
    std::string idempotency_key;
    call_phase phase = call_phase::accepted;
    std::optional<wire::call_body> body;
    std::uint64_t deadline_ms = 0;
    std::string priority_class;
    attempt_number last_attempt = 0;
    std::optional<attempt_state> attempt;
    std::vector<base::backend_id> failed_backends;
    /// Set when the call is done and did not succeed.
    std::optional<failure> failed;
    MSGPACK_DEFINE(number, body_hash, idempotency_key, phase, body, deadline_ms, priority_class,
                   last_attempt, attempt, failed_backends, failed);

    bool done() const { return phase == call_phase::done; }
    bool succeeded() const { return done() && !failed.has_value(); }
};

/// A sub-program and the budget transferred to it.
struct child_state {
    wire::open_program_request open;
    bool confirmed = false;
    bool returned = false;
    MSGPACK_DEFINE(open, confirmed, returned);
};

struct program_state {
    base::program_id id;
    base::tenant_id tenant;
    wire::open_program_request request;
    token_budget budget;
    program_phase phase = program_phase::open;
    std::string end_reason;
    std::map<base::call_number, call_state> calls;
    std::map<base::program_id, child_state> children;
    bool budget_returned = false;
    /// Engines that may hold cache for the program.
    std::set<base::backend_id> engines;
    base::backend_id last_engine;
    prefix_chain history;
    /// Age of the program at its newest record.
    std::uint64_t age_ms = 0;
    MSGPACK_DEFINE(id, tenant, request, budget, phase, end_reason, calls, children, budget_returned,
                   engines, last_engine, history, age_ms);

    bool open() const { return phase == program_phase::open; }
    base::call_number next_call() const;
    call_state* find_call(base::call_number number);
    /// The call with this `Idempotency-Key`, or null.
    call_state* find_key(const std::string& idempotency_key);
    /// The lowest call that is not done, or null.
    call_state* first_unfinished();
    std::uint64_t unfinished_count() const;
    bool has_unsettled_transfer() const;
};

/// Programs ordered by id, so that iteration is deterministic.
using program_map = std::map<base::program_id, program_state>;

/// Returns a hash that identifies equal call bodies.
std::uint64_t hash_of(const wire::call_body& body);
/// Returns the maximum cost of one attempt at `body` after a history of `history_tokens`.
std::uint64_t max_cost(const wire::call_body& body, std::uint64_t history_tokens);
/// Returns an upper bound of the prompt's tokens; 0 for a tool call.
std::uint64_t prompt_tokens(const wire::call_body& body, std::uint64_t history_tokens);
/// Returns the messages that a call with the result `output` adds to its program's history.
std::vector<wire::chat_message> turn_messages(const wire::call_body& body,
                                              const std::string& output);

/// Applies one record. Fails with kDataLoss, reason `inconsistent_record`, when the record does not
/// match the state. The shard must not be served in that case.
absl::Status apply_record(program_map& programs, const program_record& record);

}  // namespace pearbarrow::program
