#include "pearbarrow/emulator/tool_model.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numbers>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::emulator {
namespace {

/// A uniform draw in (0, 1], safe for logarithms.
double positive_unit(base::random_source& random) {
    return 1.0 - random.unit();
}

/// A standard normal draw (Box and Muller).
double normal(base::random_source& random) {
    const double radius = std::sqrt(-2.0 * std::log(positive_unit(random)));
    return radius * std::cos(2.0 * std::numbers::pi * random.unit());
}

std::optional<double> parse_number(std::string_view& text) {
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || value < 0) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    return value;
}

std::optional<latency_shape> parse_shape(std::string_view word) {
    if (word == "fixed") {
        return latency_shape::fixed;
    }
    if (word == "uniform") {
        return latency_shape::uniform;
    }
    if (word == "exponential") {
        return latency_shape::exponential;
    }
    return word == "lognormal" ? std::optional(latency_shape::lognormal) : std::nullopt;
}

std::optional<base::microseconds> parse_duration(std::string_view& text) {
    const auto value = parse_number(text);
    if (!value) {
        return std::nullopt;
    }
    for (const auto& [unit, factor] :
         {std::pair<std::string_view, double>{"us", 1}, {"ms", 1e3}, {"s", 1e6}}) {
        if (text.starts_with(unit)) {
            text.remove_prefix(unit.size());
            return base::microseconds(std::llround(*value * factor));
        }
    }
    return std::nullopt;
}

std::string answer(const tool_request& request, std::uint64_t run) {
    const nlohmann::json body = {
        {"tool", request.tool.value()},
        {"run", run},
        {"program", request.program.value()},
        {"call", request.call.value()},
        {"arguments_digest", fmt::format("{:016x}", base::stable_hash(request.arguments))}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

base::microseconds latency_distribution::draw(base::random_source& random) const {
    const auto middle = static_cast<double>(typical.count());
    double value = middle;
    switch (shape) {
        case latency_shape::fixed:
            break;
        case latency_shape::uniform:
            value = middle * (1 + spread * (2 * random.unit() - 1));
            break;
        case latency_shape::exponential:
            value = -middle * std::log(positive_unit(random));
            break;
        case latency_shape::lognormal:
            value = middle * std::exp(spread * normal(random));
            break;
    }
    return base::microseconds(std::max<std::int64_t>(0, std::llround(value)));
}

std::optional<latency_distribution> parse_latency(std::string_view text) {
    const auto colon = text.find(':');
    const auto shape = parse_shape(text.substr(0, colon));
    if (!shape || colon == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(colon + 1);
    const auto typical = parse_duration(text);
    if (!typical) {
        return std::nullopt;
    }
    latency_distribution result{.shape = *shape, .typical = *typical};
    if (text.starts_with(':')) {
        text.remove_prefix(1);
        const auto spread = parse_number(text);
        if (!spread) {
            return std::nullopt;
        }
        result.spread = *spread;
    }
    return text.empty() ? std::optional(result) : std::nullopt;
}

tool_start tool_model::start(const tool_request& request, base::instant now) {
    const key_name key{request.tool, request.key};
    if (options_.keeps_keys && !request.key.empty()) {
        if (fenced_.contains(key)) {
            return {.kind = tool_start_kind::fenced};
        }
        const auto known = keys_.find(key);
        if (known != keys_.end()) {
            return {tool_start_kind::repeated, known->second};
        }
    }
    const std::uint64_t id = ledger_.size() + 1;
    ledger_.push_back({.id = id, .request = request, .started = now});
    if (options_.keeps_keys && !request.key.empty()) {
        keys_[key] = id;
    }
    ledger_.back().failed = random_.chance(options_.fail_probability);
    const base::microseconds duration = options_.latency.draw(random_);
    if (!random_.chance(options_.hang_probability)) {
        due_.emplace(now + duration, id);
    }
    return {tool_start_kind::started, id};
}

key_view tool_model::query(const base::tool_name& tool, const std::string& key, bool fence) {
    if (!options_.keeps_keys) {
        return {};
    }
    const key_name name{tool, key};
    const auto known = keys_.find(name);
    if (known == keys_.end()) {
        if (fence) {
            fenced_.insert(name);
        }
        return {.state = key_state::never_seen, .fenced = fenced_.contains(name)};
    }
    return {.state = run(known->second).ended ? key_state::completed : key_state::running,
            .run = known->second};
}

std::optional<base::instant> tool_model::next_event() const {
    if (due_.empty()) {
        return std::nullopt;
    }
    return due_.begin()->first;
}

std::vector<std::uint64_t> tool_model::advance(base::instant now) {
    std::vector<std::uint64_t> ended;
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto [at, id] = *due_.begin();
        due_.erase(due_.begin());
        tool_run& run = ledger_[id - 1];
        run.ended = at;
        run.output = answer(run.request, id);
        run.request.arguments = {};
        ended.push_back(id);
    }
    return ended;
}

}  // namespace pearbarrow::emulator
