#include "pearbarrow/bench/simulate_workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pearbarrow::bench {
namespace {

/// Draws indexes with chances proportional to weights.
class weighted_choice {
  public:
    explicit weighted_choice(std::vector<double> weights) : sums_(std::move(weights)) {
        std::partial_sum(sums_.begin(), sums_.end(), sums_.begin());
    }
    std::uint32_t draw(base::random_source& random) const {
        const double at = random.unit() * sums_.back();
        const auto found = std::upper_bound(sums_.begin(), sums_.end(), at);
        return static_cast<std::uint32_t>(std::min<std::ptrdiff_t>(
            found - sums_.begin(), static_cast<std::ptrdiff_t>(sums_.size()) - 1));
    }

  private:
    std::vector<double> sums_;
};

weighted_choice tenant_choice(const class_spec& spec) {
    std::vector<double> weights(std::max(1U, spec.tenants));
    for (std::size_t index = 0; index < weights.size(); ++index) {
        weights[index] = 1 / std::pow(static_cast<double>(index + 1), spec.tenant_skew);
    }
    return weighted_choice(std::move(weights));
}

weighted_choice class_choice(const experiment& setup) {
    std::vector<double> weights;
    for (const class_spec& spec : setup.classes) {
        weights.push_back(spec.share);
    }
    return weighted_choice(std::move(weights));
}

class workload_drawer {
  public:
    workload_drawer(const experiment& setup, std::uint64_t seed)
        : setup_(setup), seed_(seed), arrivals_(seed), classes_(class_choice(setup)) {
        for (const class_spec& spec : setup.classes) {
            tenants_.push_back(tenant_choice(spec));
        }
    }

    workload draw(double programs_per_second) {
        const double peak = programs_per_second * setup_.burst_factor;
        double at = 0;
        std::uint64_t number = 0;
        while (true) {
            at += -std::log(1 - arrivals_.unit()) / peak;
            if (at > setup_.duration_seconds) {
                return std::move(result_);
            }
            if (arrivals_.unit() * peak > rate_at(at, programs_per_second)) {
                continue;
            }
            // Each program has its own generator: its shape doesn't depend on the others.
            base::random_source random(seed_ * 1'000'003 + ++number);
            const std::uint32_t class_index = classes_.draw(random);
            const std::uint32_t tenant = tenants_[class_index].draw(random);
            result_.roots.push_back(draw_program(class_index, tenant, -1, at, random));
        }
    }

  private:
    double rate_at(double seconds, double mean_rate) const {
        if (setup_.burst_factor <= 1) {
            return mean_rate;
        }
        const double phase =
            std::fmod(seconds, setup_.burst_period_seconds) / setup_.burst_period_seconds;
        const double part = setup_.burst_part;
        const double quiet = (1 - setup_.burst_factor * part) / (1 - part);
        return mean_rate * (phase < part ? setup_.burst_factor : quiet);
    }

    std::uint32_t draw_program(std::uint32_t class_index, std::uint32_t tenant, std::int32_t parent,
                               double at, base::random_source& random) {
        const class_spec& spec = setup_.classes[class_index];
        const auto index = static_cast<std::uint32_t>(result_.programs.size());
        planned_program program;
        program.class_index = class_index;
        program.tenant = tenant;
        program.zone = static_cast<std::uint32_t>(random.below(setup_.zones));
        program.arrival_seconds = at;
        program.parent = parent;
        const auto count =
            std::max(1U, static_cast<std::uint32_t>(std::lround(spec.calls.draw(random))));
        result_.programs.push_back(program);
        std::vector<planned_call> calls;
        double next_input = spec.first_input.draw(random);
        double context = spec.system_tokens + spec.document_tokens;
        for (std::uint32_t number = 0; number < count; ++number) {
            planned_call call;
            call.input_tokens = static_cast<std::uint32_t>(next_input);
            call.output_tokens = std::max(1U, static_cast<std::uint32_t>(spec.output.draw(random)));
            context += call.input_tokens + call.output_tokens;
            const double room = setup_.context_limit - context - spec.output.high;
            if (number + 1 < count && room > 0) {
                next_input = draw_pause(spec, index, tenant, at, random, call);
                next_input = std::min(next_input, room);
            } else if (spec.without_model) {
                call.pause_seconds = spec.tool_seconds.draw(random);
            }
            calls.push_back(std::move(call));
            if (room <= 0) {
                break;
            }
        }
        result_.programs[index].calls = std::move(calls);
        return index;
    }

    /// Draws what follows a call; returns the tokens that the next call adds.
    double draw_pause(const class_spec& spec, std::uint32_t index, std::uint32_t tenant, double at,
                      base::random_source& random, planned_call& call) {
        const sub_program_spec& sub = spec.sub_programs;
        if (!sub.program_class.empty() && random.chance(sub.probability)) {
            const auto child_class =
                static_cast<std::uint32_t>(*setup_.find_class(sub.program_class));
            const auto count =
                std::max(1U, static_cast<std::uint32_t>(std::lround(sub.count.draw(random))));
            double input = 0;
            for (std::uint32_t number = 0; number < count; ++number) {
                call.children.push_back(draw_program(child_class, tenant,
                                                     static_cast<std::int32_t>(index), at, random));
                input += spec.tool_result.draw(random);
            }
            call.pause = pause_kind::tool;
            return input;
        }
        if (random.chance(spec.tool_probability)) {
            call.pause = pause_kind::tool;
            call.pause_seconds = spec.tool_seconds.draw(random);
            return spec.tool_result.draw(random);
        }
        call.pause = pause_kind::think;
        call.pause_seconds = spec.think_seconds.draw(random);
        return spec.turn_input.draw(random);
    }

    const experiment& setup_;
    std::uint64_t seed_;
    base::random_source arrivals_;
    weighted_choice classes_;
    std::vector<weighted_choice> tenants_;
    workload result_;
};

}  // namespace

workload draw_workload(const experiment& setup, double programs_per_second, std::uint64_t seed) {
    return workload_drawer(setup, seed).draw(programs_per_second);
}

}  // namespace pearbarrow::bench
