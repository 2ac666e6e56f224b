/// The reporting half of the engine model: load, cache, orders, meter.
#include <algorithm>
#include <charconv>
#include <cmath>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/emulator/engine_model.h"

namespace pearbarrow::emulator {
namespace {

constexpr int hexadecimal = 16;

bool same_order(const backend::engine_order& left, const backend::engine_order& right) {
    return left.kind == right.kind && left.model == right.model && left.version == right.version &&
           left.adapter == right.adapter && left.role == right.role;
}

}  // namespace

void engine_model::take_report(base::instant now) {
    ++report_.sequence;
    report_at_ = now;
    report_.running = static_cast<std::uint32_t>(running_.size());
    report_.queued = static_cast<std::uint32_t>(waiting_.size());
    report_.waiting_prompt_tokens = 0;
    for (const auto& [key, attempt] : active_) {
        const sequence& item = sequences_.at(attempt);
        if (!item.decoding()) {
            report_.waiting_prompt_tokens += item.target() - item.computed;
        }
    }
    report_.cache_blocks_used = cache_.used_blocks();
    report_.cache_blocks_pinned = cache_.pinned_blocks();
    report_.cache_blocks_total = cache_.total_blocks();
    report_.block_tokens = block_tokens;
    report_.model = options_.model;
    report_.model_version = options_.model_version;
    report_.adapters = options_.adapters;
    report_.role = options_.role;
    report_.leaving = leaving_;
    report_.fencing_token = fencing_token_;
}

backend::load_report engine_model::load(base::instant now) const {
    backend::load_report report = report_;
    report.age = std::chrono::floor<base::milliseconds>(now - report_at_);
    return report;
}

backend::cache_listing engine_model::listing(base::instant now) const {
    return {events_.newest(), cache_.holdings(now), cache_.used_blocks() - cache_.pinned_blocks()};
}

backend::cache_event_batch engine_model::cache_events(std::uint64_t after, std::size_t limit,
                                                      base::instant now) const {
    return events_.read(after, limit, now);
}

std::uint64_t engine_model::release_program(const base::program_id& program, base::instant now) {
    const std::uint64_t blocks = cache_.release_program(program, now);
    publish_changes(now);
    return blocks;
}

std::uint64_t engine_model::renew_pin(const base::program_id& program, base::milliseconds lease,
                                      base::instant now) {
    return cache_.renew(program, now + lease);
}

backend::exported_prefix engine_model::export_prefix(const base::program_id& program) const {
    backend::exported_prefix prefix{
        .program = program, .model = options_.model, .model_version = options_.model_version};
    for (const block_hash hash : cache_.pinned_sequence(program)) {
        prefix.blocks.push_back(fmt::format("{:016x}", hash));
    }
    prefix.tokens = prefix.blocks.size() * block_tokens;
    return prefix;
}

std::uint64_t engine_model::import_prefix(const backend::exported_prefix& prefix,
                                          base::milliseconds lease, base::instant now) {
    if (prefix.model != options_.model || prefix.model_version != options_.model_version) {
        return 0;
    }
    std::vector<block_hash> hashes;
    for (const std::string& text : prefix.blocks) {
        block_hash hash = 0;
        const auto parsed =
            std::from_chars(text.data(), text.data() + text.size(), hash, hexadecimal);
        if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
            return 0;
        }
        hashes.push_back(hash);
    }
    const std::size_t before = cache_.match(hashes);
    const std::uint64_t taken = cache_.import(prefix.program, hashes, now + lease, now);
    // The copy takes memory bandwidth: the next step is so much longer.
    extra_step_time_ += base::microseconds(
        std::llround(options_.costs.import_block * static_cast<double>(taken - before)));
    publish_changes(now);
    return taken;
}

bool engine_model::order(const backend::engine_order& request, base::instant now) {
    if (request.fencing_token < fencing_token_) {
        return false;
    }
    if (request.fencing_token == fencing_token_ && last_order_) {
        return same_order(*last_order_, request);
    }
    fencing_token_ = request.fencing_token;
    last_order_ = request;
    auto& adapters = options_.adapters;
    switch (request.kind) {
        case backend::order_kind::load_model:
            pending_load_.reset();
            if (request.model != options_.model || request.version != options_.model_version) {
                pending_load_ = request;
            }
            break;
        case backend::order_kind::load_adapter:
            if (std::ranges::find(adapters, request.adapter) == adapters.end()) {
                adapters.push_back(request.adapter);
            }
            break;
        case backend::order_kind::unload_adapter:
            std::erase(adapters, request.adapter);
            break;
        case backend::order_kind::set_role:
            options_.role = request.role;
            break;
    }
    if (pending_load_ && active_.empty() && !step_end_) {
        finish_load(now);
    }
    return true;
}

void engine_model::finish_load(base::instant now) {
    options_.model = pending_load_->model;
    options_.model_version = pending_load_->version;
    pending_load_.reset();
    options_.adapters.clear();
    cache_.clear(now);
    load_done_ = now + options_.costs.model_load;
    publish_changes(now);
}

cache_namespace engine_model::current_namespace(std::string adapter) const {
    return {options_.model.value(), options_.model_version, std::move(adapter)};
}

std::vector<backend::meter_entry> engine_model::meter() const {
    std::vector<backend::meter_entry> entries;
    entries.reserve(sequences_.size());
    for (const auto& [attempt, item] : sequences_) {
        entries.push_back({attempt, item.request.program, item.request.call, usage_of(item),
                           std::string(to_string(item.state))});
    }
    return entries;
}

void engine_model::drop_old_streams(base::instant now) {
    while (!retained_.empty() && retained_.begin()->first + options_.stream_retention <= now) {
        sequences_.at(retained_.begin()->second).retained = false;
        retained_.erase(retained_.begin());
    }
    while (!ended_.empty() && (ended_.begin()->first + options_.id_retention <= now ||
                               ended_.size() > options_.max_remembered)) {
        retained_.erase(*ended_.begin());
        sequences_.erase(ended_.begin()->second);
        ended_.erase(ended_.begin());
    }
    std::erase_if(cancelled_unseen_,
                  [&](const auto& item) { return item.second + options_.id_retention <= now; });
}

}  // namespace pearbarrow::emulator
