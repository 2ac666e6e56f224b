#include "pearbarrow/bench/checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/emulator/answer_text.h"

namespace pearbarrow::bench {
namespace {

/// Names one call of one program.
struct call_key {
    base::program_id program;
    base::call_number call;
    auto operator<=>(const call_key&) const = default;
};

template <typename Record>
call_key key_of(const Record& record) {
    return {record.program, record.call};
}

/// An engine's run that was cancelled while it waited computed nothing.
bool did_work(const back_end_run& run) {
    return run.outcome != "cancelled" || run.metered_tokens > 0;
}

class history_check {
  public:
    history_check(const history& run, const check_options& options) : run_(run), options_(options) {
        for (const auto& record : run_.sent) {
            sent_.emplace(key_of(record), &record);
        }
        for (const auto& record : run_.runs) {
            runs_[key_of(record)].push_back(&record);
        }
    }

    check_report check() {
        check_order();
        check_conversations();
        check_foreign_reads();
        check_budgets();
        check_memory();
        check_answers();
        check_refusals();
        check_single_runs();
        check_leaving();
        check_planned_stops();
        check_versions();
        return std::move(report_);
    }

  private:
    void count(invariant which) { ++report_.operations[static_cast<std::size_t>(which) - 1]; }

    void broken(invariant which, const call_key& key, std::string detail) {
        report_.violations.push_back({which, key.program, key.call, std::move(detail)});
    }

    /// Within a program, no run of a later call starts before an earlier call's last run started,
    /// nor before the earlier call's answer could exist.
    void check_order() {
        std::map<base::program_id, std::vector<const back_end_run*>> by_program;
        for (const auto& record : run_.runs) {
            by_program[record.program].push_back(&record);
        }
        for (auto& [program, runs] : by_program) {
            std::stable_sort(runs.begin(), runs.end(), [](const auto* left, const auto* right) {
                return left->started_at < right->started_at;
            });
            base::call_number highest;
            for (const auto* record : runs) {
                count(invariant::program_order);
                if (record->call < highest) {
                    broken(
                        invariant::program_order, key_of(*record),
                        fmt::format("attempt {} started at {} after call {} had started",
                                    record->attempt.value(), record->started_at, highest.value()));
                }
                highest = std::max(highest, record->call);
            }
        }
    }

    /// Each engine run saw exactly the conversation that the caller knows.
    void check_conversations() {
        for (const auto& record : run_.runs) {
            const auto sent = sent_.find(key_of(record));
            if (!record.is_engine || sent == sent_.end()) {
                continue;
            }
            count(invariant::history_kept);
            if (record.conversation != sent->second->conversation) {
                broken(invariant::history_kept, key_of(record),
                       fmt::format("engine {} saw conversation {:016x}, the caller's is {:016x}",
                                   record.backend.value(), record.conversation,
                                   sent->second->conversation));
            }
        }
    }

    /// Another tenant's program looks like one that does not exist.
    void check_foreign_reads() {
        constexpr int not_found = 404;
        constexpr int first_server_error = 500;
        for (const auto& record : run_.foreign_reads) {
            count(invariant::history_kept);
            if (record.status != not_found && record.status < first_server_error) {
                broken(
                    invariant::history_kept, {record.program, {}},
                    fmt::format("tenant {} got status {}", record.reader.value(), record.status));
            }
        }
    }

    void check_budgets() {
        std::map<base::program_id, std::uint64_t> spent;
        for (const auto& record : run_.runs) {
            spent[record.program] += record.metered_tokens;
        }
        for (const auto& record : run_.opened) {
            count(invariant::budget_kept);
            const std::uint64_t used = spent[record.program];
            if (used > record.token_budget) {
                broken(invariant::budget_kept, {record.program, {}},
                       fmt::format("back ends metered {} tokens of a budget of {}", used,
                                   record.token_budget));
            }
        }
    }

    void check_memory() {
        std::set<base::program_id> ended;
        for (const auto& record : run_.ended) {
            ended.insert(record.program);
            count(invariant::memory_given_back);
        }
        for (const auto& record : run_.held) {
            if (ended.contains(record.program)) {
                broken(invariant::memory_given_back, {record.program, {}},
                       fmt::format("engine {} still holds {} blocks", record.backend.value(),
                                   record.blocks));
            }
        }
    }

    /// An answer is whole, is the conversation's own, and is what the streamed parts added up to.
    void check_answers() {
        std::map<call_key, const std::string*> first_answer;
        for (const auto& record : run_.answered) {
            count(invariant::whole_answer);
            check_answer(record);
            const auto [place, is_first] = first_answer.emplace(key_of(record), &record.output);
            if (!is_first && *place->second != record.output) {
                broken(invariant::whole_answer, key_of(record), "two answers of one call differ");
            }
        }
    }

    void check_answer(const call_answered& record) {
        if (record.streamed != record.output) {
            broken(invariant::whole_answer, key_of(record),
                   "the streamed parts do not add up to the final output");
        }
        const auto sent = sent_.find(key_of(record));
        if (sent == sent_.end()) {
            broken(invariant::whole_answer, key_of(record), "an answer to a call never sent");
            return;
        }
        if (sent->second->is_model_call &&
            !emulator::is_whole_answer(record.output, sent->second->conversation)) {
            broken(invariant::whole_answer, key_of(record),
                   "the output is not one whole answer to the caller's conversation");
        }
    }

    void check_refusals() {
        for (const auto& record : run_.refused) {
            if (record.executed != base::executed::no || record.sent_again) {
                continue;
            }
            count(invariant::not_run_means_not_run);
            const auto runs = runs_.find(key_of(record));
            if (runs == runs_.end()) {
                continue;
            }
            for (const auto* run : runs->second) {
                if (did_work(*run)) {
                    broken(invariant::not_run_means_not_run, key_of(record),
                           fmt::format("answered executed=no ({}), but {} ran attempt {}",
                                       record.reason, run->backend.value(), run->attempt.value()));
                }
            }
        }
    }

    void check_single_runs() {
        for (const auto& [key, sent] : sent_) {
            if (sent->repeatable) {
                continue;
            }
            count(invariant::at_most_once);
            const auto runs = runs_.find(key);
            if (runs != runs_.end() && runs->second.size() > 1) {
                broken(invariant::at_most_once, key,
                       fmt::format("ran {} times", runs->second.size()));
            }
        }
    }

    void check_leaving() {
        for (const auto& mark : run_.leaving) {
            count(invariant::leaving_gets_nothing_new);
            for (const auto& record : run_.runs) {
                if (record.backend == mark.backend &&
                    record.started_at > mark.at + options_.leaving_bound_us &&
                    record.started_at < mark.until) {
                    broken(invariant::leaving_gets_nothing_new, key_of(record),
                           fmt::format("{} got work {} us after it was marked as leaving",
                                       mark.backend.value(), record.started_at - mark.at));
                }
            }
        }
    }

    void check_planned_stops() {
        if (!options_.planned_stops_only) {
            return;
        }
        report_.operations[static_cast<std::size_t>(invariant::planned_stop_cuts_nothing) - 1] +=
            run_.answered.size();
        for (const auto& record : run_.cut) {
            broken(invariant::planned_stop_cuts_nothing, key_of(record), record.detail);
        }
    }

    /// A node's version never goes back, and no accepted change is beyond what nodes reach.
    void check_versions() {
        std::map<base::node_id, std::vector<const version_seen*>> by_node;
        for (const auto& record : run_.versions) {
            by_node[record.node].push_back(&record);
        }
        base::config_version newest_accepted;
        for (const auto& change : run_.changes) {
            newest_accepted = std::max(newest_accepted, change.version);
        }
        for (auto& [node, seen] : by_node) {
            std::stable_sort(seen.begin(), seen.end(), [](const auto* left, const auto* right) {
                return left->at < right->at;
            });
            check_node_versions(node, seen, newest_accepted);
        }
    }

    void check_node_versions(const base::node_id& node,
                             const std::vector<const version_seen*>& seen,
                             base::config_version newest_accepted) {
        base::config_version highest;
        for (const auto* record : seen) {
            count(invariant::configuration_never_reverts);
            if (record->version < highest) {
                broken(invariant::configuration_never_reverts, {},
                       fmt::format("node {} went from version {} back to {}", node.value(),
                                   highest.value(), record->version.value()));
            }
            highest = std::max(highest, record->version);
        }
        if (highest < newest_accepted) {
            broken(invariant::configuration_never_reverts, {},
                   fmt::format("node {} ended at version {}, accepted was {}", node.value(),
                               highest.value(), newest_accepted.value()));
        }
    }

    const history& run_;
    const check_options& options_;
    std::map<call_key, const call_sent*> sent_;
    std::map<call_key, std::vector<const back_end_run*>> runs_;
    check_report report_;
};

}  // namespace

std::string_view to_string(invariant value) {
    switch (value) {
        case invariant::program_order:
            return "program order";
        case invariant::history_kept:
            return "history never lost nor mixed";
        case invariant::budget_kept:
            return "budget never passed";
        case invariant::memory_given_back:
            return "memory of ended programs given back";
        case invariant::whole_answer:
            return "whole answer, own request only";
        case invariant::not_run_means_not_run:
            return "not run means not run";
        case invariant::at_most_once:
            return "at most once";
        case invariant::leaving_gets_nothing_new:
            return "leaving back end gets nothing new";
        case invariant::planned_stop_cuts_nothing:
            return "planned stop cuts nothing";
        case invariant::configuration_never_reverts:
            return "configuration in force, never reverts";
    }
    return "unknown";
}

std::uint64_t check_report::operations_of(invariant value) const {
    return operations[static_cast<std::size_t>(value) - 1];
}

std::uint64_t check_report::violations_of(invariant value) const {
    return static_cast<std::uint64_t>(
        std::count_if(violations.begin(), violations.end(),
                      [value](const violation& found) { return found.broken == value; }));
}

check_report check_history(const history& run, const check_options& options) {
    return history_check(run, options).check();
}

}  // namespace pearbarrow::bench
