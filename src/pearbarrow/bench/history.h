/// Histories of a run: what callers, engines and tool services saw, as JSON lines.
///
/// Each process of a run writes its own file; `read_history` joins them. Times are microseconds
/// since the Unix epoch: a run's processes share one machine, hence one clock.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::bench {

/// A caller opened a program and was told so.
struct program_opened {
    base::tenant_id tenant;
    base::program_id program;
    std::uint64_t token_budget = 0;
    std::int64_t at = 0;
};

/// A caller ended a program and was told so, or left it to its idle limit.
struct program_ended {
    base::program_id program;
    std::int64_t at = 0;
};

/// One sending of a call; repeated sendings of the same call are records of their own.
struct call_sent {
    base::program_id program;
    base::call_number call;
    std::int64_t at = 0;
    bool is_model_call = false;
    /// True when running it twice does no harm; always true for model calls.
    bool repeatable = true;
    /// Digest of the whole conversation that the model must see; 0 for tool calls.
    std::uint64_t conversation = 0;
};

/// The whole answer of a call reached its caller.
struct call_answered {
    base::program_id program;
    base::call_number call;
    std::int64_t at = 0;
    std::string output;
    /// What the streamed parts added up to, where the caller streamed; else equal to `output`.
    std::string streamed;
};

/// A final refusal or error reached the caller.
struct call_refused {
    base::program_id program;
    base::call_number call;
    std::int64_t at = 0;
    int status = 0;
    std::string reason;
    base::executed executed = base::executed::unknown;
    /// The caller sent the call again afterwards, so a later run of it is no broken promise.
    bool sent_again = false;
};

/// A back end ran an attempt at a call, wholly or in part.
struct back_end_run {
    base::backend_id backend;
    bool is_engine = false;
    base::attempt_id attempt;
    base::program_id program;
    base::call_number call;
    std::int64_t started_at = 0;
    std::int64_t ended_at = 0;
    /// Tokens that the engine's meter counts: prompt and generated.
    std::uint64_t metered_tokens = 0;
    /// Digest of the conversation that the engine saw; 0 for tools.
    std::uint64_t conversation = 0;
    std::string outcome;
};

/// A back end was marked as leaving from `at` to `until`.
struct back_end_leaving {
    base::backend_id backend;
    std::int64_t at = 0;
    std::int64_t until = std::numeric_limits<std::int64_t>::max();
};

/// A node named the configuration version in force at it.
struct version_seen {
    base::node_id node;
    base::config_version version;
    std::int64_t at = 0;
};

/// A configuration change was accepted as this version.
struct change_accepted {
    base::config_version version;
    std::int64_t at = 0;
};

/// What an engine still held for a program when the run had settled.
struct memory_held {
    base::backend_id backend;
    base::program_id program;
    std::uint64_t blocks = 0;
};

/// A request that failed although nothing but planned stops happened.
struct request_cut {
    base::program_id program;
    base::call_number call;
    std::int64_t at = 0;
    std::string detail;
};

/// Another tenant asked for a program's history.
struct foreign_read {
    base::program_id program;
    base::tenant_id reader;
    std::int64_t at = 0;
    int status = 0;
};

struct history {
    std::vector<program_opened> opened;
    std::vector<program_ended> ended;
    std::vector<call_sent> sent;
    std::vector<call_answered> answered;
    std::vector<call_refused> refused;
    std::vector<back_end_run> runs;
    std::vector<back_end_leaving> leaving;
    std::vector<version_seen> versions;
    std::vector<change_accepted> changes;
    std::vector<memory_held> held;
    std::vector<request_cut> cut;
    std::vector<foreign_read> foreign_reads;
};

nlohmann::json to_json(const program_opened& record);
nlohmann::json to_json(const program_ended& record);
nlohmann::json to_json(const call_sent& record);
nlohmann::json to_json(const call_answered& record);
nlohmann::json to_json(const call_refused& record);
nlohmann::json to_json(const version_seen& record);
nlohmann::json to_json(const request_cut& record);
nlohmann::json to_json(const foreign_read& record);

/// Adds one line to `into`. Lines of kinds that no checker reads are passed over.
/// kInvalidArgument when the line is not JSON or lacks a member.
absl::Status add_history_line(std::string_view line, history& into);

/// Adds a whole file. The last line may be cut short (its writer was killed); any other bad line
/// is an error that names the file and the line.
absl::Status read_history(const std::string& path, history& into);

}  // namespace pearbarrow::bench
