#include "pearbarrow/bench/simulate_policy.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/bench/simulate_baselines.h"

namespace pearbarrow::bench {
namespace {

base::instant to_instant(sim_time now) {
    return base::instant(base::microseconds(now));
}

std::uint32_t number_of(const std::string& name) {
    return static_cast<std::uint32_t>(std::stoul(name));
}

/// Drives the scheduler of each cell with the events that a dispatcher would feed it.
class pearbarrow_policy final : public placement_policy {
  public:
    pearbarrow_policy(const experiment& setup, const policy_options& options)
        : setup_(setup), options_(options) {
        const std::size_t cells = std::max<std::size_t>(
            1, (setup.engines.size() + options.cell_size - 1) / options.cell_size);
        cells_.reserve(cells);
        for (std::size_t cell = 0; cell < cells; ++cell) {
            cells_.emplace_back(options.cell);
        }
        first_engine_.resize(cells + 1);
        for (std::size_t cell = 0; cell <= cells; ++cell) {
            first_engine_[cell] = static_cast<std::uint32_t>(setup.engines.size() * cell / cells);
        }
        for (std::size_t cell = 0; cell < cells; ++cell) {
            placement::engines_changed_event event;
            for (std::uint32_t engine = first_engine_[cell]; engine < first_engine_[cell + 1];
                 ++engine) {
                event.engines.push_back(configure(engine));
            }
            cells_[cell].apply(event, to_instant(0));
        }
    }

    void offer(const call_view& call, sim_time now, policy_output& output) override {
        wire::placement_offer offer;
        offer.attempt = base::attempt_id(std::to_string(call.call));
        offer.program = base::program_id(std::to_string(call.program));
        offer.tenant = base::tenant_id("t" + std::to_string(call.tenant));
        offer.program_class = setup_.classes[call.class_index].name;
        offer.model = base::model_name("model");
        offer.prompt_tokens = call.prompt_tokens;
        offer.max_output_tokens = call.max_output_tokens;
        offer.prefixes = call.marks;
        offer.history_tokens = call.history_tokens;
        offer.attained_tokens = call.attained_tokens;
        offer.program_age_ms = static_cast<std::uint64_t>((now - call.program_started) / 1000);
        offer.calls_done = call.number;
        offer.depth = call.depth;
        apply(cell_for(call), placement::offer_event{std::move(offer)}, now, output);
    }

    void finished(const call_result& result, sim_time now, policy_output& output) override {
        wire::placement_finished finished;
        finished.attempt = base::attempt_id(std::to_string(result.call));
        finished.program = base::program_id(std::to_string(result.program));
        finished.backend = backend(result.engine);
        finished.outcome =
            result.lost ? wire::attempt_outcome::lost : wire::attempt_outcome::completed;
        finished.prompt_tokens = result.prompt_tokens;
        finished.cached_tokens = result.cached_tokens;
        finished.output_tokens = result.output_tokens;
        finished.service_us = static_cast<std::uint64_t>(result.service_us);
        finished.history_tokens = result.prompt_tokens + result.output_tokens;
        apply(cell_of_engine(result.engine), placement::finished_event{finished}, now, output);
    }

    void program_ended(std::uint32_t program, sim_time now, policy_output& output) override {
        const auto home = homes_.find(program);
        const std::size_t cell = home == homes_.end() ? 0 : home->second;
        apply(cell, placement::program_ended_event{base::program_id(std::to_string(program))}, now,
              output);
        homes_.erase(program);
    }

    void tick(sim_time now, policy_output& output) override {
        for (std::size_t cell = 0; cell < cells_.size(); ++cell) {
            apply(cell, placement::tick_event{}, now, output);
        }
    }

    void report(std::uint32_t engine, std::uint32_t running, std::uint32_t waiting,
                std::uint64_t incarnation, sim_time age, sim_time now) override {
        placement::engine_report_event event;
        event.backend = backend(engine);
        event.age = std::chrono::duration_cast<base::milliseconds>(base::microseconds(age));
        event.running = running;
        event.waiting = waiting;
        event.incarnation = incarnation;
        cells_[cell_of_engine(engine)].apply(event, to_instant(now));
    }

    void evicted(std::uint32_t engine, std::uint32_t program, std::uint32_t tokens_left,
                 sim_time now) override {
        cells_[cell_of_engine(engine)].apply(
            placement::cache_event{backend(engine), base::program_id(std::to_string(program)),
                                   tokens_left},
            to_instant(now));
    }

    bool releases() const override { return options_.give_back; }
    std::uint64_t decisions() const override { return decisions_; }

  private:
    static base::backend_id backend(std::uint32_t engine) {
        return base::backend_id(std::to_string(engine));
    }

    placement::cell_engine configure(std::uint32_t engine) const {
        const engine_spec& spec = setup_.engines[engine];
        placement::cell_engine value;
        value.backend = backend(engine);
        value.models = {base::model_name("model")};
        value.in_flight_limit =
            options_.in_flight_limit > 0 ? options_.in_flight_limit : spec.max_running;
        value.token_limit = static_cast<std::uint64_t>(options_.memory_part *
                                                       static_cast<double>(spec.cache_tokens));
        value.context_limit = spec.cache_tokens;
        value.prefill_us_per_token = spec.prefill_token_us;
        value.decode_us_per_token = spec.step_base_us;
        // With the context of a usual call; what differs shows as slowdown.
        value.decode_us_per_sequence =
            spec.decode_sequence_us + 6 * spec.decode_context_kilotoken_us;
        return value;
    }

    std::size_t cell_of_engine(std::uint32_t engine) const {
        const auto above = std::upper_bound(first_engine_.begin(), first_engine_.end(), engine);
        return static_cast<std::size_t>(above - first_engine_.begin()) - 1;
    }

    /// A program stays in its cell; a new one takes the idler of two that its tenant hashes to.
    std::size_t cell_for(const call_view& call) {
        if (cells_.size() == 1) {
            return 0;
        }
        const auto [home, added] = homes_.try_emplace(call.program);
        if (!added) {
            return home->second;
        }
        const std::uint64_t hash =
            base::stable_hash(std::to_string(call.class_index * 1'000'000ULL + call.tenant));
        const std::size_t first = hash % cells_.size();
        const std::size_t second = (first + 1 + (hash >> 32) % (cells_.size() - 1)) % cells_.size();
        const auto load = [&](std::size_t cell) {
            const placement::cell_load value = cells_[cell].load();
            return static_cast<double>(value.waiting + value.in_flight) / value.engines;
        };
        home->second = load(first) <= load(second) ? first : second;
        return home->second;
    }

    void apply(std::size_t cell, const placement::cell_event& event, sim_time now,
               policy_output& output) {
        for (placement::cell_action& action : cells_[cell].apply(event, to_instant(now))) {
            ++decisions_;
            if (auto* refused = std::get_if<placement::refuse_action>(&action)) {
                output.refused.emplace_back(number_of(refused->attempt.value()),
                                            refused->decision->outcome.reason);
                continue;
            }
            auto& granted = std::get<placement::grant_action>(action);
            placed_call placed;
            placed.call = number_of(granted.attempt.value());
            placed.engine = number_of(granted.backend.value());
            placed.priority = options_.engine_priorities ? granted.engine_priority : 0;
            placed.pin_us = base::microseconds(granted.pin_lease).count();
            if (options_.give_back) {
                for (const base::backend_id& holder : granted.stale_holders) {
                    placed.release_on.push_back(number_of(holder.value()));
                }
            }
            output.placed.push_back(std::move(placed));
        }
    }

    const experiment& setup_;
    policy_options options_;
    std::vector<placement::cell_scheduler> cells_;
    std::vector<std::uint32_t> first_engine_;
    absl::flat_hash_map<std::uint32_t, std::size_t> homes_;
    std::uint64_t decisions_ = 0;
};

}  // namespace

absl::StatusOr<std::unique_ptr<placement_policy>> make_policy(const std::string& name,
                                                              const experiment& setup,
                                                              const policy_options& options) {
    if (name == "round_robin") {
        return std::make_unique<round_robin_policy>(setup);
    }
    if (name == "least_loaded") {
        return std::make_unique<least_loaded_policy>(setup);
    }
    if (name == "prefix_affinity") {
        return std::make_unique<prefix_affinity_policy>(setup, options.balance_difference);
    }
    if (name == "pearbarrow") {
        return std::make_unique<pearbarrow_policy>(setup, options);
    }
    base::error_details details;
    details.step = "make_policy";
    details.reason = "unknown_policy";
    return base::make_error(absl::StatusCode::kInvalidArgument, "unknown policy " + name, details);
}

}  // namespace pearbarrow::bench
