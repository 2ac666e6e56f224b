/// Programs as they will unfold: drawn from the seed alone, so that every policy meets the same.
#pragma once

#include <cstdint>
#include <vector>

#include "pearbarrow/bench/simulate_experiment.h"

namespace pearbarrow::bench {

enum class pause_kind : std::uint8_t { none, tool, think };

/// One call of a program and what follows it.
struct planned_call {
    /// Tokens that this call adds to the prompt.
    std::uint32_t input_tokens = 0;
    std::uint32_t output_tokens = 0;
    pause_kind pause = pause_kind::none;
    double pause_seconds = 0;
    /// Sub-programs that run during the pause; the pause ends when the last of them has.
    std::vector<std::uint32_t> children;
};

struct planned_program {
    std::uint32_t class_index = 0;
    std::uint32_t tenant = 0;
    std::uint32_t zone = 0;
    double arrival_seconds = 0;
    std::int32_t parent = -1;
    std::vector<planned_call> calls;
};

/// All programs that arrive until the end, sub-programs behind their parents.
struct workload {
    std::vector<planned_program> programs;
    /// Those that arrive by themselves, in order of arrival.
    std::vector<std::uint32_t> roots;
};

workload draw_workload(const experiment& setup, double programs_per_second, std::uint64_t seed);

}  // namespace pearbarrow::bench
