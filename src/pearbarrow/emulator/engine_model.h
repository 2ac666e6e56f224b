/// Model of an engine that batches continuously. Pure: the HTTP shell feeds it wall time, the
/// simulator virtual time; the same inputs at the same times give the same outputs.
///
/// The engine works in steps. A step computes one token of every decoding sequence and a bounded
/// number of prompt tokens of sequences in prefill; it lasts as long as `engine_costs` says. All
/// tokens of a step appear at its end. Sequences wait by priority, then arrival; a waiting sequence
/// of better priority preempts a running one of worse priority when there is no room.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/emulator/block_cache.h"
#include "pearbarrow/emulator/cache_event_log.h"
#include "pearbarrow/emulator/prompt_blocks.h"

namespace pearbarrow::emulator {

/// Time that work takes, in microseconds. The defaults resemble an 8-billion-parameter model on
/// one accelerator.
struct engine_costs {
    double step_base = 8'000;
    double prefill_token = 80;
    double decode_sequence = 60;
    /// For each thousand tokens of context of each decoding sequence.
    double decode_context_kilotoken = 25;
    double import_block = 150;
    /// Loading a model, or another version of it.
    base::milliseconds model_load{2'000};

    /// All durations multiplied by `factor`.
    engine_costs scaled(double factor) const;
};

struct engine_options {
    engine_costs costs;
    block_cache_options cache;
    cache_event_options events;
    base::model_name model{"pearl-8b"};
    std::string model_version = "1";
    std::vector<std::string> adapters;
    backend::engine_role role = backend::engine_role::both;
    std::uint32_t max_running = 64;
    std::uint32_t max_waiting = 1024;
    std::uint64_t prefill_tokens_per_step = 2'048;
    std::uint64_t max_sequence_tokens = 400'000;
    base::milliseconds load_lag{250};
    /// How long an ended stream can still be received.
    base::milliseconds stream_retention{120'000};
    /// How long, and how many, attempt ids are remembered after their end.
    base::milliseconds id_retention{3'600'000};
    std::size_t max_remembered = 200'000;
    std::uint64_t seed = 1;
};

/// One generation, as the model needs it: counts and block hashes, no text.
struct generation {
    base::attempt_id attempt;
    base::program_id program;
    base::call_number call;
    base::model_name model;
    std::string adapter;
    std::uint64_t prompt_tokens = 0;
    /// Tokens to generate, known ahead; at least 1.
    std::uint64_t output_tokens = 1;
    /// Hashes of the full blocks of the prompt followed by the whole answer.
    std::vector<block_hash> blocks;
    std::int32_t priority = 0;
    base::milliseconds pin_lease{0};
};

enum class start_kind {
    accepted,
    /// The id is known and its stream still there: receive that.
    attached,
    refused,
};

enum class refusal {
    none,
    queue_full,
    model_not_loaded,
    model_loading,
    adapter_not_loaded,
    sequence_too_long,
    leaving,
    attempt_cancelled,
    attempt_already_ran,
};

/// Stable reason word of a refusal, as in the protocol.
std::string_view to_string(refusal value);

struct start_outcome {
    start_kind kind = start_kind::refused;
    refusal reason = refusal::none;
    /// Whether the refused attempt had run.
    bool has_run = false;
};

enum class stream_state { waiting, running, finished, cancelled };

std::string_view to_string(stream_state value);

/// What is known of an attempt.
struct stream_view {
    stream_state state = stream_state::waiting;
    base::program_id program;
    base::call_number call;
    /// Tokens generated until now.
    std::uint64_t produced = 0;
    std::uint64_t output_tokens = 0;
    backend::token_usage usage;
    /// False once the stream can't be received any more.
    bool retained = true;
};

/// Progress of a stream: new tokens `first` to `last`, and whether it ended.
struct stream_progress {
    base::attempt_id attempt;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    bool ended = false;
    base::instant at;
};

/// Totals since the start.
struct engine_totals {
    std::uint64_t steps = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t computed_prompt_tokens = 0;
    std::uint64_t generated_tokens = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    base::microseconds busy{0};
};

class engine_model {
  public:
    explicit engine_model(engine_options options);

    start_outcome start(const generation& request, base::instant now);
    backend::cancel_result cancel(const base::attempt_id& attempt, base::instant now);
    /// None for an id never seen, or forgotten.
    std::optional<stream_view> find(const base::attempt_id& attempt) const;

    /// When `advance` next has something to do; none while idle.
    std::optional<base::instant> next_event() const;
    /// Carries out everything due until `now`. Call it before any other call at `now`.
    void advance(base::instant now);
    /// Takes the progress since the last call, in order of time.
    std::vector<stream_progress> take_progress() { return std::exchange(progress_, {}); }

    /// The newest load report, at most `load_lag` old.
    backend::load_report load(base::instant now) const;
    backend::cache_listing listing(base::instant now) const;
    backend::cache_event_batch cache_events(std::uint64_t after, std::size_t limit,
                                            base::instant now) const;
    std::uint64_t release_program(const base::program_id& program, base::instant now);
    std::uint64_t renew_pin(const base::program_id& program, base::milliseconds lease,
                            base::instant now);
    /// Empty blocks when the program has no pin.
    backend::exported_prefix export_prefix(const base::program_id& program) const;
    /// Returns the blocks taken in; 0 when the model, version or adapter differs.
    std::uint64_t import_prefix(const backend::exported_prefix& prefix, base::milliseconds lease,
                                base::instant now);
    /// False when the fencing token is stale.
    bool order(const backend::engine_order& request, base::instant now);

    void set_leaving(bool leaving) { leaving_ = leaving; }
    /// Multiplies all durations from the next step on.
    void set_slowdown(double factor) { slowdown_ = factor; }
    void set_event_options(cache_event_options options) { events_.set_options(options); }
    const cache_event_options& event_options() const { return events_.options(); }
    const engine_options& options() const { return options_; }
    const engine_totals& totals() const { return totals_; }
    const cache_accounting& accounting() const { return cache_.accounting(); }
    std::uint64_t cache_blocks_used() const { return cache_.used_blocks(); }
    cache_namespace current_namespace(std::string adapter) const;
    /// All attempts in memory, for the meter.
    std::vector<backend::meter_entry> meter() const;

  private:
    struct sequence {
        generation request;
        std::uint64_t arrival = 0;
        stream_state state = stream_state::waiting;
        std::uint64_t computed = 0;
        std::uint64_t produced = 0;
        /// Tokens to compute in the step under way.
        std::uint64_t in_step = 0;
        /// Leading blocks referenced in the cache, and room held for blocks under way.
        std::uint64_t cached_blocks = 0;
        std::uint64_t reserved_blocks = 0;
        std::optional<std::uint64_t> cached_tokens;
        bool retained = true;

        /// Tokens that must be computed before the next one appears.
        std::uint64_t target() const { return request.prompt_tokens + produced; }
        bool decoding() const { return produced > 0 && computed + 1 >= target(); }
    };
    /// Order of service: priority, then arrival.
    using service_key = std::pair<std::int32_t, std::uint64_t>;

    static service_key key_of(const sequence& item) {
        return {item.request.priority, item.arrival};
    }
    sequence& at(const service_key& key) { return sequences_.at(active_.at(key)); }

    std::optional<start_outcome> refuse(const generation& request) const;
    void begin_step(base::instant now);
    void end_step(base::instant now);
    void admit(base::instant now);
    bool try_admit(sequence& item, base::instant now);
    /// Room for the sequence's tokens up to `tokens`. May preempt worse sequences.
    bool hold_room(sequence& item, std::uint64_t tokens, base::instant now);
    /// Preempts the running sequence served last: one of worse priority, or, for a sequence that
    /// runs itself, also a later one of the same priority.
    bool preempt_worse_than(const service_key& key, base::instant now);
    void preempt(sequence& item, base::instant now);
    void advance_sequence(sequence& item, base::instant now);
    void publish_full_blocks(sequence& item, base::instant now);
    void end(sequence& item, stream_state state, base::instant now);
    void free_room(sequence& item, base::instant now);
    base::microseconds plan_step(base::instant now);
    void process(base::instant now);
    void drop_old_streams(base::instant now);
    void finish_load(base::instant now);
    void publish_changes(base::instant now);
    void take_report(base::instant now);
    backend::token_usage usage_of(const sequence& item) const;

    engine_options options_;
    block_cache cache_;
    cache_event_log events_;
    std::map<base::attempt_id, sequence> sequences_;
    /// Ids of attempts that are waiting or running.
    std::map<service_key, base::attempt_id> active_;
    std::set<service_key> waiting_;
    std::set<service_key> running_;
    /// Cancelled before they came.
    std::map<base::attempt_id, base::instant> cancelled_unseen_;
    /// Ended attempts by time of their end: all, and those whose stream is still kept.
    std::set<std::pair<base::instant, base::attempt_id>> ended_;
    std::set<std::pair<base::instant, base::attempt_id>> retained_;
    std::uint64_t arrivals_ = 0;
    std::optional<base::instant> step_end_;
    base::microseconds extra_step_time_{0};
    std::vector<stream_progress> progress_;
    engine_totals totals_;
    backend::load_report report_;
    base::instant report_at_;
    bool leaving_ = false;
    double slowdown_ = 1;
    std::optional<backend::engine_order> last_order_;
    std::uint64_t fencing_token_ = 0;
    std::optional<base::instant> load_done_;
    /// A model to load once the batch is empty.
    std::optional<backend::engine_order> pending_load_;
};

}  // namespace pearbarrow::emulator
