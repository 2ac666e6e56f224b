#include "pearbarrow/bench/simulate_baselines.h"

#include <algorithm>
#include <string>

namespace pearbarrow::bench {
namespace {

/// Out of balance: the busiest engine has also so many times the calls of the idlest.
constexpr double balance_ratio = 1.5;
/// Part of the prompt that must be cached for affinity to count.
constexpr double least_match = 0.5;

base::instant to_instant(sim_time now) {
    return base::instant(base::microseconds(now));
}

base::program_id name_of(std::uint32_t program) {
    return base::program_id(std::to_string(program));
}

}  // namespace

immediate_policy::immediate_policy(const experiment& setup)
    : in_flight_(setup.engines.size()), release_(setup.baselines_release) {}

void immediate_policy::offer(const call_view& call, sim_time now, policy_output& output) {
    const std::uint32_t engine = choose(call, now);
    in_flight_[engine] += 1;
    output.placed.push_back({call.call, engine, 0, 0, {}});
}

void immediate_policy::finished(const call_result& result, sim_time now, policy_output& output) {
    in_flight_[result.engine] -= 1;
}

std::uint32_t immediate_policy::least_loaded() {
    const auto count = static_cast<std::uint32_t>(in_flight_.size());
    turn_ = (turn_ + 1) % count;
    std::uint32_t best = turn_;
    for (std::uint32_t offset = 0; offset < count; ++offset) {
        const std::uint32_t engine = (turn_ + offset) % count;
        if (in_flight_[engine] < in_flight_[best]) {
            best = engine;
        }
    }
    return best;
}

std::uint32_t round_robin_policy::choose(const call_view& call, sim_time now) {
    next_ = (next_ + 1) % static_cast<std::uint32_t>(in_flight_.size());
    return next_;
}

prefix_affinity_policy::prefix_affinity_policy(const experiment& setup,
                                               std::uint32_t balance_difference)
    : immediate_policy(setup), balance_difference_(balance_difference) {
    std::vector<std::uint64_t> limits;
    for (const engine_spec& engine : setup.engines) {
        limits.push_back(engine.cache_tokens);
    }
    directory_.set_engines(limits);
}

std::uint32_t prefix_affinity_policy::choose(const call_view& call, sim_time now) {
    held_.assign(in_flight_.size(), {});
    directory_.fill(name_of(call.program), call.marks, held_);
    const auto [idlest, busiest] = std::minmax_element(in_flight_.begin(), in_flight_.end());
    const bool unbalanced =
        *busiest - *idlest > balance_difference_ && *busiest > balance_ratio * *idlest;
    std::uint32_t chosen = least_loaded();
    if (!unbalanced) {
        for (std::uint32_t engine = 0; engine < held_.size(); ++engine) {
            const bool longer = held_[engine].cached > held_[chosen].cached;
            const bool idler = held_[engine].cached == held_[chosen].cached &&
                               in_flight_[engine] < in_flight_[chosen];
            if (held_[engine].cached >= least_match * call.prompt_tokens && (longer || idler)) {
                chosen = engine;
            }
        }
    }
    std::uint32_t before = 0;
    for (const wire::prefix_mark& mark : call.marks) {
        directory_.record_shared(mark, chosen, mark.tokens - before, to_instant(now));
        before = mark.tokens;
    }
    return chosen;
}

void prefix_affinity_policy::finished(const call_result& result, sim_time now,
                                      policy_output& output) {
    immediate_policy::finished(result, now, output);
    directory_.record_program(name_of(result.program), result.engine,
                              result.prompt_tokens + result.output_tokens, 0, to_instant(now));
}

void prefix_affinity_policy::program_ended(std::uint32_t program, sim_time now,
                                           policy_output& output) {
    directory_.forget_program(name_of(program));
}

void prefix_affinity_policy::evicted(std::uint32_t engine, std::uint32_t program,
                                     std::uint32_t tokens_left, sim_time now) {
    directory_.set_tokens_left(name_of(program), engine, tokens_left);
}

}  // namespace pearbarrow::bench
