#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/tokens.h"
#include "pearbarrow/bench/faults_history.h"

namespace pearbarrow::bench::faults {

namespace {

using violations = std::vector<violation>;

std::string show(const call_name& call) {
    return fmt::format("{}/{}", call.program.value(), call.number.value());
}

/// The run that gave the call's answer, or null.
const model_run* answering_run(const run_history& history, const call_name& call) {
    const auto answers = history.calls.find(call);
    if (answers == history.calls.end() || answers->second.successes.empty()) {
        return nullptr;
    }
    const wire::call_result& result = answers->second.successes.front();
    for (const model_run& run : history.model_runs) {
        if (run.call == call && run.text == result.output) {
            return &run;
        }
    }
    return nullptr;
}

std::vector<wire::chat_message> turn_of(const call_answers& answers) {
    const std::string& output = answers.successes.front().output;
    if (answers.body.tool) {
        return {{.role = "tool", .content = output, .name = answers.body.tool->tool.value()}};
    }
    std::vector<wire::chat_message> turn = answers.body.model->new_messages;
    turn.push_back({.role = "assistant", .content = output, .name = {}});
    return turn;
}

/// When the call that was answered well ran; calls without a success have no place in the order.
std::optional<base::instant> start_of(const run_history& history, const call_name& call,
                                      const call_answers& answers) {
    if (answers.successes.empty()) {
        return std::nullopt;
    }
    if (answers.body.model) {
        const model_run* run = answering_run(history, call);
        return run == nullptr ? std::nullopt : std::optional(run->started);
    }
    for (const tool_run& run : history.tool_runs) {
        if (run.call == call) {
            return run.started;
        }
    }
    return std::nullopt;
}

void check_order(const run_history& history, violations& found) {
    const call_name* previous = nullptr;
    base::instant previous_start{};
    for (const auto& [call, answers] : history.calls) {
        const auto start = start_of(history, call, answers);
        if (!start) {
            continue;
        }
        if (previous != nullptr && previous->program == call.program && *start < previous_start) {
            found.push_back({1, fmt::format("{} ran before {}", show(call), show(*previous))});
        }
        previous = &call;
        previous_start = *start;
    }
}

void check_histories(const run_history& history, violations& found) {
    for (const auto& [call, answers] : history.calls) {
        const model_run* run = answers.body.model ? answering_run(history, call) : nullptr;
        if (run == nullptr) {
            continue;
        }
        auto expected = conversation(history, call.program, call.number);
        const auto& added = answers.body.model->new_messages;
        expected.insert(expected.end(), added.begin(), added.end());
        if (run->messages != expected) {
            found.push_back({2, fmt::format("{} was prompted with {} messages instead of {}",
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
        found.push_back({2, "another tenant was shown a program"});
    }
}

void check_budgets(const run_history& history, violations& found) {
    std::map<base::program_id, std::uint64_t> spent;
    for (const model_run& run : history.model_runs) {
        spent[run.call.program] += run.prompt_tokens + run.generated_tokens;
    }
    for (const tool_run& run : history.tool_runs) {
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
    for (const base::program_id& program : history.left_in_engines) {
        found.push_back({4, fmt::format("an engine still holds {}", program.value())});
    }
}

void check_answers(const run_history& history, violations& found) {
    for (const auto& [call, answers] : history.calls) {
        for (std::size_t i = 0; i < answers.successes.size(); ++i) {
            const wire::call_result& result = answers.successes[i];
            if (result.number != call.number || result.output != answers.successes.front().output) {
                found.push_back({5, fmt::format("{} has two answers", show(call))});
            }
            if (answers.streamed[i] != result.output) {
                found.push_back({5, fmt::format("{} was streamed '{}' for '{}'", show(call),
                                                answers.streamed[i], result.output)});
            }
        }
        const bool of_model = answers.body.model && !answers.successes.empty();
        if (of_model && answering_run(history, call) == nullptr) {
            found.push_back({5, fmt::format("no engine gave the answer of {}", show(call))});
        }
    }
}

bool ran(const run_history& history, const call_name& call) {
    const auto is_it = [&](const auto& run) { return run.call == call; };
    return std::any_of(history.model_runs.begin(), history.model_runs.end(), is_it) ||
           std::any_of(history.tool_runs.begin(), history.tool_runs.end(), is_it);
}

void check_not_run(const run_history& history, violations& found) {
    for (const auto& [call, answers] : history.calls) {
        const bool all_definite = answers.definite == answers.requests;
        const bool all_no = std::all_of(
            answers.errors.begin(), answers.errors.end(),
            [](const error_answer& error) { return error.executed == base::executed::no; });
        const bool told_no = answers.successes.empty() && !answers.errors.empty() && all_no;
        // These end a call for good: whatever happened to other requests, it must not have run.
        const auto is_final_no = [](const error_answer& error) {
            return error.executed == base::executed::no &&
                   (error.reason == "not_delivered" || error.reason == "deadline_exceeded" ||
                    error.reason == "cancelled" || error.reason == "budget_exhausted");
        };
        const bool final_no =
            std::any_of(answers.errors.begin(), answers.errors.end(), is_final_no);
        if (((all_definite && told_no) || final_no) && ran(history, call)) {
            found.push_back({6, fmt::format("{} was answered as not run, but ran", show(call))});
        }
    }
}

void check_at_most_once(const run_history& history, violations& found) {
    std::map<call_name, std::uint64_t> runs;
    for (const tool_run& run : history.tool_runs) {
        if (!run.repeatable && ++runs[run.call] == 2) {
            found.push_back({7, fmt::format("{} ran more than once", show(run.call))});
        }
    }
    for (const auto& [call, answers] : history.calls) {
        const bool success = answers.body.tool && !answers.successes.empty();
        if (success && !ran(history, call)) {
            found.push_back({7, fmt::format("{} succeeded without having run", show(call))});
        }
    }
}

}  // namespace

std::vector<wire::chat_message> conversation(const run_history& history,
                                             const base::program_id& program,
                                             base::call_number before) {
    std::vector<wire::chat_message> messages;
    for (const auto& [call, answers] : history.calls) {
        if (call.program == program && call.number < before && !answers.successes.empty()) {
            for (const wire::chat_message& message : turn_of(answers)) {
                messages.push_back(message);
            }
        }
    }
    return messages;
}

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
    check_answers(history, found);
    check_not_run(history, found);
    check_at_most_once(history, found);
    return found;
}

}  // namespace pearbarrow::bench::faults
