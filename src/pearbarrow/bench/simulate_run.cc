#include "pearbarrow/bench/simulate_run.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <utility>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/bench/simulate_loop.h"

namespace pearbarrow::bench {
namespace {

/// After the last arrival the run goes on for at most this many times the duration.
constexpr double longest_drain = 3;
/// Tenants with fewer programs measured don't count for fairness.
constexpr std::size_t least_programs_of_tenant = 3;

double to_seconds(sim_time time) {
    return static_cast<double>(time) / us_per_second;
}

double percentile(const std::vector<double>& sorted, double part) {
    if (sorted.empty()) {
        return 0;
    }
    const auto rank =
        static_cast<std::size_t>(std::ceil(part * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

/// Samples of one class, or of all.
struct samples {
    std::vector<double> latency;
    std::vector<double> model_time;
    std::vector<double> first_token;
    std::uint64_t refused = 0;
    std::uint64_t starved = 0;

    class_result result() {
        class_result value;
        value.program_latency = summarize(std::move(latency));
        value.model_time = summarize(std::move(model_time));
        value.time_to_first_token = summarize(std::move(first_token));
        value.refused = refused;
        value.starved = starved;
        return value;
    }
};

/// Collects what was measured: programs that arrive between warm-up and the end.
class collector {
  public:
    collector(const experiment& setup, const workload& programs, const simulation_loop& loop)
        : setup_(setup), programs_(programs), loop_(loop), per_class_(setup.classes.size()) {}

    void collect(run_result& result) {
        for (const std::uint32_t root : programs_.roots) {
            add_program(root, result);
        }
        for (const call_trace& call : loop_.calls()) {
            add_call(call, result);
        }
        result.hit_rate = prompt_tokens_ > 0 ? cached_tokens_ / prompt_tokens_ : 0;
        result.fairness = fairness();
        result.model_time_earlier = summarize(std::move(earlier_)).mean;
        result.model_time_later = summarize(std::move(later_)).mean;
        result.overall = overall_.result();
        for (std::size_t index = 0; index < per_class_.size(); ++index) {
            result.classes[setup_.classes[index].name] = per_class_[index].result();
        }
    }
    std::uint64_t measured() const { return measured_; }

  private:
    bool is_measured(std::uint32_t program) const {
        const planned_program& plan = programs_.programs[program];
        return plan.arrival_seconds >= setup_.warm_up_seconds;
    }

    void add_program(std::uint32_t root, run_result& result) {
        if (!is_measured(root)) {
            return;
        }
        ++measured_;
        const planned_program& plan = programs_.programs[root];
        const class_spec& spec = setup_.classes[plan.class_index];
        const program_trace& trace = loop_.programs()[root];
        samples& own = per_class_[plan.class_index];
        const double wait = to_seconds(trace.longest_wait);
        const bool starved = !trace.finished || wait > setup_.starvation_seconds;
        result.unfinished += trace.finished ? 0 : 1;
        result.longest_wait = std::max(result.longest_wait, wait);
        own.starved += starved ? 1 : 0;
        own.refused += trace.refused ? 1 : 0;
        if (!spec.without_model) {
            overall_.starved += starved ? 1 : 0;
            overall_.refused += trace.refused ? 1 : 0;
        }
        if (!trace.finished || trace.refused) {
            return;
        }
        const double latency = to_seconds(*trace.finished - trace.started);
        own.latency.push_back(latency);
        own.model_time.push_back(to_seconds(trace.model_us));
        if (!spec.without_model) {
            const double middle = (setup_.warm_up_seconds + setup_.duration_seconds) / 2;
            (plan.arrival_seconds < middle ? earlier_ : later_)
                .push_back(to_seconds(trace.model_us));
            overall_.latency.push_back(latency);
            overall_.model_time.push_back(to_seconds(trace.model_us));
            per_tenant_[{plan.class_index, plan.tenant}].push_back(to_seconds(trace.model_us));
        }
    }

    void add_call(const call_trace& call, run_result& result) {
        if (!is_measured(call.program) || !call.first_token) {
            return;
        }
        ++result.calls;
        prompt_tokens_ += call.prompt_tokens;
        cached_tokens_ += call.cached_tokens;
        const double first_token = to_seconds(*call.first_token - call.ready);
        per_class_[programs_.programs[call.program].class_index].first_token.push_back(first_token);
        overall_.first_token.push_back(first_token);
    }

    double fairness() const {
        std::map<std::uint32_t, std::pair<double, double>> class_totals;
        for (const auto& [who, times] : per_tenant_) {
            for (const double time : times) {
                class_totals[who.first].first += time;
                class_totals[who.first].second += 1;
            }
        }
        double sum = 0;
        double squares = 0;
        double count = 0;
        for (const auto& [who, times] : per_tenant_) {
            if (times.size() < least_programs_of_tenant) {
                continue;
            }
            const auto& [total, number] = class_totals.at(who.first);
            double mean = 0;
            for (const double time : times) {
                mean += time / static_cast<double>(times.size());
            }
            const double relative = total > 0 ? mean / (total / number) : 1;
            sum += relative;
            squares += relative * relative;
            count += 1;
        }
        return squares > 0 ? sum * sum / (count * squares) : 1;
    }

    const experiment& setup_;
    const workload& programs_;
    const simulation_loop& loop_;
    std::vector<samples> per_class_;
    samples overall_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<double>> per_tenant_;
    std::vector<double> earlier_;
    std::vector<double> later_;
    double prompt_tokens_ = 0;
    double cached_tokens_ = 0;
    std::uint64_t measured_ = 0;
};

void add_engine_totals(const experiment& setup, const simulation_loop& loop, double programs,
                       run_result& result) {
    const engine_totals& begin = loop.at_warm_up();
    const engine_totals& end = loop.at_end();
    const double each = std::max(1.0, programs);
    result.wasted_evicted = (end.idle.evicted - begin.idle.evicted) / each;
    result.wasted_abandoned = (end.idle.abandoned - begin.idle.abandoned) / each;
    result.wasted_cache = result.wasted_evicted + result.wasted_abandoned;
    result.reused_cache = (end.idle.reused - begin.idle.reused) / each;
    result.utilization = (end.busy_seconds - begin.busy_seconds) /
                         (setup.duration_seconds - setup.warm_up_seconds) /
                         static_cast<double>(setup.engines.size());
    result.preemptions = end.preemptions - begin.preemptions;
}

void add_throughput(const workload& programs, const simulation_loop& loop, run_result& result) {
    double tokens = 0;
    for (const call_trace& call : loop.calls()) {
        if (call.finished) {
            tokens += programs.programs[call.program].calls[call.number].output_tokens;
        }
    }
    result.virtual_seconds = to_seconds(loop.now());
    result.requests_per_second = static_cast<double>(loop.calls().size()) / result.virtual_seconds;
    result.tokens_per_second = tokens / result.virtual_seconds;
}

}  // namespace

sample_summary summarize(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    sample_summary summary;
    summary.count = values.size();
    for (const double value : values) {
        summary.mean += value / static_cast<double>(values.size());
    }
    summary.p50 = percentile(values, 0.50);
    summary.p95 = percentile(values, 0.95);
    summary.p99 = percentile(values, 0.99);
    return summary;
}

absl::StatusOr<run_result> run_simulation(const experiment& setup, const std::string& policy_name,
                                          const policy_options& options, double load,
                                          std::uint64_t seed) {
    auto policy = make_policy(policy_name, setup, options);
    if (!policy.ok()) {
        return policy.status();
    }
    const base::system_clock_source clock;
    const base::instant begun = clock.now();
    run_result result;
    result.experiment = setup.name;
    result.policy = policy_name;
    result.seed = seed;
    result.load = load;
    result.programs_per_second = load * setup.capacity;
    const workload programs = draw_workload(setup, result.programs_per_second, seed);
    simulation_loop loop(setup, programs, **policy, seed);
    loop.run(static_cast<sim_time>(setup.duration_seconds * (1 + longest_drain) * us_per_second));

    collector measured(setup, programs, loop);
    measured.collect(result);
    add_engine_totals(setup, loop, static_cast<double>(measured.measured()), result);
    add_throughput(programs, loop, result);
    for (const auto& [call, reason] : loop.refusals()) {
        ++result.refused_calls;
        ++result.refusal_reasons[reason];
    }
    const double middle = (setup.warm_up_seconds + setup.duration_seconds) / 2;
    result.under_way_middle = loop.under_way_at(static_cast<sim_time>(middle * us_per_second));
    result.under_way_end =
        loop.under_way_at(static_cast<sim_time>(setup.duration_seconds * us_per_second));
    result.wall_seconds = static_cast<double>((clock.now() - begun).count()) / us_per_second;
    return result;
}

}  // namespace pearbarrow::bench
