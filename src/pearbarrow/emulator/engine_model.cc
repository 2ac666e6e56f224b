#include "pearbarrow/emulator/engine_model.h"

#include <algorithm>
#include <cmath>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::emulator {
namespace {

std::uint64_t blocks_for(std::uint64_t tokens) {
    return (tokens + block_tokens - 1) / block_tokens;
}

}  // namespace

engine_costs engine_costs::scaled(double factor) const {
    engine_costs result = *this;
    for (double* cost : {&result.step_base, &result.prefill_token, &result.decode_sequence,
                         &result.decode_context_kilotoken, &result.import_block}) {
        *cost *= factor;
    }
    result.model_load =
        base::milliseconds(std::llround(static_cast<double>(model_load.count()) * factor));
    return result;
}

std::string_view to_string(refusal value) {
    switch (value) {
        case refusal::none:
            return "none";
        case refusal::queue_full:
            return "queue_full";
        case refusal::model_not_loaded:
            return "model_not_loaded";
        case refusal::model_loading:
            return "model_loading";
        case refusal::adapter_not_loaded:
            return "adapter_not_loaded";
        case refusal::sequence_too_long:
            return "sequence_too_long";
        case refusal::leaving:
            return "engine_leaving";
        case refusal::attempt_cancelled:
            return "attempt_cancelled";
        case refusal::attempt_already_ran:
            return "attempt_already_ran";
    }
    return "unknown";
}

std::string_view to_string(stream_state value) {
    switch (value) {
        case stream_state::waiting:
            return "queued";
        case stream_state::running:
            return "running";
        case stream_state::finished:
            return "finished";
        case stream_state::cancelled:
            return "cancelled";
    }
    return "unknown";
}

engine_model::engine_model(engine_options options)
    : options_(std::move(options)),
      cache_(options_.cache),
      events_(options_.events, options_.seed) {
    take_report(report_at_);
}

start_outcome engine_model::start(const generation& request, base::instant now) {
    if (const auto known = refuse(request)) {
        return *known;
    }
    sequence& item = sequences_[request.attempt];
    item.request = request;
    item.request.output_tokens = std::max<std::uint64_t>(1, request.output_tokens);
    item.arrival = ++arrivals_;
    active_[key_of(item)] = request.attempt;
    waiting_.insert(key_of(item));
    if (!step_end_ && !load_done_) {
        begin_step(now);
    }
    return {.kind = start_kind::accepted};
}

std::optional<start_outcome> engine_model::refuse(const generation& request) const {
    const auto refused = [](refusal reason, bool has_run = false) {
        return start_outcome{start_kind::refused, reason, has_run};
    };
    if (cancelled_unseen_.contains(request.attempt)) {
        return refused(refusal::attempt_cancelled);
    }
    if (const auto known = sequences_.find(request.attempt); known != sequences_.end()) {
        const sequence& item = known->second;
        if (item.state == stream_state::cancelled) {
            return refused(refusal::attempt_cancelled, item.cached_tokens.has_value());
        }
        if (!item.retained) {
            return refused(refusal::attempt_already_ran, true);
        }
        return start_outcome{.kind = start_kind::attached};
    }
    if (leaving_) {
        return refused(refusal::leaving);
    }
    if (request.model != options_.model) {
        return refused(refusal::model_not_loaded);
    }
    if (pending_load_ || load_done_) {
        return refused(refusal::model_loading);
    }
    if (!request.adapter.empty() &&
        std::ranges::find(options_.adapters, request.adapter) == options_.adapters.end()) {
        return refused(refusal::adapter_not_loaded);
    }
    const std::uint64_t tokens = request.prompt_tokens + request.output_tokens;
    if (tokens > options_.max_sequence_tokens || blocks_for(tokens) > cache_.total_blocks()) {
        return refused(refusal::sequence_too_long);
    }
    if (waiting_.size() >= options_.max_waiting) {
        return refused(refusal::queue_full);
    }
    return std::nullopt;
}

backend::cancel_result engine_model::cancel(const base::attempt_id& attempt, base::instant now) {
    const auto known = sequences_.find(attempt);
    if (known == sequences_.end()) {
        cancelled_unseen_.try_emplace(attempt, now);
        return {};
    }
    sequence& item = known->second;
    if (item.state == stream_state::finished) {
        return {backend::cancel_outcome::finished, usage_of(item)};
    }
    if (item.state != stream_state::cancelled) {
        end(item, stream_state::cancelled, now);
        progress_.push_back({attempt, item.produced + 1, item.produced, true, now});
    }
    return {backend::cancel_outcome::cancelled, usage_of(item)};
}

std::optional<stream_view> engine_model::find(const base::attempt_id& attempt) const {
    const auto known = sequences_.find(attempt);
    if (known == sequences_.end()) {
        return std::nullopt;
    }
    const sequence& item = known->second;
    return stream_view{item.state,    item.request.program,       item.request.call,
                       item.produced, item.request.output_tokens, usage_of(item),
                       item.retained};
}

std::optional<base::instant> engine_model::next_event() const {
    std::optional<base::instant> next = cache_.next_expiry();
    for (const auto& candidate : {step_end_, load_done_}) {
        if (candidate && (!next || *candidate < *next)) {
            next = candidate;
        }
    }
    return next;
}

void engine_model::advance(base::instant now) {
    for (auto next = next_event(); next && *next <= now; next = next_event()) {
        if (*next >= report_at_ + options_.load_lag) {
            take_report(*next);
        }
        process(*next);
    }
    if (now >= report_at_ + options_.load_lag) {
        take_report(now);
    }
    drop_old_streams(now);
    publish_changes(now);
}

void engine_model::process(base::instant now) {
    cache_.expire_pins(now);
    if (load_done_ && *load_done_ <= now) {
        load_done_.reset();
    }
    if (step_end_ && *step_end_ <= now) {
        end_step(now);
    }
    if (!step_end_ && !load_done_) {
        begin_step(now);
    }
    publish_changes(now);
}

void engine_model::publish_changes(base::instant now) {
    for (const cache_change& change : cache_.take_changes()) {
        events_.add(change, now);
    }
}

backend::token_usage engine_model::usage_of(const sequence& item) const {
    if (!item.cached_tokens) {
        return {};
    }
    return {item.request.prompt_tokens, *item.cached_tokens, item.produced};
}

}  // namespace pearbarrow::emulator
