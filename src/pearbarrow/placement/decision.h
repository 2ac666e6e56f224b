/// Records of placement decisions: the inputs, the outcome and the reason code. `redecide` runs the
/// decision function again on the recorded inputs, so that a decision can be verified after its
/// owner and dispatcher have been replaced.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::placement {

enum class decision_kind : std::uint8_t { granted = 0, refused = 1, waiting = 2 };

/// Stable reason codes of decisions.
namespace reason {
inline constexpr std::string_view placed_on_cached_prefix = "placed_on_cached_prefix";
inline constexpr std::string_view placed_least_wait = "placed_least_wait";
inline constexpr std::string_view waiting_for_capacity = "waiting_for_capacity";
inline constexpr std::string_view waiting_for_cached_prefix = "waiting_for_cached_prefix";
inline constexpr std::string_view waiting_for_memory = "waiting_for_memory";
inline constexpr std::string_view waiting_behind_others = "waiting_behind_others";
inline constexpr std::string_view queue_full = "queue_full";
inline constexpr std::string_view deadline_unreachable = "deadline_unreachable";
inline constexpr std::string_view deadline_passed = "deadline_passed";
inline constexpr std::string_view no_eligible_engine = "no_eligible_engine";
inline constexpr std::string_view prompt_too_long = "prompt_too_long";
inline constexpr std::string_view tenant_queue_full = "tenant_queue_full";
inline constexpr std::string_view waiting_for_tenant_limit = "waiting_for_tenant_limit";
inline constexpr std::string_view denied_by_rule = "denied_by_rule";
inline constexpr std::string_view withdrawn = "withdrawn";
}  // namespace reason

/// Input of a decision about one engine.
struct candidate_input {
    base::backend_id backend;
    /// False when a rule, the model, the engine's state or an earlier failure excludes it;
    /// `exclusion` then says why (`draining`, `wrong_model`, `selector`, `avoided`, `unreachable`).
    bool eligible = true;
    std::string exclusion;
    std::uint32_t in_flight = 0;
    std::uint32_t in_flight_limit = 0;
    /// Context tokens of the calls in flight, and their limit.
    std::uint64_t tokens_in_flight = 0;
    std::uint64_t token_limit = 0;
    /// Prompt tokens of the calls in flight that are not prefilled yet.
    std::uint64_t prefill_backlog = 0;
    /// Prompt tokens of this call that the engine is believed to have cached.
    std::uint32_t cached_tokens = 0;
    /// Cached tokens that calls in flight already hold (shared prefixes, counted once).
    std::uint32_t shared_tokens = 0;
    /// Tokens of the active programs on the engine (running or in a short pause), and the limit
    /// above which no new program opens there; 0 for no limit.
    std::uint64_t working_set = 0;
    std::uint64_t working_set_limit = 0;
    /// Nominal prefill and decode speeds of the engine.
    double prefill_us_per_token = 0;
    double decode_us_per_token = 0;
    double decode_us_per_sequence = 0;
    /// Factor by which the engine has recently been slower than these speeds; 1 when equal.
    double slowdown = 1;
    /// Expected wait until the engine has capacity for this call; 0 when it has.
    double expected_wait_us = 0;
    /// Age of the engine's last load report.
    std::uint64_t report_age_ms = 0;
    bool report_known = false;

    MSGPACK_DEFINE(backend, eligible, exclusion, in_flight, in_flight_limit, tokens_in_flight,
                   token_limit, prefill_backlog, cached_tokens, shared_tokens, working_set,
                   working_set_limit, prefill_us_per_token, decode_us_per_token,
                   decode_us_per_sequence, slowdown, expected_wait_us, report_age_ms, report_known);
};

/// All inputs of `decide`.
struct decision_inputs {
    base::config_version configuration;
    base::attempt_id attempt;
    base::program_id program;
    base::tenant_id tenant;
    std::string program_class;
    /// Names of the scheduling rules that matched the program, in order.
    std::vector<std::string> matched_rules;
    std::int32_t priority = 0;

    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// Expected output tokens, from finished calls of the program class.
    double expected_output_tokens = 0;
    /// The first call of a program that has no parent.
    bool opens_program = false;
    /// 0 when the call has no deadline.
    std::uint64_t deadline_left_ms = 0;
    bool has_deadline = false;
    std::uint64_t waited_ms = 0;
    std::uint64_t attained_tokens = 0;
    double expected_remaining_us = 0;
    /// Order key in the queue; lower goes first. `starved` calls go before all others.
    double order_key = 0;
    bool starved = false;
    std::uint32_t queue_length = 0;
    std::uint32_t queue_limit = 0;
    /// Calls ahead of this one in the queue at the time of the decision.
    std::uint32_t ahead = 0;
    /// Recent grants per second; 0 when unknown.
    double grants_per_second = 0;
    /// How long a call may wait for the engine that holds its prefix.
    std::uint64_t affinity_wait_ms = 0;
    /// Tokens of the tenant in flight in this cell, and their limit; 0 for no limit.
    std::uint64_t tenant_tokens_in_flight = 0;
    std::uint64_t tenant_token_limit = 0;
    std::uint32_t tenant_queued = 0;
    std::uint32_t tenant_queue_limit = 0;
    /// Weights of the matched rule (see config/objects.h).
    double latency_weight = 1;
    double cache_weight = 0.5;
    /// The decision was made when the call was offered, before it entered the queue.
    bool on_arrival = false;
    bool early_refusal = true;
    std::vector<candidate_input> candidates;

    MSGPACK_DEFINE(configuration, attempt, program, tenant, program_class, matched_rules, priority,
                   prompt_tokens, max_output_tokens, expected_output_tokens, opens_program,
                   deadline_left_ms, has_deadline, waited_ms, attained_tokens,
                   expected_remaining_us, order_key, starved, queue_length, queue_limit, ahead,
                   grants_per_second, affinity_wait_ms, tenant_tokens_in_flight, tenant_token_limit,
                   tenant_queued, tenant_queue_limit, latency_weight, cache_weight, on_arrival,
                   early_refusal, candidates);
};

/// The expected time from now to the end of the call on one engine; lower is better.
struct candidate_score {
    base::backend_id backend;
    bool can_start = false;
    double expected_us = 0;

    MSGPACK_DEFINE(backend, can_start, expected_us);
};

struct decision_outcome {
    decision_kind kind = decision_kind::waiting;
    std::string reason;
    /// Set when granted: the chosen engine.
    base::backend_id backend;
    /// Delay until a retry may succeed, set when refused; 0 when a retry cannot succeed.
    std::uint64_t retry_after_ms = 0;
    std::vector<candidate_score> scores;

    MSGPACK_DEFINE(kind, reason, backend, retry_after_ms, scores);
};

/// A decision that is kept in memory and journaled with the call.
struct decision_record {
    std::uint32_t format = 1;
    decision_inputs inputs;
    decision_outcome outcome;

    MSGPACK_DEFINE(format, inputs, outcome);
};

/// The decision function: pure and deterministic. The scheduler calls it for the call at the head
/// of the queue and for a new offer.
decision_outcome decide(const decision_inputs& inputs);

/// Outcome without texts and scores, for the scan of the queue.
struct quick_outcome {
    decision_kind kind = decision_kind::waiting;
    std::string_view reason;
    /// Index into the candidates, when granted.
    std::optional<std::size_t> chosen;
    std::uint64_t retry_after_ms = 0;
};
/// The same decision as `decide`, without allocating.
quick_outcome decide_quickly(const decision_inputs& inputs);

/// Runs the decision again on the record. Returns ok when the outcome equals the recorded one;
/// otherwise a kDataLoss status with reason `decision_differs` that names the first difference.
absl::Status verify(const decision_record& record);

/// Runs `decide` on the recorded inputs.
decision_outcome redecide(const decision_record& record);

std::string encode_record(const decision_record& record);
/// Fails with kInvalidArgument, reason `malformed_message`, when the bytes are not a valid record.
absl::StatusOr<decision_record> decode_record(std::string_view bytes);

/// Describes the record as text: matched rules, candidates with scores, ages of the inputs, the
/// reason for waiting, and input changes that would alter the outcome. Each line ends with a
/// newline.
std::string explain(const decision_record& record);
/// Describes the record as JSON.
std::string explain_json(const decision_record& record);

std::string_view to_string(decision_kind kind);

}  // namespace pearbarrow::placement

MSGPACK_ADD_ENUM(pearbarrow::placement::decision_kind);
