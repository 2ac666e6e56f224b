/// Bounds and waits of a `shard_owner`.
#pragma once

#include <cstdint>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::program {

/// Switches mechanisms off, so that tests can see their checks fail. Never set outside tests.
struct disabled_mechanisms {
    bool call_order = false;
    bool budget_reservation = false;
    /// Act before the intent is committed, and answer before the result is.
    bool journal_before_act = false;
    /// Send a call whose outcome is in doubt again, instead of asking the tool.
    bool in_doubt_query = false;
    bool tenant_check = false;
    bool release_retry = false;
    bool event_id_check = false;
    bool transfer_once = false;
};

struct owner_options {
    /// Programs of the shard, ended ones that are not forgotten included.
    std::uint64_t max_programs = 20'000;
    /// Unfinished calls of one program, running one and early numbers included.
    std::uint64_t max_queued_calls = 32;
    /// Requesters waiting for one call.
    std::uint64_t max_readers = 64;
    std::uint64_t history_cache_bytes = 64ULL << 20;
    std::uint64_t max_output_bytes = 8ULL << 20;
    /// Attempts at one call that may be repeated.
    std::uint32_t max_attempts = 4;

    base::milliseconds default_deadline{60'000};
    /// How long a call waits for a missing lower number before `call_number_gap`.
    base::milliseconds gap_wait{5'000};
    /// See `action::leadership`.
    base::milliseconds leadership_trust{500};
    /// How long the owner waits for an engine to confirm a cancellation.
    base::milliseconds cancel_wait{2'000};
    base::milliseconds retry_backoff{100};
    base::milliseconds max_backoff{5'000};
    /// How long an unreachable tool is asked what became of a call that it may have run.
    base::milliseconds tool_query_wait{3'000};
    /// How long ended programs answer late readers.
    base::milliseconds retention{60'000};
    /// Limits of programs that name none.
    wire::program_limits limits{
        .idle_ms = 600'000, .run_time_ms = 7'200'000, .turns = 1'000, .equal_calls = 20};
    /// A snapshot is made after this many records; 0: never.
    std::uint64_t snapshot_every = 20'000;

    disabled_mechanisms disabled;
};

}  // namespace pearbarrow::program
