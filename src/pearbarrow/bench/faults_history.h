/// What back ends ran and what callers were told in one simulated run; the checker reads only this.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::bench::faults {

/// One call of one program.
struct call_name {
    base::program_id program;
    base::call_number number;
    auto operator<=>(const call_name&) const = default;
};

/// An attempt that an engine took on.
struct model_run {
    call_name call;
    base::attempt_id attempt;
    base::backend_id backend;
    std::vector<wire::chat_message> messages;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t generated_tokens = 0;
    std::string text;
    base::instant started{};
};

/// One execution of a tool.
struct tool_run {
    call_name call;
    base::attempt_id attempt;
    base::backend_id backend;
    bool repeatable = false;
    std::uint64_t cost = 0;
    base::instant started{};
};

struct error_answer {
    std::string reason;
    base::executed executed = base::executed::no;
};

/// Everything that callers learnt about one call.
struct call_answers {
    wire::call_body body;
    std::uint64_t requests = 0;
    /// Requests that got a definite answer: not a time-out, a broken connection or a lost owner.
    std::uint64_t definite = 0;
    std::vector<wire::call_result> successes;
    /// For each success, the text that its reader had put together from the parts.
    std::vector<std::string> streamed;
    std::vector<error_answer> errors;
    std::optional<base::instant> first_success;
};

struct opened_program {
    std::uint64_t budget = 0;
    std::optional<base::program_id> parent;
    base::tenant_id tenant;
    bool ended = false;
    /// Its caller went away without ending it.
    bool abandoned = false;
};

/// A back end was leaving, as operators had ordered, from `at` to `until`.
struct leaving_span {
    base::backend_id backend;
    base::instant at{};
    base::instant until = base::instant::max();
};

struct run_history {
    std::map<base::program_id, opened_program> programs;
    std::vector<model_run> model_runs;
    std::vector<tool_run> tool_runs;
    std::map<call_name, call_answers> calls;
    /// Histories that callers read after the last call.
    std::map<base::program_id, std::vector<wire::chat_message>> histories;
    /// Probes by another tenant that were answered otherwise than by `program_not_found`.
    std::uint64_t leaks = 0;
    /// Programs in the engines' memory at the end.
    std::set<base::program_id> left_in_engines;
    std::uint64_t unfinished_callers = 0;
    std::uint64_t unusable_journals = 0;
    std::vector<leaving_span> leaving;
    /// Programs that owners still hold as open at the end, although they were ended or abandoned.
    std::set<base::program_id> left_open;
    /// Shards without a leader at the end.
    std::uint64_t leaderless_shards = 0;
    std::map<std::string, std::uint64_t> injected;
};

/// The conversation as the callers know it, before call `before`.
std::vector<wire::chat_message> conversation(const run_history& history,
                                             const base::program_id& program,
                                             base::call_number before);

struct violation {
    /// Row of the invariant in docs/invariants.md; 0: the run itself did not finish.
    int invariant = 0;
    std::string what;
};

/// Checks a finished run. Empty: nothing wrong was found.
std::vector<violation> check(const run_history& history);

}  // namespace pearbarrow::bench::faults
