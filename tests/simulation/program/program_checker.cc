#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/tokens.h"
#include "run_history.h"

namespace pearbarrow::simulation {

namespace {

using violations = std::vector<violation>;

std::string show(const call_name& call) {
    return fmt::format("{}/{}", call.program.value(), call.number.value());
}

/// Returns the execution that produced the call's result, or null.
const model_execution* execution_of_result(const run_history& history, const call_name& call) {
    const auto replies = history.calls.find(call);
    if (replies == history.calls.end() || replies->second.successes.empty()) {
        return nullptr;
    }
    const wire::call_result& result = replies->second.successes.front();
    for (const model_execution& run : history.model_executions) {
        if (run.call == call && run.text == result.output) {
            return &run;
        }
    }
    return nullptr;
}

std::vector<wire::chat_message> turn_of(const call_replies& replies) {
    const std::string& output = replies.successes.front().output;
    if (replies.body.tool) {
        return {{.role = "tool", .content = output, .name = replies.body.tool->tool.value()}};
    }
    std::vector<wire::chat_message> turn = replies.body.model->new_messages;
    turn.push_back({.role = "assistant", .content = output, .name = {}});
    return turn;
}

/// Returns the conversation before call `before`, as the callers received it.
std::vector<wire::chat_message> conversation(const run_history& history,
                                             const base::program_id& program,
                                             base::call_number before) {
    std::vector<wire::chat_message> messages;
    for (const auto& [call, replies] : history.calls) {
        if (call.program == program && call.number < before && !replies.successes.empty()) {
            for (const wire::chat_message& message : turn_of(replies)) {
                messages.push_back(message);
            }
        }
    }
    return messages;
}

/// Returns the start time of a successful call. Calls without a success are not ordered.
std::optional<base::instant> start_of(const run_history& history, const call_name& call,
                                      const call_replies& replies) {
    if (replies.successes.empty()) {
        return std::nullopt;
    }
    if (replies.body.model) {
        const model_execution* run = execution_of_result(history, call);
        return run == nullptr ? std::nullopt : std::optional(run->started);
    }
    for (const tool_execution& run : history.tool_executions) {
        if (run.call == call) {
            return run.started;
        }
    }
    return std::nullopt;
}

void check_order(const run_history& history, violations& found) {
    const call_name* previous = nullptr;
    base::instant previous_start{};
    for (const auto& [call, replies] : history.calls) {
        const auto start = start_of(history, call, replies);
        if (!start) {
            continue;
        }
        if (previous != nullptr && previous->program == call.program && *start < previous_start) {
            found.push_back(
                {1, fmt::format("{} was executed before {}", show(call), show(*previous))});
        }
        previous = &call;
        previous_start = *start;
    }
}

void check_histories(const run_history& history, violations& found) {
    for (const auto& [call, replies] : history.calls) {
        const model_execution* run =
            replies.body.model ? execution_of_result(history, call) : nullptr;
        if (run == nullptr) {
            continue;
        }
        auto expected = conversation(history, call.program, call.number);
        const auto& added = replies.body.model->new_messages;
        expected.insert(expected.end(), added.begin(), added.end());
        if (run->messages != expected) {
            found.push_back({2, fmt::format("{} had a prompt of {} messages instead of {}",
                                            show(call), run->messages.size(), expected.size())});
        }
    }
    for (const auto& [program, messages] : history.histories) {
        const auto expected = conversation(history, program, base::call_number(UINT64_MAX));
        if (messages != expected) {
            found.push_back({2, fmt::format("history of {} has {} messages instead of {}",
                                            program.value(), messages.size(), expected.size())});
        }
    }
    if (history.leaks > 0) {
        found.push_back({2, "another tenant could read a program"});
    }
}

void check_budgets(const run_history& history, violations& found) {
    std::map<base::program_id, std::uint64_t> spent;
    for (const model_execution& run : history.model_executions) {
        spent[run.call.program] += run.prompt_tokens + run.generated_tokens;
    }
    for (const tool_execution& run : history.tool_executions) {
        spent[run.call.program] += run.cost;
    }
    std::map<base::program_id, std::uint64_t> with_children = spent;
    for (const auto& [id, program] : history.programs) {
        if (program.parent) {
            with_children[*program.parent] += spent[id];
        }
    }
    for (const auto& [id, program] : history.programs) {
        if (spent[id] > program.budget || with_children[id] > program.budget) {
            found.push_back({3, fmt::format("{} spent {} (with sub-programs {}) of {}", id.value(),
                                            spent[id], with_children[id], program.budget)});
        }
    }
}

void check_released(const run_history& history, violations& found) {
    for (const base::program_id& program : history.cached_at_end) {
        found.push_back({4, fmt::format("an engine still caches {}", program.value())});
    }
}

void check_replies(const run_history& history, violations& found) {
    for (const auto& [call, replies] : history.calls) {
        for (std::size_t i = 0; i < replies.successes.size(); ++i) {
            const wire::call_result& result = replies.successes[i];
            if (result.number != call.number || result.output != replies.successes.front().output) {
                found.push_back({5, fmt::format("{} has two different results", show(call))});
            }
            if (replies.streamed[i] != result.output) {
                found.push_back({5, fmt::format("the streamed text of {} is '{}' instead of '{}'",
                                                show(call), replies.streamed[i], result.output)});
            }
        }
        const bool of_model = replies.body.model && !replies.successes.empty();
        if (of_model && execution_of_result(history, call) == nullptr) {
            found.push_back({5, fmt::format("no engine produced the result of {}", show(call))});
        }
    }
}

bool was_executed(const run_history& history, const call_name& call) {
    const auto is_of_call = [&](const auto& run) { return run.call == call; };
    return std::any_of(history.model_executions.begin(), history.model_executions.end(),
                       is_of_call) ||
           std::any_of(history.tool_executions.begin(), history.tool_executions.end(), is_of_call);
}

void check_not_executed(const run_history& history, violations& found) {
    for (const auto& [call, replies] : history.calls) {
        const bool all_definite = replies.definite == replies.requests;
        const bool all_not_executed = std::all_of(
            replies.errors.begin(), replies.errors.end(),
            [](const error_reply& error) { return error.executed == base::executed::no; });
        const bool reported_not_executed =
            replies.successes.empty() && !replies.errors.empty() && all_not_executed;
        // These errors are final: the call must not have been executed, whatever the replies to
        // other requests were.
        const auto is_final_not_executed = [](const error_reply& error) {
            return error.executed == base::executed::no &&
                   (error.reason == "not_delivered" || error.reason == "deadline_exceeded" ||
                    error.reason == "cancelled" || error.reason == "budget_exhausted");
        };
        const bool final_not_executed =
            std::any_of(replies.errors.begin(), replies.errors.end(), is_final_not_executed);
        if (((all_definite && reported_not_executed) || final_not_executed) &&
            was_executed(history, call)) {
            found.push_back(
                {6, fmt::format("{} was reported as not executed, but was executed", show(call))});
        }
    }
}

void check_at_most_once(const run_history& history, violations& found) {
    std::map<call_name, std::uint64_t> runs;
    for (const tool_execution& run : history.tool_executions) {
        if (!run.repeatable && ++runs[run.call] == 2) {
            found.push_back({7, fmt::format("{} was executed more than once", show(run.call))});
        }
    }
    for (const auto& [call, replies] : history.calls) {
        const bool success = replies.body.tool && !replies.successes.empty();
        if (success && !was_executed(history, call)) {
            found.push_back({7, fmt::format("{} succeeded without an execution", show(call))});
        }
    }
}

}  // namespace

std::vector<violation> check(const run_history& history) {
    violations found;
    if (history.unfinished_callers > 0) {
        found.push_back({0, fmt::format("{} callers did not finish", history.unfinished_callers)});
    }
    if (history.unusable_journals > 0) {
        found.push_back({2, "a journal could not be applied"});
    }
    check_order(history, found);
    check_histories(history, found);
    check_budgets(history, found);
    check_released(history, found);
    check_replies(history, found);
    check_not_executed(history, found);
    check_at_most_once(history, found);
    return found;
}

}  // namespace pearbarrow::simulation
