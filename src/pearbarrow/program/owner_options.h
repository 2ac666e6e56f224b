/// Bounds and timeouts of a `shard_owner`.
#pragma once

#include <cstdint>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::program {

/// Switches that disable mechanisms, so that tests can show that their checks fail without them.
/// They are never set outside tests.
struct disabled_mechanisms {
    bool call_order = false;
    bool budget_reservation = false;
    /// Disabled: the owner acts before the intent is committed and replies before the result is.
    bool journal_before_act = false;
    /// Disabled: a tool call with an unknown outcome is sent again without a query of its status.
    bool in_doubt_query = false;
    bool tenant_check = false;
    bool release_retry = false;
    bool event_id_check = false;
    bool transfer_once = false;
};

struct owner_options {
    /// Maximum number of programs in the shard, including ended programs that are still retained.
    std::uint64_t max_programs = 20'000;
    /// Maximum number of unfinished calls of one program, including the running call. The same
    /// bound applies to calls that are buffered for a missing lower number.
    std::uint64_t max_queued_calls = 32;
    /// Maximum number of requesters that wait for one call.
    std::uint64_t max_readers = 64;
    std::uint64_t history_cache_bytes = 64ULL << 20;
    std::uint64_t max_output_bytes = 8ULL << 20;
    /// Maximum number of attempts at a repeatable call.
    std::uint32_t max_attempts = 4;

    base::milliseconds default_deadline{60'000};
    /// Time that a call waits for a missing lower number before it fails with `call_number_gap`.
    base::milliseconds gap_wait{5'000};
    /// See `action::leadership`.
    base::milliseconds leadership_trust{500};
    /// Time that the owner waits for an engine to confirm a cancellation.
    base::milliseconds cancel_wait{2'000};
    base::milliseconds retry_backoff{100};
    base::milliseconds max_backoff{5'000};
    /// Time during which the status of a possibly executed call is queried at an unreachable tool.
    base::milliseconds tool_query_wait{3'000};
    /// Time that the state of an ended program is retained for late readers.
    base::milliseconds retention{60'000};
    /// Limits of programs that set none.
    wire::program_limits limits{
        .idle_ms = 600'000, .run_time_ms = 7'200'000, .turns = 1'000, .equal_calls = 20};
    /// Number of records after which a snapshot is made. 0 disables snapshots.
    std::uint64_t snapshot_every = 20'000;

    disabled_mechanisms disabled;
};

}  // namespace pearbarrow::program
