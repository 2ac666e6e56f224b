/// The executions at back ends and the replies to callers in one simulation. The checker reads only
/// this.
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

namespace pearbarrow::simulation {

/// One call of one program.
struct call_name {
    base::program_id program;
    base::call_number number;
    auto operator<=>(const call_name&) const = default;
};

/// One execution of an attempt at an engine.
struct model_execution {
    call_name call;
    base::attempt_id attempt;
    std::vector<wire::chat_message> messages;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t generated_tokens = 0;
    std::string text;
    base::instant started{};
};

/// One execution of a tool.
struct tool_execution {
    call_name call;
    bool repeatable = false;
    std::uint64_t cost = 0;
    base::instant started{};
};

struct error_reply {
    std::string reason;
    base::executed executed = base::executed::no;
};

/// All replies that callers received for one call.
struct call_replies {
    wire::call_body body;
    std::uint64_t requests = 0;
    /// Requests that got a definite reply: not a timeout, a broken connection or a lost owner.
    std::uint64_t definite = 0;
    std::vector<wire::call_result> successes;
    /// For each success, the text that its reader assembled from the parts.
    std::vector<std::string> streamed;
    std::vector<error_reply> errors;
    std::optional<base::instant> first_success;
};

struct opened_program {
    std::uint64_t budget = 0;
    std::optional<base::program_id> parent;
    base::tenant_id tenant;
    bool ended = false;
};

struct run_history {
    std::map<base::program_id, opened_program> programs;
    std::vector<model_execution> model_executions;
    std::vector<tool_execution> tool_executions;
    std::map<call_name, call_replies> calls;
    /// Histories that callers read after the last call.
    std::map<base::program_id, std::vector<wire::chat_message>> histories;
    /// Probes by another tenant whose reply was neither `program_not_found` nor a retryable error.
    std::uint64_t leaks = 0;
    /// Programs that engines still cache at the end.
    std::set<base::program_id> cached_at_end;
    std::uint64_t unfinished_callers = 0;
    std::uint64_t unusable_journals = 0;
};

struct violation {
    /// Row of the invariant in docs/invariants.md; 0 if the simulation did not finish.
    int invariant = 0;
    std::string what;
};

/// Checks a finished simulation. An empty list means that no violation was found.
std::vector<violation> check(const run_history& history);

}  // namespace pearbarrow::simulation
