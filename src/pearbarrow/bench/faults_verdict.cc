/// What is found wrong with a finished run: by the checker of histories, which also checks runs of
/// real processes, by the checks of `faults_checker.cc`, and by a look at the world itself.
#include <algorithm>
#include <optional>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/bench/checker.h"
#include "pearbarrow/bench/faults_node.h"
#include "pearbarrow/bench/faults_record.h"
#include "pearbarrow/bench/faults_shard_host.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench::faults {

bool fault_world::quiet() const {
    const bool engines_empty = std::all_of(engines.begin(), engines.end(), [](const auto& engine) {
        return engine.second->holdings().empty();
    });
    if (!engines_empty || running_callers > 0) {
        return false;
    }
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        const auto leading = leading_node(base::shard_id(shard));
        if (!leading) {
            return false;
        }
        const auto live = nodes_[*leading]->find_host(base::shard_id(shard))->live_programs();
        for (const base::program_id& program : live) {
            const auto opened = history.programs.find(program);
            if (opened != history.programs.end() &&
                (opened->second.ended || opened->second.abandoned)) {
                return false;
            }
        }
    }
    return true;
}

void fault_world::look_at_the_end() {
    history.unfinished_callers = running_callers;
    for (const auto& [id, engine] : engines) {
        for (const base::program_id& program : engine->holdings()) {
            history.left_in_engines.insert(program);
        }
    }
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        const auto leading = leading_node(base::shard_id(shard));
        if (!leading) {
            ++history.leaderless_shards;
            continue;
        }
        for (const base::program_id& program :
             nodes_[*leading]->find_host(base::shard_id(shard))->live_programs()) {
            const auto opened = history.programs.find(program);
            if (opened != history.programs.end() &&
                (opened->second.ended || opened->second.abandoned)) {
                history.left_open.insert(program);
            }
        }
    }
}

fault_result fault_world::judge() {
    fault_result result;
    for (const violation& found : check(history)) {
        result.findings.push_back({found.invariant, found.what});
    }
    if (history.leaderless_shards > 0) {
        result.findings.push_back({0, "a shard has no leader at the end"});
    }
    for (const base::program_id& program : history.left_open) {
        result.findings.push_back({4, fmt::format("{} is still open", program.value())});
    }
    const bench::history recorded = to_checked_history(history);
    for (const bench::violation& found : check_history(recorded).violations) {
        if (is_promised(history, found)) {
            result.findings.push_back(
                {static_cast<int>(found.broken), fmt::format("{}/{}: {}", found.program.value(),
                                                             found.call.value(), found.detail)});
        }
    }
    result.calls = history.calls.size();
    for (const auto& [call, answers] : history.calls) {
        result.answered += answers.successes.empty() ? 0 : 1;
        if (answers.successes.empty() && !answers.errors.empty()) {
            ++result.errors[answers.errors.back().reason];
        }
    }
    result.model_runs = history.model_runs.size();
    result.tool_runs = history.tool_runs.size();
    result.injected = history.injected;
    result.ended = queue.now();
    for (auto& each : nodes_) {
        if (each->running()) {
            each->crash(true);
        }
    }
    return result;
}

}  // namespace pearbarrow::bench::faults
