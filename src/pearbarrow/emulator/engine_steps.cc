/// The batching half of the engine model: admission, steps, preemption.
#include <algorithm>
#include <cmath>
#include <iterator>

#include "pearbarrow/emulator/engine_model.h"

namespace pearbarrow::emulator {
namespace {

constexpr double tokens_per_kilotoken = 1'000;

std::uint64_t blocks_for(std::uint64_t tokens) {
    return (tokens + block_tokens - 1) / block_tokens;
}

}  // namespace

void engine_model::begin_step(base::instant now) {
    if (pending_load_ && active_.empty()) {
        finish_load(now);
        return;
    }
    admit(now);
    if (running_.empty()) {
        return;
    }
    const base::microseconds duration = plan_step(now);
    if (running_.empty()) {
        return;
    }
    step_end_ = now + duration;
    totals_.busy += duration;
    ++totals_.steps;
}

void engine_model::admit(base::instant now) {
    while (!waiting_.empty()) {
        sequence& head = at(*waiting_.begin());
        if (!try_admit(head, now)) {
            return;
        }
    }
}

bool engine_model::try_admit(sequence& item, base::instant now) {
    const service_key key = key_of(item);
    if (running_.size() >= options_.max_running && !preempt_worse_than(key, now)) {
        return false;
    }
    // The last token of the target is always computed, so that it yields the next one.
    const auto known = std::span(item.request.blocks)
                           .first(std::min<std::size_t>(item.request.blocks.size(),
                                                        (item.target() - 1) / block_tokens));
    item.cached_blocks = cache_.match(known);
    cache_.acquire(known.first(item.cached_blocks), item.request.program, now);
    item.computed = item.cached_blocks * block_tokens;
    if (!hold_room(item, item.target() + 1, now)) {
        free_room(item, now);
        return false;
    }
    if (!item.cached_tokens) {
        item.cached_tokens = item.computed;
        totals_.prompt_tokens += item.request.prompt_tokens;
        totals_.cached_tokens += item.computed;
    }
    item.state = stream_state::running;
    waiting_.erase(key);
    running_.insert(key);
    return true;
}

bool engine_model::hold_room(sequence& item, std::uint64_t tokens, base::instant now) {
    const std::uint64_t held = item.cached_blocks + item.reserved_blocks;
    const std::uint64_t needed = blocks_for(tokens);
    if (needed <= held) {
        return true;
    }
    while (!cache_.reserve(needed - held, now)) {
        if (preempt_worse_than(key_of(item), now)) {
            continue;
        }
        const bool alone = std::ranges::all_of(
            running_, [&](const service_key& key) { return key == key_of(item); });
        if (!alone || !cache_.break_oldest_pin(now)) {
            return false;
        }
    }
    item.reserved_blocks += needed - held;
    return true;
}

bool engine_model::preempt_worse_than(const service_key& key, base::instant now) {
    if (running_.empty()) {
        return false;
    }
    const service_key worst = *running_.rbegin();
    const bool worse = running_.contains(key) ? worst > key : worst.first > key.first;
    if (!worse) {
        return false;
    }
    preempt(at(worst), now);
    return true;
}

void engine_model::preempt(sequence& item, base::instant now) {
    free_room(item, now);
    item.state = stream_state::waiting;
    running_.erase(key_of(item));
    waiting_.insert(key_of(item));
    ++totals_.preemptions;
}

void engine_model::free_room(sequence& item, base::instant now) {
    cache_.release(std::span(item.request.blocks).first(item.cached_blocks), now);
    cache_.unreserve(item.reserved_blocks);
    item.cached_blocks = 0;
    item.reserved_blocks = 0;
    item.computed = 0;
    item.in_step = 0;
}

base::microseconds engine_model::plan_step(base::instant now) {
    // Room for one more token of each sequence, the best served first; who finds none waits.
    for (const service_key& key : std::vector<service_key>(running_.begin(), running_.end())) {
        if (running_.contains(key) && !hold_room(at(key), at(key).target() + 1, now)) {
            preempt(at(key), now);
        }
    }
    std::uint64_t prefill_left = options_.prefill_tokens_per_step;
    double cost = options_.costs.step_base;
    for (const service_key& key : running_) {
        sequence& item = at(key);
        if (item.decoding()) {
            item.in_step = 1;
            cost += options_.costs.decode_sequence + options_.costs.decode_context_kilotoken *
                                                         static_cast<double>(item.computed) /
                                                         tokens_per_kilotoken;
            continue;
        }
        item.in_step = std::min(prefill_left, item.target() - item.computed);
        prefill_left -= item.in_step;
        cost += options_.costs.prefill_token * static_cast<double>(item.in_step);
        totals_.computed_prompt_tokens += item.in_step;
    }
    cost = cost * slowdown_ + static_cast<double>(extra_step_time_.count());
    extra_step_time_ = base::microseconds{0};
    return base::microseconds(std::max<std::int64_t>(1, std::llround(cost)));
}

void engine_model::end_step(base::instant now) {
    step_end_.reset();
    for (const service_key& key : std::vector<service_key>(running_.begin(), running_.end())) {
        advance_sequence(at(key), now);
    }
}

void engine_model::advance_sequence(sequence& item, base::instant now) {
    item.computed += item.in_step;
    const bool yields = item.in_step > 0 && item.computed == item.target();
    item.in_step = 0;
    publish_full_blocks(item, now);
    if (!yields) {
        return;
    }
    ++item.produced;
    ++totals_.generated_tokens;
    const bool ended = item.produced == item.request.output_tokens;
    progress_.push_back({item.request.attempt, item.produced, item.produced, ended, now});
    if (ended) {
        end(item, stream_state::finished, now);
    }
}

void engine_model::publish_full_blocks(sequence& item, base::instant now) {
    const std::uint64_t full =
        std::min<std::uint64_t>(item.computed / block_tokens, item.request.blocks.size());
    while (item.cached_blocks < full) {
        cache_.publish(item.request.blocks[item.cached_blocks], item.request.program, now);
        ++item.cached_blocks;
        --item.reserved_blocks;
    }
}

void engine_model::end(sequence& item, stream_state state, base::instant now) {
    const service_key key = key_of(item);
    const std::uint64_t cached = item.cached_blocks;
    if (state == stream_state::finished && item.request.pin_lease.count() > 0) {
        cache_.pin(item.request.program, std::span(item.request.blocks).first(cached),
                   now + item.request.pin_lease, now);
    }
    free_room(item, now);
    item.state = state;
    // The names of the blocks are needed no more, and a long history has many.
    item.request.blocks = {};
    waiting_.erase(key);
    running_.erase(key);
    active_.erase(key);
    ended_.emplace(now, item.request.attempt);
    retained_.emplace(now, item.request.attempt);
    ++(state == stream_state::finished ? totals_.finished : totals_.cancelled);
}

}  // namespace pearbarrow::emulator
