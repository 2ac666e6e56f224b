/// What counts against the configured limits of tenants, classes and `limit` objects.
///
/// The owner of a shard counts its own programs; the node adds up its shards, and the home of a
/// limit the nodes (node/quota_home.h).
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/config/bounds.h"

namespace pearbarrow::program {

enum class quota_counter : std::uint8_t {
    /// Programs that are open.
    programs,
    /// The most that model calls, accepted and not done, can use of prompt and output tokens.
    tokens,
    /// Calls a second; nothing is held, each call takes one.
    calls,
};

/// One limit: the object that sets it, and what is counted.
struct quota_key {
    config::object_key source;
    quota_counter counter = quota_counter::programs;
    auto operator<=>(const quota_key&) const = default;
};

/// What a new program or call needs of one limit.
struct quota_need {
    quota_key key;
    std::uint64_t amount = 0;
};

/// Use of the limits of one object.
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

/// The limits that a new program needs room in; the rate, which is used up by asking, comes last.
std::vector<quota_need> needs_of_program(const std::vector<config::applied_bounds>& bounds);
/// The same for a new call that reserves `tokens`.
std::vector<quota_need> needs_of_call(const std::vector<config::applied_bounds>& bounds,
                                      std::uint64_t tokens);

}  // namespace pearbarrow::program
