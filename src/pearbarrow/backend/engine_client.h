/// Typed client of a model engine. docs/backend-protocol.md describes the protocol.
///
/// All callbacks run on the event loop, never inside the call that receives them. A callback of a
/// call without a handle runs exactly once. Failed statuses carry step, peer (the engine's
/// address), reason and `executed` (see base/status.h).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/endpoint.h"

namespace pearbarrow::net {
class http_client;
}

namespace pearbarrow::backend {

/// One message of a conversation, as in the OpenAI convention.
struct chat_message {
    /// "system", "user", "assistant" or "tool".
    std::string role;
    std::string content;

    bool operator==(const chat_message&) const = default;
};

/// Estimates the tokens of a prompt by the rule of base/tokens.h.
std::uint64_t count_prompt_tokens(const std::vector<chat_message>& messages);

/// A request to generate a completion.
struct generate_request {
    /// Identifies the stream at the engine. The engine executes an attempt id once; a repeated
    /// request re-attaches to the stream.
    base::attempt_id attempt;
    base::program_id program;
    base::call_number call;
    base::model_name model;
    /// Adapter on the model; empty: none.
    std::string adapter;
    std::vector<chat_message> messages;
    std::uint32_t max_tokens = 0;
    /// Requests with lower values are executed first and may preempt those with higher values.
    std::int32_t priority = 0;
    /// How long the engine pins the sequence's cache for the program after the response. Zero means
    /// no pin: the blocks may be evicted when other sequences need memory.
    base::milliseconds pin_lease{0};
};

/// Tokens that an attempt used.
struct token_usage {
    std::uint64_t prompt_tokens = 0;
    /// Prompt tokens that were found in the prefix cache.
    std::uint64_t cached_tokens = 0;
    std::uint64_t completion_tokens = 0;

    bool operator==(const token_usage&) const = default;
};

/// Consecutive tokens of a generated stream.
struct generate_part {
    /// Index of the last token in `text`; the first token of the stream has index 1.
    std::uint64_t index = 0;
    std::string text;
};

enum class finish_reason { stop, length, cancelled };

struct generate_result {
    token_usage usage;
    finish_reason reason = finish_reason::stop;
};

struct generate_callbacks {
    /// The engine has accepted the stream. May be empty.
    std::function<void()> on_accepted;
    std::function<void(const generate_part&)> on_part;
    /// Runs once, after the last part. Reasons of failure: `engine_unreachable` (executed no),
    /// `engine_refused` (executed no, with retry_after), `attempt_cancelled` (executed no),
    /// `model_not_loaded` (executed no), `stream_unknown` (resume only), `stream_broken`
    /// (executed unknown: resume, or cancel, by the attempt's id).
    std::function<void(absl::StatusOr<generate_result>)> on_done;
};

/// Handle of a stream that is being received. Its destruction stops the reception without further
/// callbacks; the engine continues to generate until `engine_client::cancel`.
class stream_handle {
  public:
    virtual ~stream_handle() = default;
};

/// Outcome of a cancellation.
enum class cancel_outcome {
    /// The stream was queued or running and has been stopped.
    cancelled,
    /// The stream had ended before the cancellation.
    finished,
    /// The engine does not know the id. It refuses the id from now on with `attempt_cancelled`.
    unknown,
};

struct cancel_result {
    cancel_outcome outcome = cancel_outcome::unknown;
    /// Tokens that the attempt has used so far; zeros when unknown.
    token_usage usage;
};

enum class engine_role { both, prefill, decode };

/// State of an engine `age` ago.
struct load_report {
    /// Increases with each report of the engine.
    std::uint64_t sequence = 0;
    base::milliseconds age{0};
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Prompt tokens waiting to be prefilled, queued requests included.
    std::uint64_t waiting_prompt_tokens = 0;
    std::uint64_t cache_blocks_used = 0;
    std::uint64_t cache_blocks_pinned = 0;
    std::uint64_t cache_blocks_total = 0;
    std::uint32_t block_tokens = 16;
    base::model_name model;
    std::string model_version;
    std::vector<std::string> adapters;
    engine_role role = engine_role::both;
    /// The engine is shutting down and refuses new streams.
    bool leaving = false;
    /// Highest fencing token that the engine has accepted.
    std::uint64_t fencing_token = 0;
};

/// A program's pinned prefix in an engine's memory.
struct cache_holding {
    base::program_id program;
    std::uint64_t blocks = 0;
    /// Time until the pin expires.
    base::milliseconds lease_left{0};
};

/// Snapshot of an engine's cache for programs.
struct cache_listing {
    /// Sequence number of the newest cache event that the listing includes.
    std::uint64_t sequence = 0;
    std::vector<cache_holding> holdings;
    std::uint64_t unpinned_blocks = 0;
};

enum class cache_event_kind { pinned, released, lease_lapsed, evicted };

struct cache_event {
    std::uint64_t sequence = 0;
    cache_event_kind kind = cache_event_kind::pinned;
    /// Empty for `evicted`, which applies to unpinned blocks.
    base::program_id program;
    std::uint64_t blocks = 0;
    /// Blocks of the program's prefix that remain cached.
    std::uint64_t blocks_left = 0;
};

/// Cache events ordered by sequence number. After a gap in the numbers the client must read the
/// listing.
struct cache_event_batch {
    std::vector<cache_event> events;
    /// Value of `after` for the next request.
    std::uint64_t next_after = 0;
};

enum class order_kind { load_model, load_adapter, unload_adapter, set_role };

/// An order to an engine. The engine refuses a token lower than the highest it has accepted, with
/// reason `fencing_token_stale`. A repeated token with the same content is a retry.
struct engine_order {
    std::uint64_t fencing_token = 0;
    order_kind kind = order_kind::load_model;
    base::model_name model;
    std::string version;
    std::string adapter;
    engine_role role = engine_role::both;
};

/// Cached prefix that one engine exports for import by another.
struct exported_prefix {
    base::program_id program;
    base::model_name model;
    std::string model_version;
    std::string adapter;
    std::uint64_t tokens = 0;
    /// Chained hashes of the prefix's blocks in order, 16 hexadecimal digits each.
    std::vector<std::string> blocks;
};

/// Metered usage of one attempt at an engine.
struct meter_entry {
    base::attempt_id attempt;
    base::program_id program;
    base::call_number call;
    token_usage usage;
    /// "queued", "running", "finished" or "cancelled".
    std::string state;
};

/// Client of one engine. Calls are independent of each other; each may fail with
/// `engine_unreachable` (executed no) or `answer_lost` (executed unknown).
class engine_client {
  public:
    template <typename Value>
    using callback = std::function<void(absl::StatusOr<Value>)>;

    virtual ~engine_client() = default;

    virtual const net::endpoint& address() const = 0;

    [[nodiscard]] virtual std::unique_ptr<stream_handle> generate(generate_request request,
                                                                  generate_callbacks callbacks) = 0;
    /// Resumes a stream from the token with index `from` (1 for the whole stream). The engine
    /// supports this while the stream runs and for its retention time after the end.
    [[nodiscard]] virtual std::unique_ptr<stream_handle> resume(base::attempt_id attempt,
                                                                std::uint64_t from,
                                                                generate_callbacks callbacks) = 0;
    /// Stops a stream. Idempotent.
    virtual void cancel(base::attempt_id attempt, callback<cancel_result> done) = 0;

    virtual void read_load(callback<load_report> done) = 0;
    /// Reads the events after sequence number `after`. Events may be late and have gaps.
    virtual void read_cache_events(std::uint64_t after, callback<cache_event_batch> done) = 0;
    virtual void list_cache(callback<cache_listing> done) = 0;
    /// Releases all memory pinned for a program; idempotent. The result is the number of blocks
    /// freed.
    virtual void release(base::program_id program, callback<std::uint64_t> done) = 0;
    /// Renews or sets the lease of a program's pin. The result is the number of blocks pinned.
    virtual void renew_pin(base::program_id program, base::milliseconds lease,
                           callback<std::uint64_t> done) = 0;
    virtual void export_prefix(base::program_id program, callback<exported_prefix> done) = 0;
    /// Imports an exported prefix and pins it for its program. The result is the number of blocks
    /// imported.
    virtual void import_prefix(exported_prefix prefix, base::milliseconds lease,
                               callback<std::uint64_t> done) = 0;
    /// Sends an order. An ok status means that the engine has accepted it; loading may still be in
    /// progress (see the load report).
    virtual void order(engine_order request, std::function<void(absl::Status)> done) = 0;
    /// Reads the meter entry of an attempt. Fails with kNotFound, reason `attempt_unknown`, if the
    /// engine never received it.
    virtual void read_meter(base::attempt_id attempt, callback<meter_entry> done) = 0;
};

/// Timeouts of calls to an engine.
struct engine_client_options {
    /// Timeout for the response head of a stream or of any other call.
    base::milliseconds head_timeout{10'000};
    /// Timeout between two parts of a stream. Queued streams receive comments as heartbeats.
    base::milliseconds idle_timeout{10'000};
};

/// Creates a client of the engine at `address` over `http`, which must outlive the client.
std::unique_ptr<engine_client> make_engine_client(net::http_client& http, net::endpoint address,
                                                  engine_client_options options = {});

}  // namespace pearbarrow::backend
