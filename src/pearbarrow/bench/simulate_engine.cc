#include "pearbarrow/bench/simulate_engine.h"

#include <algorithm>
#include <cmath>

namespace pearbarrow::bench {
namespace {

constexpr std::uint32_t longest_stretch = 256;
constexpr double tokens_per_kilotoken = 1'000;

}  // namespace

simulated_engine::simulated_engine(const engine_spec& spec)
    : spec_(spec),
      slowness_(spec.slowness),
      cache_(spec.cache_tokens, spec.block_tokens, spec.max_pinned_fraction) {}

void simulated_engine::submit(sequence_request request, sim_time now) {
    sequence item;
    item.request = std::move(request);
    item.arrival = ++arrivals_;
    waiting_.insert(std::move(item));
    if (!in_stretch_) {
        plan(now);
        return;
    }
    // The newcomer joins at the end of the step under way.
    const auto done = static_cast<std::uint32_t>((now - stretch_begin_) / step_us_);
    if (steps_ > 1 && done + 1 < steps_) {
        complete(done, stretch_begin_ + done * step_us_);
        stretch_begin_ += done * step_us_;
        steps_ = 1;
    }
}

std::optional<sim_time> simulated_engine::next_event() const {
    if (!in_stretch_) {
        return std::nullopt;
    }
    return stretch_begin_ + steps_ * step_us_;
}

void simulated_engine::advance(sim_time now) {
    if (!in_stretch_ || now < stretch_begin_ + steps_ * step_us_) {
        return;
    }
    in_stretch_ = false;
    complete(steps_, now);
    plan(now);
}

bool simulated_engine::preempt_worse_than(const sequence& candidate, sim_time now) {
    if (running_.empty() || running_.back().request.priority <= candidate.request.priority) {
        return false;
    }
    sequence victim = std::move(running_.back());
    running_.pop_back();
    cache_.release(victim.request.parts, now);
    ++preemptions_;
    waiting_.insert(std::move(victim));
    return true;
}

bool simulated_engine::try_admit(sequence& candidate, sim_time now) {
    if (running_.size() >= spec_.max_running && !preempt_worse_than(candidate, now)) {
        return false;
    }
    std::uint32_t matched = cache_.match(candidate.request.parts);
    while (!cache_.acquire(candidate.request.parts, now)) {
        if (preempt_worse_than(candidate, now)) {
            continue;
        }
        if (!running_.empty() || !cache_.break_oldest_pin()) {
            return false;
        }
    }
    const std::uint32_t target = candidate.request.prompt_tokens + candidate.produced;
    // The last token is always computed, so that it yields the next one.
    matched = std::min(matched, target - 1);
    candidate.to_compute = target - matched;
    if (!candidate.started) {
        candidate.started = true;
        candidate.cached = std::min(matched, candidate.request.prompt_tokens);
        events_.push_back({engine_event_kind::started, candidate.request.call, candidate.cached});
    }
    return true;
}

void simulated_engine::admit(sim_time now) {
    while (!waiting_.empty()) {
        auto node = waiting_.extract(waiting_.begin());
        if (!try_admit(node.value(), now)) {
            waiting_.insert(std::move(node));
            return;
        }
        const auto place =
            std::upper_bound(running_.begin(), running_.end(), node.value(), better{});
        running_.insert(place, std::move(node.value()));
    }
}

void simulated_engine::plan(sim_time now) {
    cache_.expire_pins(now);
    admit(now);
    if (running_.empty()) {
        return;
    }
    double cost = spec_.step_base_us;
    std::uint32_t prefill_left = spec_.prefill_tokens_per_step;
    std::uint32_t fewest_left = longest_stretch;
    bool prefill = false;
    for (sequence& item : running_) {
        item.in_step = 0;
        if (item.to_compute > 0) {
            prefill = true;
            item.in_step = std::min(item.to_compute, prefill_left);
            prefill_left -= item.in_step;
            cost += spec_.prefill_token_us * item.in_step;
            continue;
        }
        const double context = item.request.prompt_tokens + item.produced;
        cost += spec_.decode_sequence_us +
                spec_.decode_context_kilotoken_us * context / tokens_per_kilotoken;
        fewest_left = std::min(fewest_left, item.request.output_tokens - item.produced);
    }
    in_stretch_ = true;
    stretch_begin_ = now;
    steps_ = prefill ? 1 : std::max(1U, fewest_left);
    step_us_ = std::max<sim_time>(1, std::llround(cost * slowness_));
}

void simulated_engine::complete(std::uint32_t steps, sim_time now) {
    if (steps == 0) {
        return;
    }
    busy_us_ += steps * step_us_;
    std::vector<sequence> kept;
    kept.reserve(running_.size());
    for (sequence& item : running_) {
        const bool decoding = item.to_compute == 0;
        if (!decoding) {
            item.to_compute -= item.in_step;
            computed_prompt_tokens_ += item.in_step;
        }
        if (item.to_compute == 0) {
            // The step that computes the last of the prompt yields the first token.
            item.produced += decoding ? steps : 1;
            if (!decoding) {
                cache_.set_computed(item.request.parts, item.request.prompt_tokens);
                events_.push_back({engine_event_kind::first_token, item.request.call, item.cached});
            }
        }
        if (item.produced >= item.request.output_tokens) {
            finish(item, now);
        } else {
            kept.push_back(std::move(item));
        }
    }
    running_ = std::move(kept);
}

void simulated_engine::finish(sequence& item, sim_time now) {
    const std::vector<prefix_part>& parts = item.request.parts;
    cache_.set_computed(parts, item.request.prompt_tokens + item.request.output_tokens);
    cache_.release(parts, now);
    if (item.request.pin_us > 0) {
        cache_.pin(parts.back().key, now + item.request.pin_us, now);
    }
    events_.push_back({engine_event_kind::finished, item.request.call, item.cached});
}

std::vector<std::uint32_t> simulated_engine::restart(sim_time now) {
    std::vector<std::uint32_t> lost;
    for (const sequence& item : running_) {
        lost.push_back(item.request.call);
    }
    for (const sequence& item : waiting_) {
        lost.push_back(item.request.call);
    }
    running_.clear();
    waiting_.clear();
    cache_.clear(now);
    in_stretch_ = false;
    return lost;
}

}  // namespace pearbarrow::bench
