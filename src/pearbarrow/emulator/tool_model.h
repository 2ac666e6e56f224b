/// Model of a tool service: latencies, failures, idempotency keys, a ledger. Pure.
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
#include "pearbarrow/base/random.h"

namespace pearbarrow::emulator {

enum class latency_shape { fixed, uniform, exponential, lognormal };

/// Distribution of the time that a tool takes.
struct latency_distribution {
    latency_shape shape = latency_shape::lognormal;
    /// Median (lognormal), mean (exponential), value (fixed), or the middle (uniform).
    base::microseconds typical{200'000};
    /// Sigma of the logarithm (lognormal), or the half-width as a part of the middle (uniform).
    double spread = 0.5;

    base::microseconds draw(base::random_source& random) const;
};

/// Parses "fixed:20ms", "uniform:200ms:0.5", "exponential:1s", "lognormal:200ms:0.6".
std::optional<latency_distribution> parse_latency(std::string_view text);

struct tool_options {
    latency_distribution latency;
    double fail_probability = 0;
    /// Share of invocations that never end.
    double hang_probability = 0;
    /// Whether the service keeps idempotency keys. Without, repeats run again and nobody can tell.
    bool keeps_keys = true;
    std::uint64_t seed = 1;
};

struct tool_request {
    base::tool_name tool;
    std::string key;
    base::attempt_id attempt;
    base::program_id program;
    base::call_number call;
    std::string arguments;
};

/// One run of a tool: what the ledger holds.
struct tool_run {
    std::uint64_t id = 0;
    tool_request request;
    base::instant started;
    std::optional<base::instant> ended;
    bool failed = false;
    /// A JSON document, once ended.
    std::string output;
};

enum class tool_start_kind {
    /// A new run `run` has begun.
    started,
    /// The key belongs to run `run`, which may still be under way.
    repeated,
    /// The key was fenced: not run.
    fenced,
};

struct tool_start {
    tool_start_kind kind = tool_start_kind::started;
    std::uint64_t run = 0;
};

enum class key_state { completed, running, never_seen, cannot_tell };

struct key_view {
    key_state state = key_state::cannot_tell;
    std::uint64_t run = 0;
    bool fenced = false;
};

class tool_model {
  public:
    explicit tool_model(tool_options options) : options_(options), random_(options.seed) {}

    tool_start start(const tool_request& request, base::instant now);
    /// With `fence`, a key that was never seen is refused from now on.
    key_view query(const base::tool_name& tool, const std::string& key, bool fence);

    std::optional<base::instant> next_event() const;
    /// Ends the runs due until `now`; returns their ids in order of time.
    std::vector<std::uint64_t> advance(base::instant now);

    const tool_run& run(std::uint64_t id) const { return ledger_.at(id - 1); }
    const std::vector<tool_run>& ledger() const { return ledger_; }
    void set_options(const tool_options& options) { options_ = options; }
    const tool_options& options() const { return options_; }

  private:
    using key_name = std::pair<base::tool_name, std::string>;

    tool_options options_;
    base::random_source random_;
    std::vector<tool_run> ledger_;
    std::map<key_name, std::uint64_t> keys_;
    std::set<key_name> fenced_;
    std::set<std::pair<base::instant, std::uint64_t>> due_;
};

}  // namespace pearbarrow::emulator
