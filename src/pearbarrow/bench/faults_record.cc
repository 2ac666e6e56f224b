#include "pearbarrow/bench/faults_record.h"

#include <algorithm>

#include "pearbarrow/emulator/answer_text.h"

namespace pearbarrow::bench::faults {

namespace {

std::int64_t microseconds(base::instant at) {
    return at.time_since_epoch().count();
}

std::uint64_t digest_of(const std::vector<wire::chat_message>& messages) {
    std::vector<backend::chat_message> plain;
    plain.reserve(messages.size());
    for (const wire::chat_message& message : messages) {
        plain.push_back({message.role, message.content});
    }
    return emulator::conversation_digest(plain);
}

call_sent sent_record(const run_history& run, const call_name& call, const call_answers& answers) {
    call_sent sent;
    sent.program = call.program;
    sent.call = call.number;
    sent.is_model_call = answers.body.model.has_value();
    sent.repeatable = sent.is_model_call || answers.body.tool->repeatable;
    if (sent.is_model_call) {
        auto messages = conversation(run, call.program, call.number);
        const auto& added = answers.body.model->new_messages;
        messages.insert(messages.end(), added.begin(), added.end());
        sent.conversation = digest_of(messages);
    }
    return sent;
}

void add_call(const run_history& run, const call_name& call, const call_answers& answers,
              bench::history& into) {
    into.sent.push_back(sent_record(run, call, answers));
    for (std::size_t i = 0; i < answers.successes.size(); ++i) {
        into.answered.push_back(
            {call.program, call.number, 0, answers.successes[i].output, answers.streamed[i]});
    }
    // A request that was refused may have been sent again: only the last word counts.
    const bool all_definite = answers.definite == answers.requests;
    if (answers.successes.empty() && all_definite) {
        const bool all_no = std::all_of(
            answers.errors.begin(), answers.errors.end(),
            [](const error_answer& error) { return error.executed == base::executed::no; });
        for (const error_answer& error : answers.errors) {
            into.refused.push_back({.program = call.program,
                                    .call = call.number,
                                    .reason = error.reason,
                                    .executed = error.executed,
                                    .sent_again = !all_no});
        }
    }
}

}  // namespace

bench::history to_checked_history(const run_history& run) {
    bench::history made;
    for (const auto& [id, program] : run.programs) {
        made.opened.push_back({program.tenant, id, program.budget, 0});
        if (program.ended || program.abandoned) {
            made.ended.push_back({id, 0});
        }
    }
    for (const auto& [call, answers] : run.calls) {
        add_call(run, call, answers, made);
    }
    for (const model_run& each : run.model_runs) {
        made.runs.push_back({.backend = each.backend,
                             .is_engine = true,
                             .attempt = each.attempt,
                             .program = each.call.program,
                             .call = each.call.number,
                             .started_at = microseconds(each.started),
                             .metered_tokens = each.prompt_tokens + each.generated_tokens,
                             .conversation = digest_of(each.messages)});
    }
    for (const tool_run& each : run.tool_runs) {
        made.runs.push_back({.backend = each.backend,
                             .attempt = each.attempt,
                             .program = each.call.program,
                             .call = each.call.number,
                             .started_at = microseconds(each.started),
                             .metered_tokens = each.cost});
    }
    for (const leaving_span& span : run.leaving) {
        const bool for_good = span.until == base::instant::max();
        made.leaving.push_back(
            {span.backend, microseconds(span.at),
             for_good ? std::numeric_limits<std::int64_t>::max() : microseconds(span.until)});
    }
    for (const base::program_id& program : run.left_in_engines) {
        made.held.push_back({base::backend_id("engine"), program, 1});
    }
    return made;
}

bool is_promised(const run_history& run, const bench::violation& found) {
    const auto call = run.calls.find({found.program, found.call});
    if (found.broken != invariant::program_order || call == run.calls.end()) {
        return true;
    }
    const auto& errors = call->second.errors;
    return std::none_of(errors.begin(), errors.end(), [](const error_answer& error) {
        return error.executed == base::executed::unknown;
    });
}

}  // namespace pearbarrow::bench::faults
