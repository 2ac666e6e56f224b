/// Usage that counts against the configured limits of tenants, classes and `limit` objects.
///
/// The owner of a shard counts its own programs. A node sums the counts of its shards, and the home
/// of a limit sums the counts of the nodes (node/quota_home.h).
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/config/bounds.h"

namespace pearbarrow::program {

enum class quota_counter : std::uint8_t {
    /// Open programs.
    programs,
    /// Maximum number of prompt and output tokens that unfinished model calls can use.
    tokens,
    /// Calls per second. Each call uses one; nothing is reserved.
    calls,
};

/// Identifies one limit by the object that sets it and the quantity that it counts.
struct quota_key {
    config::object_key source;
    quota_counter counter = quota_counter::programs;
    auto operator<=>(const quota_key&) const = default;
};

/// The amount that a new program or call needs from one limit.
struct quota_need {
    quota_key key;
    std::uint64_t amount = 0;
};

/// Current use of the limits of one object.
struct quota_use {
    std::uint64_t programs = 0;
    std::uint64_t tokens = 0;

    std::uint64_t of(quota_counter counter) const {
        return counter == quota_counter::programs ? programs
               : counter == quota_counter::tokens ? tokens
                                                  : 0;
    }
};

using quota_use_map = std::map<config::object_key, quota_use>;

/// Returns the amounts that a new program needs from each limit.
std::vector<quota_need> needs_of_program(const std::vector<config::applied_bounds>& bounds);
/// Returns the amounts that a new call that reserves `tokens` needs from each limit. The call rates
/// come last, since a check of a rate already uses it up.
std::vector<quota_need> needs_of_call(const std::vector<config::applied_bounds>& bounds,
                                      std::uint64_t tokens);

}  // namespace pearbarrow::program
