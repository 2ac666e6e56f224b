/// Simulates callers that repeat requests while back ends end, with and without a request that
/// causes it, on one table that all nodes share.
#pragma once

#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/random.h"
#include "pearbarrow/suspects/suspect_table.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>

namespace pearbarrow::suspects::testing {

using std::chrono::milliseconds;

inline constexpr std::size_t backend_count = 11;
inline constexpr milliseconds step{5};
inline constexpr milliseconds day_length{34'000};
inline constexpr milliseconds downtime{1'500};
inline constexpr int max_tries = 6;

struct scenario {
    double requests_per_second = 60;
    /// Probability that a request ends its back ends.
    double lethal_share = 0;
    /// Interval of crashes that no request causes; 0: there are none.
    milliseconds crash_interval{0};
    suspect_options table = {};
};

/// One in a thousand requests, two in each day.
inline const scenario few_lethal_requests{.lethal_share = 0.001};

struct outcome {
    int lethal_requests = 0;
    int ends = 0;
    std::size_t most_ends_of_a_request = 0;
    int harmless_refused = 0;
    int harmless_with_two_ends = 0;
    int harmless_with_three_ends = 0;
};

class simulation {
  public:
    simulation(std::uint64_t seed, const scenario& played)
        : random(seed), played(played), table(played.table) {
        for (std::size_t index = 0; index < backend_count; ++index) {
            this->backends["b" + std::to_string(index)] = this->now;
        }
    }

    outcome run() {
        const base::instant end = this->now + day_length;
        base::instant next_crash = this->now + this->played.crash_interval;
        while (this->now < end) {
            this->now += step;
            if (this->random.chance(this->played.requests_per_second * 0.005)) {
                this->add_request();
            }
            if (this->played.crash_interval.count() > 0 && this->now >= next_crash) {
                next_crash += this->played.crash_interval;
                this->end_backend(std::next(this->backends.begin(),
                                            static_cast<std::ptrdiff_t>(
                                                this->random.below(this->backends.size())))
                                      ->first);
            }
            this->advance();
        }
        return this->result;
    }

  private:
    struct request {
        std::string digest;
        bool is_lethal = false;
        int tries = 0;
        std::size_t ends = 0;
        /// Back end that has the request; empty while its caller pauses.
        std::string backend;
        base::instant next_at{};
        bool is_over = false;
    };

    void add_request() {
        request& added = this->requests.emplace_back();
        added.digest = fmt::format("{:032x}", ++this->last_request);
        added.is_lethal = this->random.chance(this->played.lethal_share);
        added.next_at = this->now;
        this->result.lethal_requests += added.is_lethal ? 1 : 0;
    }

    std::vector<std::string> running() const {
        std::vector<std::string> ids;
        for (const auto& [id, available_at] : this->backends) {
            if (available_at <= this->now) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    void advance() {
        for (request& each : this->requests) {
            if (each.is_over || this->now < each.next_at) {
                continue;
            }
            if (each.backend.empty()) {
                this->send(each);
            } else if (each.is_lethal) {
                this->end_backend(std::string(each.backend));
            } else {
                each.is_over = true;
                this->table.excuse(each.digest, this->now);
            }
        }
        this->requests.remove_if([](const request& each) { return each.is_over; });
    }

    void send(request& sent) {
        const suspect_status status = this->table.status_of(sent.digest, this->now);
        if (status.is_blocked || sent.tries == max_tries) {
            sent.is_over = true;
            this->result.harmless_refused += status.is_blocked && !sent.is_lethal ? 1 : 0;
            return;
        }
        std::vector<std::string> fit = this->running();
        if (fit.empty()) {
            return;
        }
        const isolation_plan plan = this->table.plan("model", fit, this->now);
        const auto assigned = plan.trials.find(sent.digest);
        if (assigned == plan.trials.end() && plan.reserved.size() < fit.size()) {
            fit.erase(
                std::remove_if(fit.begin(), fit.end(),
                               [&](const std::string& id) { return plan.reserved.count(id) > 0; }),
                fit.end());
        }
        ++sent.tries;
        sent.backend =
            assigned != plan.trials.end() ? assigned->second : fit[this->random.below(fit.size())];
        if (status.ends > 0) {
            this->table.set_trial(sent.digest, sent.backend, this->now);
        }
        const std::uint64_t run_ms =
            sent.is_lethal ? 20 + this->random.below(80) : 60 + this->random.below(240);
        sent.next_at = this->now + milliseconds{static_cast<std::int64_t>(run_ms)};
    }

    void end_backend(const std::string id) {
        ++this->result.ends;
        // Another process takes its place under another id.
        this->backends.erase(id);
        this->backends[fmt::format("r{}", ++this->last_backend)] = this->now + downtime;
        for (request& each : this->requests) {
            if (each.backend != id) {
                continue;
            }
            suspect reported{.scope = 1, .digest = each.digest, .service = "model"};
            reported.ends.push_back({.backend = id});
            this->table.merge(reported, this->now);
            each.backend.clear();
            each.next_at =
                this->now + milliseconds{static_cast<std::int64_t>(this->random.below(400))};
            ++each.ends;
            this->result.harmless_with_two_ends += !each.is_lethal && each.ends == 2 ? 1 : 0;
            this->result.harmless_with_three_ends += !each.is_lethal && each.ends == 3 ? 1 : 0;
            if (each.is_lethal) {
                this->result.most_ends_of_a_request =
                    std::max(this->result.most_ends_of_a_request, each.ends);
            }
        }
    }

    base::random_source random;
    scenario played;
    suspect_table table;
    base::instant now{std::chrono::hours{1}};
    /// Time from which each back end is running.
    std::map<std::string, base::instant> backends;
    std::list<request> requests;
    outcome result;
    std::uint64_t last_request = 0;
    std::uint64_t last_backend = 0;
};

inline outcome sum_of(const scenario& played, std::uint64_t seeds) {
    outcome sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const outcome day = simulation(seed, played).run();
        sum.lethal_requests += day.lethal_requests;
        sum.ends += day.ends;
        sum.most_ends_of_a_request =
            std::max(sum.most_ends_of_a_request, day.most_ends_of_a_request);
        sum.harmless_refused += day.harmless_refused;
        sum.harmless_with_two_ends += day.harmless_with_two_ends;
        sum.harmless_with_three_ends += day.harmless_with_three_ends;
    }
    return sum;
}

inline void log(const char* name, const outcome& sum) {
    cr_log_info(
        "%s: %d lethal requests, %d ends, at most %zu under one, %d harmless ones with two ends, "
        "%d with three, %d refused",
        name, sum.lethal_requests, sum.ends, sum.most_ends_of_a_request, sum.harmless_with_two_ends,
        sum.harmless_with_three_ends, sum.harmless_refused);
}

}  // namespace pearbarrow::suspects::testing
