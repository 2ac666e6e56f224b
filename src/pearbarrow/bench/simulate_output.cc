#include "pearbarrow/bench/simulate_output.h"

#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <tuple>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::bench {
namespace {

nlohmann::json sample_json(const sample_summary& value) {
    return {{"count", value.count},
            {"mean", value.mean},
            {"p50", value.p50},
            {"p95", value.p95},
            {"p99", value.p99}};
}

nlohmann::json class_json(const class_result& value) {
    return {{"program_latency_s", sample_json(value.program_latency)},
            {"model_time_s", sample_json(value.model_time)},
            {"time_to_first_token_s", sample_json(value.time_to_first_token)},
            {"refused", value.refused},
            {"starved", value.starved}};
}

double mean_of(const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double deviation_of(const std::vector<double>& values) {
    if (values.size() < 2) {
        return 0;
    }
    const double mean = mean_of(values);
    double squares = 0;
    for (const double value : values) {
        squares += (value - mean) * (value - mean);
    }
    return std::sqrt(squares / static_cast<double>(values.size() - 1));
}

std::string cell(const summary_row& row, const std::string& figure, int digits) {
    const auto found = row.figures.find(figure);
    if (found == row.figures.end()) {
        return "-";
    }
    return fmt::format("{:.{}f}±{:.{}f}", mean_of(found->second), digits,
                       deviation_of(found->second), digits);
}

void add_figures(const nlohmann::json& part, const std::string& prefix, summary_row& row) {
    for (const char* sample : {"program_latency_s", "model_time_s", "time_to_first_token_s"}) {
        for (const char* point : {"mean", "p50", "p95", "p99"}) {
            row.figures[prefix + sample + "." + point].push_back(
                part.at(sample).at(point).get<double>());
        }
    }
    row.figures[prefix + "starved"].push_back(part.at("starved").get<double>());
    row.figures[prefix + "refused"].push_back(part.at("refused").get<double>());
}

std::set<std::string> class_names(const std::vector<summary_row>& rows,
                                  const std::string& experiment) {
    const std::string ending = ".program_latency_s.p95";
    std::set<std::string> names;
    for (const summary_row& row : rows) {
        if (row.experiment != experiment) {
            continue;
        }
        for (const auto& [figure, values] : row.figures) {
            if (figure.size() > ending.size() && figure.ends_with(ending) &&
                !figure.starts_with("overall") && mean_of(values) > 0) {
                names.insert(figure.substr(0, figure.size() - ending.size()));
            }
        }
    }
    return names;
}

std::string table_head(const std::set<std::string>& classes) {
    std::string head =
        fmt::format("{:<16}{:>5}{:>6}{:>14}{:>14}{:>14}{:>14}{:>14}", "policy", "load", "seeds",
                    "latency mean", "p50", "p95", "p99", "ttft p95");
    for (const std::string& name : classes) {
        head += fmt::format("{:>18}", name + " p95");
    }
    return head + fmt::format("{:>14}{:>12}{:>12}{:>12}{:>10}{:>9}{:>13}{:>12}\n", "wasted/prog",
                              "hit rate", "busy", "fairness", "refused", "starved", "longest wait",
                              "unfinished");
}

std::string table_line(const summary_row& row, const std::set<std::string>& classes) {
    std::string line = fmt::format("{:<16}{:>5.2f}{:>6}", row.policy, row.load, row.seeds);
    for (const char* point : {"mean", "p50", "p95", "p99"}) {
        line +=
            fmt::format("{:>15}", cell(row, std::string("overall.program_latency_s.") + point, 1));
    }
    line += fmt::format("{:>15}", cell(row, "overall.time_to_first_token_s.p95", 2));
    for (const std::string& name : classes) {
        line += fmt::format("{:>19}", cell(row, name + ".program_latency_s.p95", 1));
    }
    return line + fmt::format("{:>15}{:>13}{:>13}{:>13}{:>11}{:>10}{:>14}{:>13}\n",
                              cell(row, "wasted_cache", 0), cell(row, "hit_rate", 2),
                              cell(row, "utilization", 2), cell(row, "fairness", 2),
                              cell(row, "refused_calls", 0), cell(row, "overall.starved", 0),
                              cell(row, "longest_wait_s", 1), cell(row, "unfinished", 0));
}

}  // namespace

nlohmann::json to_json(const run_result& result) {
    nlohmann::json json = {{"experiment", result.experiment},
                           {"policy", result.policy},
                           {"seed", result.seed},
                           {"load", result.load},
                           {"programs_per_second", result.programs_per_second},
                           {"overall", class_json(result.overall)},
                           {"wasted_cache_token_seconds_per_program", result.wasted_cache},
                           {"wasted_evicted", result.wasted_evicted},
                           {"wasted_abandoned", result.wasted_abandoned},
                           {"reused_cache_token_seconds_per_program", result.reused_cache},
                           {"hit_rate", result.hit_rate},
                           {"utilization", result.utilization},
                           {"fairness", result.fairness},
                           {"longest_wait_s", result.longest_wait},
                           {"calls", result.calls},
                           {"refused_calls", result.refused_calls},
                           {"refusal_reasons", result.refusal_reasons},
                           {"preemptions", result.preemptions},
                           {"unfinished", result.unfinished},
                           {"under_way_middle", result.under_way_middle},
                           {"under_way_end", result.under_way_end},
                           {"requests_per_second", result.requests_per_second},
                           {"tokens_per_second", result.tokens_per_second},
                           {"virtual_seconds", result.virtual_seconds},
                           {"wall_seconds", result.wall_seconds}};
    for (const auto& [name, value] : result.classes) {
        json["classes"][name] = class_json(value);
    }
    return json;
}

std::vector<summary_row> summarize_runs(const std::vector<nlohmann::json>& runs) {
    std::map<std::tuple<std::string, double, std::string>, summary_row> rows;
    for (const nlohmann::json& run : runs) {
        const auto experiment = run.at("experiment").get<std::string>();
        const auto policy = run.at("policy").get<std::string>();
        const auto load = run.at("load").get<double>();
        summary_row& row = rows[{experiment, load, policy}];
        row.experiment = experiment;
        row.policy = policy;
        row.load = load;
        row.seeds += 1;
        add_figures(run.at("overall"), "overall.", row);
        for (const auto& [name, part] : run.at("classes").items()) {
            add_figures(part, name + ".", row);
        }
        row.figures["wasted_cache"].push_back(
            run.at("wasted_cache_token_seconds_per_program").get<double>());
        for (const char* figure : {"hit_rate", "utilization", "fairness", "refused_calls",
                                   "longest_wait_s", "unfinished"}) {
            row.figures[figure].push_back(run.at(figure).get<double>());
        }
    }
    std::vector<summary_row> result;
    result.reserve(rows.size());
    for (auto& [key, row] : rows) {
        result.push_back(std::move(row));
    }
    return result;
}

std::string to_table(const std::vector<summary_row>& rows) {
    std::string text;
    std::string experiment;
    std::set<std::string> classes;
    for (const summary_row& row : rows) {
        if (row.experiment != experiment) {
            experiment = row.experiment;
            classes = class_names(rows, experiment);
            text += fmt::format(
                "{} (seconds; wasted cache in token-seconds a program; mean ± "
                "standard deviation over seeds)\n",
                experiment);
            text += table_head(classes);
        }
        text += table_line(row, classes);
    }
    return text;
}

absl::Status write_plots(const std::vector<summary_row>& rows, const std::string& folder) {
    std::filesystem::create_directories(folder);
    std::map<std::string, std::map<std::string, std::vector<const summary_row*>>> grouped;
    for (const summary_row& row : rows) {
        grouped[row.experiment][row.policy].push_back(&row);
    }
    for (const auto& [experiment, policies] : grouped) {
        const std::string stem = fmt::format("{}/{}", folder, experiment);
        std::ofstream data(stem + ".dat");
        std::ofstream script(stem + ".gp");
        data << "# load, program latency p50, p95, p99, TTFT p95, wasted cache; one block a "
                "policy\n";
        script << "set terminal svg size 1200,420\nset output '" << experiment
               << ".svg'\nset multiplot layout 1,2\nset key top left\nset xlabel 'load'\n"
               << "set ylabel 'program latency p95 (s)'\nset logscale y\n";
        std::string latency;
        std::string wasted;
        int block = 0;
        for (const auto& [policy, lines] : policies) {
            data << "# " << policy << "\n";
            for (const summary_row* row : lines) {
                data << row->load;
                for (const char* figure :
                     {"overall.program_latency_s.p50", "overall.program_latency_s.p95",
                      "overall.program_latency_s.p99", "overall.time_to_first_token_s.p95",
                      "wasted_cache"}) {
                    data << ' ' << mean_of(row->figures.at(figure));
                }
                data << "\n";
            }
            data << "\n\n";
            const std::string separator = block == 0 ? "plot " : ", ";
            latency += fmt::format("{}'{}.dat' index {} using 1:3 with linespoints title '{}'",
                                   separator, experiment, block, policy);
            wasted += fmt::format("{}'{}.dat' index {} using 1:6 with linespoints title '{}'",
                                  separator, experiment, block, policy);
            ++block;
        }
        script << latency << "\nunset logscale y\nset ylabel 'wasted cache (token-s a program)'\n"
               << wasted << "\nunset multiplot\n";
        if (!data || !script) {
            base::error_details details;
            details.step = "write_plots";
            details.peer = folder;
            details.reason = "write_failed";
            return base::make_error(absl::StatusCode::kUnavailable, "can't write " + stem, details);
        }
    }
    return absl::OkStatus();
}

}  // namespace pearbarrow::bench
