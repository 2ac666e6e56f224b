#include "pearbarrow/bench/load_run.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numeric>
#include <utility>

namespace pearbarrow::bench {
namespace {

constexpr std::size_t most_failures_shown = 10;
constexpr double microseconds_per_millisecond = 1000.0;

double to_milliseconds(base::microseconds time) {
    return static_cast<double>(time.count()) / microseconds_per_millisecond;
}

double percentile(const std::vector<double>& sorted, double share) {
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(share * last))];
}

/// Keeps the wanted number of programs going until the time is over.
class load_runner {
  public:
    explicit load_runner(const load_options& options)
        : options_(options),
          random_(options.seed),
          client_(net::make_http_client(loop_)),
          context_{.loop = loop_,
                   .client = *client_,
                   .clock = clock_,
                   .random = random_,
                   .history = history_,
                   .nodes = options.nodes,
                   .patience = options.patience,
                   .deadline = options.deadline} {}

    absl::StatusOr<load_summary> run() {
        if (!options_.history_path.empty()) {
            if (auto status = history_.open(options_.history_path); !status.ok()) {
                return status;
            }
        }
        started_at_ = clock_.now();
        loop_.post([this] {
            for (std::uint64_t slot = 0; slot < options_.programs_at_once; ++slot) {
                start_program();
            }
        });
        loop_.run();
        return summarize_run();
    }

  private:
    bool is_over() const {
        const bool enough =
            options_.most_programs > 0 && started_programs_ >= options_.most_programs;
        return enough || clock_.now() - started_at_ >= options_.duration;
    }

    void start_program() {
        if (is_over()) {
            if (running_.empty()) {
                loop_.stop();
            }
            return;
        }
        const std::uint64_t number = ++started_programs_;
        const auto& tenant = options_.tenants[number % options_.tenants.size()];
        const auto& stranger = options_.tenants[(number + 1) % options_.tenants.size()];
        auto program = std::make_unique<load_program>(
            context_, options_.shape, tenant, stranger,
            [this, number](load_program_outcome outcome) { ended(number, std::move(outcome)); });
        auto* started = program.get();
        running_.emplace(number, std::move(program));
        started->start();
    }

    void ended(std::uint64_t number, load_program_outcome outcome) {
        add(outcome);
        // The program's own code is still on the stack: destroy it from the loop.
        loop_.post([this, number] {
            running_.erase(number);
            start_program();
        });
    }

    void add(const load_program_outcome& outcome) {
        ++summary_.programs;
        const bool is_over = outcome.opened && (outcome.ended || outcome.abandoned);
        if (is_over && outcome.all_answered) {
            ++summary_.programs_whole;
            program_times_.push_back(to_milliseconds(outcome.total));
        } else if (is_over && outcome.refused_as_meant) {
            ++summary_.programs_refused;
            return add_calls(outcome);
        } else {
            ++summary_.programs_failed;
        }
        if (!outcome.failure.empty() && summary_.failures.size() < most_failures_shown) {
            summary_.failures.push_back(outcome.failure);
        }
        add_calls(outcome);
    }

    void add_calls(const load_program_outcome& outcome) {
        for (const auto& call : outcome.calls) {
            add(call);
        }
    }

    void add(const load_outcome& call) {
        ++summary_.calls;
        summary_.refusals_retried += static_cast<std::uint64_t>(call.refusals);
        summary_.interruptions += static_cast<std::uint64_t>(call.interruptions);
        if (!call.answered) {
            summary_.calls_unknown += call.executed == base::executed::unknown ? 1 : 0;
            return;
        }
        ++summary_.calls_answered;
        call_times_.push_back(to_milliseconds(call.total));
        if (call.first_part.count() > 0) {
            first_part_times_.push_back(to_milliseconds(call.first_part));
        }
    }

    load_summary summarize_run() {
        summary_.seconds = to_milliseconds(clock_.now() - started_at_) / 1000.0;
        summary_.program_latency = summarize_latencies(std::move(program_times_));
        summary_.call_latency = summarize_latencies(std::move(call_times_));
        summary_.time_to_first_part = summarize_latencies(std::move(first_part_times_));
        return std::move(summary_);
    }

    const load_options& options_;
    net::event_loop loop_;
    base::system_clock_source clock_;
    base::random_source random_;
    history_file history_;
    std::unique_ptr<net::http_client> client_;
    load_context context_;
    base::instant started_at_;
    std::uint64_t started_programs_ = 0;
    std::map<std::uint64_t, std::unique_ptr<load_program>> running_;
    load_summary summary_;
    std::vector<double> program_times_;
    std::vector<double> call_times_;
    std::vector<double> first_part_times_;
};

}  // namespace

latency_summary summarize_latencies(std::vector<double> milliseconds) {
    latency_summary summary;
    if (milliseconds.empty()) {
        return summary;
    }
    std::sort(milliseconds.begin(), milliseconds.end());
    summary.count = milliseconds.size();
    summary.mean = std::accumulate(milliseconds.begin(), milliseconds.end(), 0.0) /
                   static_cast<double>(milliseconds.size());
    summary.p50 = percentile(milliseconds, 0.5);
    summary.p95 = percentile(milliseconds, 0.95);
    summary.p99 = percentile(milliseconds, 0.99);
    summary.most = milliseconds.back();
    return summary;
}

nlohmann::json to_json(const latency_summary& summary) {
    return {{"count", summary.count}, {"mean_ms", summary.mean}, {"p50_ms", summary.p50},
            {"p95_ms", summary.p95},  {"p99_ms", summary.p99},   {"max_ms", summary.most}};
}

nlohmann::json to_json(const load_summary& summary) {
    return {{"programs", summary.programs},
            {"programs_whole", summary.programs_whole},
            {"programs_refused", summary.programs_refused},
            {"programs_failed", summary.programs_failed},
            {"calls", summary.calls},
            {"calls_answered", summary.calls_answered},
            {"calls_unknown", summary.calls_unknown},
            {"refusals_retried", summary.refusals_retried},
            {"interruptions", summary.interruptions},
            {"seconds", summary.seconds},
            {"program_latency", to_json(summary.program_latency)},
            {"call_latency", to_json(summary.call_latency)},
            {"time_to_first_part", to_json(summary.time_to_first_part)},
            {"failures", summary.failures}};
}

absl::StatusOr<load_summary> run_load(const load_options& options) {
    return load_runner(options).run();
}

}  // namespace pearbarrow::bench
