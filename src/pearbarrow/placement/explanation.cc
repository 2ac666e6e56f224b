/// Text and JSON descriptions of decision records.
#include <algorithm>
#include <map>
#include <string>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/placement/decision.h"

namespace pearbarrow::placement {
namespace {

std::string describe_reason(const decision_record& record) {
    const std::string& code = record.outcome.reason;
    const decision_inputs& inputs = record.inputs;
    if (code == reason::placed_on_cached_prefix) {
        return "the engine holds part of the prompt and gives the shortest expected time";
    }
    if (code == reason::placed_least_wait) {
        return "the engine gives the shortest expected time; none holds the prompt's prefix "
               "at a better price";
    }
    if (code == reason::waiting_for_capacity) {
        return "no engine that may run it has room";
    }
    if (code == reason::waiting_for_memory) {
        return "programs under way fill the engines' memory; a new one would drive out their "
               "prefixes";
    }
    if (code == reason::waiting_behind_others) {
        return fmt::format("no engine has room, and {} calls go first", inputs.ahead);
    }
    if (code == reason::waiting_for_cached_prefix) {
        return "waiting shortly for the engine that holds its prefix beats starting elsewhere";
    }
    if (code == reason::waiting_for_tenant_limit) {
        return fmt::format("the tenant has {} of {} tokens in flight",
                           inputs.tenant_tokens_in_flight, inputs.tenant_token_limit);
    }
    if (code == reason::queue_full) {
        return fmt::format("{} calls wait, the limit is {}", inputs.queue_length,
                           inputs.queue_limit);
    }
    if (code == reason::tenant_queue_full) {
        return fmt::format("{} calls of the tenant wait, its limit is {}", inputs.tenant_queued,
                           inputs.tenant_queue_limit);
    }
    if (code == reason::deadline_unreachable) {
        return fmt::format("{} ms are left, the queue and the call take longer",
                           inputs.deadline_left_ms);
    }
    static const std::map<std::string_view, std::string_view> fixed = {
        {reason::deadline_passed, "its deadline has passed"},
        {reason::no_eligible_engine, "no engine of the cell serves it"},
        {reason::prompt_too_long, "prompt and output are longer than any engine's context"},
        {reason::denied_by_rule, "no scheduling rule allows it on any engine of the cell"},
        {reason::withdrawn, "its owner withdrew it"},
    };
    const auto found = fixed.find(code);
    return found == fixed.end() ? code : std::string(found->second);
}

std::string describe_rules(const decision_inputs& inputs) {
    if (inputs.matched_rules.empty()) {
        return "no rule matched";
    }
    std::string names;
    for (const std::string& name : inputs.matched_rules) {
        names += names.empty() ? name : ", " + name;
    }
    return "rules matched: " + names;
}

std::string describe_candidate(const decision_inputs& inputs, const candidate_input& candidate,
                               const candidate_score* score) {
    if (!candidate.eligible) {
        return fmt::format("{}: excluded, {}", candidate.backend.value(), candidate.exclusion);
    }
    const std::string age = candidate.report_known
                                ? fmt::format("load report {} ms old", candidate.report_age_ms)
                                : std::string("no load report");
    return fmt::format(
        "{}: expected {:.0f} ms{}, cached {} of {} tokens, {} of {} in flight, "
        "{} of {} tokens held, {} by programs under way, slowdown {:.2f}, {}",
        candidate.backend.value(), score == nullptr ? 0.0 : score->expected_us / 1000,
        score != nullptr && score->can_start ? "" : " (no room now)", candidate.cached_tokens,
        inputs.prompt_tokens, candidate.in_flight, candidate.in_flight_limit,
        candidate.tokens_in_flight, candidate.token_limit, candidate.working_set,
        candidate.slowdown, age);
}

const candidate_score* find_score(const decision_record& record, const base::backend_id& backend) {
    const auto found =
        std::find_if(record.outcome.scores.begin(), record.outcome.scores.end(),
                     [&](const candidate_score& score) { return score.backend == backend; });
    return found == record.outcome.scores.end() ? nullptr : &*found;
}

/// Evaluates changed inputs and appends a line if the outcome differs.
template <typename Change>
void try_change(const decision_record& record, std::string_view what, std::string& text,
                Change change) {
    decision_inputs changed = record.inputs;
    change(changed);
    const decision_outcome outcome = decide(changed);
    if (outcome.kind == record.outcome.kind && outcome.backend == record.outcome.backend) {
        return;
    }
    text += fmt::format("  {}: {} ({}{}{})\n", what, to_string(outcome.kind), outcome.reason,
                        outcome.backend.value().empty() ? "" : " on ", outcome.backend.value());
}

/// Lists input changes that alter the outcome, by running the decision again.
std::string what_would_change(const decision_record& record) {
    std::string text;
    for (std::size_t index = 0; index < record.inputs.candidates.size(); ++index) {
        const candidate_input& candidate = record.inputs.candidates[index];
        if (candidate.backend == record.outcome.backend) {
            try_change(record, "without " + candidate.backend.value(), text,
                       [&](decision_inputs& inputs) {
                           inputs.candidates[index].eligible = false;
                           inputs.candidates[index].exclusion = "draining";
                       });
        } else if (!candidate.eligible) {
            try_change(record, "with " + candidate.backend.value() + " allowed", text,
                       [&](decision_inputs& inputs) { inputs.candidates[index].eligible = true; });
        } else {
            try_change(record, "with " + candidate.backend.value() + " idle", text,
                       [&](decision_inputs& inputs) {
                           candidate_input& changed = inputs.candidates[index];
                           changed.in_flight = 0;
                           changed.tokens_in_flight = 0;
                           changed.prefill_backlog = 0;
                           changed.expected_wait_us = 0;
                           changed.working_set = 0;
                       });
        }
    }
    try_change(record, "with nothing cached", text, [](decision_inputs& inputs) {
        for (candidate_input& candidate : inputs.candidates) {
            candidate.cached_tokens = 0;
            candidate.shared_tokens = 0;
        }
    });
    try_change(record, "without a deadline", text,
               [](decision_inputs& inputs) { inputs.has_deadline = false; });
    try_change(record, "with an empty queue", text, [](decision_inputs& inputs) {
        inputs.queue_length = 0;
        inputs.tenant_queued = 0;
        inputs.ahead = 0;
    });
    try_change(record, "without the tenant's limits", text, [](decision_inputs& inputs) {
        inputs.tenant_queue_limit = 0;
        inputs.tenant_token_limit = 0;
    });
    return text.empty() ? "  none of the changes tried\n" : text;
}

nlohmann::json candidate_json(const candidate_input& candidate, const candidate_score* score) {
    nlohmann::json json = {{"backend", candidate.backend.value()},
                           {"eligible", candidate.eligible},
                           {"in_flight", candidate.in_flight},
                           {"in_flight_limit", candidate.in_flight_limit},
                           {"tokens_in_flight", candidate.tokens_in_flight},
                           {"token_limit", candidate.token_limit},
                           {"prefill_backlog", candidate.prefill_backlog},
                           {"cached_tokens", candidate.cached_tokens},
                           {"working_set", candidate.working_set},
                           {"working_set_limit", candidate.working_set_limit},
                           {"slowdown", candidate.slowdown},
                           {"expected_wait_us", candidate.expected_wait_us}};
    if (!candidate.eligible) {
        json["exclusion"] = candidate.exclusion;
    }
    if (candidate.report_known) {
        json["report_age_ms"] = candidate.report_age_ms;
    }
    if (score != nullptr) {
        json["expected_us"] = score->expected_us;
        json["can_start"] = score->can_start;
    }
    return json;
}

}  // namespace

std::string explain(const decision_record& record) {
    const decision_inputs& inputs = record.inputs;
    std::string text = fmt::format(
        "call {} of program {} (class {}, tenant {}): {}{}{}\n", inputs.attempt.value(),
        inputs.program.value(), inputs.program_class, inputs.tenant.value(),
        to_string(record.outcome.kind), record.outcome.backend.value().empty() ? "" : " on ",
        record.outcome.backend.value());
    text += fmt::format("reason: {}: {}\n", record.outcome.reason, describe_reason(record));
    if (record.outcome.retry_after_ms > 0) {
        text += fmt::format("come back after {} ms\n", record.outcome.retry_after_ms);
    }
    text += fmt::format("{} (configuration version {}, priority {})\n", describe_rules(inputs),
                        inputs.configuration.value(), inputs.priority);
    text += fmt::format(
        "waited {} ms{}; queue: {} waiting of {}, {} before it, {:.1f} grants a second\n",
        inputs.waited_ms, inputs.starved ? " (past the starvation bound)" : "", inputs.queue_length,
        inputs.queue_limit, inputs.ahead, inputs.grants_per_second);
    text += fmt::format(
        "prompt {} tokens, output expected {:.0f} of at most {}; served so far {} "
        "tokens, expected remaining {:.1f} s\n",
        inputs.prompt_tokens, inputs.expected_output_tokens, inputs.max_output_tokens,
        inputs.attained_tokens, inputs.expected_remaining_us / 1e6);
    text += "candidates:\n";
    for (const candidate_input& candidate : inputs.candidates) {
        const candidate_score* score = find_score(record, candidate.backend);
        text += "  " + describe_candidate(inputs, candidate, score) + "\n";
    }
    text += "what would have changed the outcome:\n" + what_would_change(record);
    return text;
}

std::string explain_json(const decision_record& record) {
    const decision_inputs& inputs = record.inputs;
    nlohmann::json json = {
        {"attempt", inputs.attempt.value()},
        {"program", inputs.program.value()},
        {"tenant", inputs.tenant.value()},
        {"class", inputs.program_class},
        {"outcome", std::string(to_string(record.outcome.kind))},
        {"reason", record.outcome.reason},
        {"reason_text", describe_reason(record)},
        {"backend", record.outcome.backend.value()},
        {"retry_after_ms", record.outcome.retry_after_ms},
        {"configuration_version", inputs.configuration.value()},
        {"matched_rules", inputs.matched_rules},
        {"priority", inputs.priority},
        {"waited_ms", inputs.waited_ms},
        {"starved", inputs.starved},
        {"queue",
         {{"length", inputs.queue_length},
          {"limit", inputs.queue_limit},
          {"ahead", inputs.ahead},
          {"grants_per_second", inputs.grants_per_second}}},
        {"prompt_tokens", inputs.prompt_tokens},
        {"expected_output_tokens", inputs.expected_output_tokens},
        {"attained_tokens", inputs.attained_tokens},
        {"expected_remaining_us", inputs.expected_remaining_us},
        {"what_would_change", what_would_change(record)},
    };
    if (inputs.has_deadline) {
        json["deadline_left_ms"] = inputs.deadline_left_ms;
    }
    json["candidates"] = nlohmann::json::array();
    for (const candidate_input& candidate : inputs.candidates) {
        json["candidates"].push_back(
            candidate_json(candidate, find_score(record, candidate.backend)));
    }
    return json.dump();
}

}  // namespace pearbarrow::placement
