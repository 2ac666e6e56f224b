/// Client of a model engine, in typed calls. docs/backend-protocol.md describes the protocol.
///
/// All callbacks run on the event loop, never inside the call that takes them. A callback of a
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

/// Tokens of a whole prompt by the rule of base/tokens.h.
std::uint64_t count_prompt_tokens(const std::vector<chat_message>& messages);

/// What an engine is asked to generate.
struct generate_request {
    /// Names the stream at the engine. The engine runs an attempt id once: a repeat re-attaches.
    base::attempt_id attempt;
    base::program_id program;
    base::call_number call;
    base::model_name model;
    /// Adapter on the model; empty: none.
    std::string adapter;
    std::vector<chat_message> messages;
    std::uint32_t max_tokens = 0;
    /// Lower numbers run first and may preempt higher ones.
    std::int32_t priority = 0;
    /// How long the engine keeps the sequence's cache for the program after the answer.
    /// Zero: no pin; the blocks stay only until others need the room.
    base::milliseconds pin_lease{0};
};

/// Tokens that an attempt used.
struct token_usage {
    std::uint64_t prompt_tokens = 0;
    /// Part of the prompt that was found in the prefix cache.
    std::uint64_t cached_tokens = 0;
    std::uint64_t completion_tokens = 0;

    bool operator==(const token_usage&) const = default;
};

/// Some tokens of an answer, in order.
struct generate_part {
    /// Index of the last token in `text`; the answer's first token has index 1.
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

/// A stream being received. Destroying it stops receiving, without further callbacks; the engine
/// goes on generating until `engine_client::cancel`.
class stream_handle {
  public:
    virtual ~stream_handle() = default;
};

/// What became of a stream that was cancelled.
enum class cancel_outcome {
    /// It was queued or running and has been stopped.
    cancelled,
    /// It had ended before.
    finished,
    /// The engine never saw the id. It refuses the id from now on with `attempt_cancelled`.
    unknown,
};

struct cancel_result {
    cancel_outcome outcome = cancel_outcome::unknown;
    /// What the attempt used until now; zeros when unknown.
    token_usage usage;
};

enum class engine_role { both, prefill, decode };

/// State of an engine, as it was `age` ago.
struct load_report {
    /// Grows with each report that the engine takes.
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
    /// The engine is about to leave and refuses new streams.
    bool leaving = false;
    /// Highest fencing token obeyed.
    std::uint64_t fencing_token = 0;
};

/// A program's pinned prefix in an engine's memory.
struct cache_holding {
    base::program_id program;
    std::uint64_t blocks = 0;
    /// Time until the pin lapses by itself.
    base::milliseconds lease_left{0};
};

/// Everything that an engine's memory holds for programs, at one instant.
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
    /// Empty for `evicted`, which concerns unpinned blocks.
    base::program_id program;
    std::uint64_t blocks = 0;
    /// Number of blocks of the program's prefix that remain cached.
    std::uint64_t blocks_left = 0;
};

/// Cache events in order of sequence. A jump in the sequence is a gap: read the listing.
struct cache_event_batch {
    std::vector<cache_event> events;
    /// Pass as `after` next time.
    std::uint64_t next_after = 0;
};

enum class order_kind { load_model, load_adapter, unload_adapter, set_role };

/// An order to an engine. Orders with a token lower than the highest seen are refused with
/// reason `fencing_token_stale`; a repeated token with the same content is a repeat.
struct engine_order {
    std::uint64_t fencing_token = 0;
    order_kind kind = order_kind::load_model;
    base::model_name model;
    std::string version;
    std::string adapter;
    engine_role role = engine_role::both;
};

/// A prefix's cache, taken from one engine for another.
struct exported_prefix {
    base::program_id program;
    base::model_name model;
    std::string model_version;
    std::string adapter;
    std::uint64_t tokens = 0;
    /// Chained hashes of the prefix's blocks, first block first, 16 hexadecimal digits each.
    std::vector<std::string> blocks;
};

/// What an engine ran for one attempt.
struct meter_entry {
    base::attempt_id attempt;
    base::program_id program;
    base::call_number call;
    token_usage usage;
    /// "queued", "running", "finished" or "cancelled".
    std::string state;
};

/// Calls one engine. Calls need no order among them; every one may fail with
/// `engine_unreachable` (executed no) or `answer_lost` (executed unknown).
class engine_client {
  public:
    template <typename Value>
    using callback = std::function<void(absl::StatusOr<Value>)>;

    virtual ~engine_client() = default;

    virtual const net::endpoint& address() const = 0;

    [[nodiscard]] virtual std::unique_ptr<stream_handle> generate(generate_request request,
                                                                  generate_callbacks callbacks) = 0;
    /// Receives a stream again, from the token with index `from` (1: the whole answer). Works while
    /// it runs and for the engine's retention time after it ended.
    [[nodiscard]] virtual std::unique_ptr<stream_handle> resume(base::attempt_id attempt,
                                                                std::uint64_t from,
                                                                generate_callbacks callbacks) = 0;
    /// Stops a stream. Idempotent.
    virtual void cancel(base::attempt_id attempt, callback<cancel_result> done) = 0;

    virtual void read_load(callback<load_report> done) = 0;
    /// Events after sequence number `after`, late and possibly with gaps.
    virtual void read_cache_events(std::uint64_t after, callback<cache_event_batch> done) = 0;
    virtual void list_cache(callback<cache_listing> done) = 0;
    /// Gives back all memory pinned for a program; idempotent. The value is the blocks freed.
    virtual void release(base::program_id program, callback<std::uint64_t> done) = 0;
    /// Renews (or sets) the lease of a program's pin. The value is the blocks pinned.
    virtual void renew_pin(base::program_id program, base::milliseconds lease,
                           callback<std::uint64_t> done) = 0;
    virtual void export_prefix(base::program_id program, callback<exported_prefix> done) = 0;
    /// Pins an exported prefix for its program. The value is the blocks taken in.
    virtual void import_prefix(exported_prefix prefix, base::milliseconds lease,
                               callback<std::uint64_t> done) = 0;
    /// Obeyed once the callback has ok; loading itself may still go on (see the load report).
    virtual void order(engine_order request, std::function<void(absl::Status)> done) = 0;
    /// The meter's entry of an attempt; kNotFound, reason `attempt_unknown`, if it never came.
    virtual void read_meter(base::attempt_id attempt, callback<meter_entry> done) = 0;
};

/// Time limits of calls to an engine.
struct engine_client_options {
    /// To the head of a stream's answer; also of plain calls.
    base::milliseconds head_timeout{10'000};
    /// Between two parts of a stream. Queued streams receive comments as heartbeats.
    base::milliseconds idle_timeout{10'000};
};

/// A client of the engine at `address` over `http`, which must outlive it.
std::unique_ptr<engine_client> make_engine_client(net::http_client& http, net::endpoint address,
                                                  engine_client_options options = {});

}  // namespace pearbarrow::backend
