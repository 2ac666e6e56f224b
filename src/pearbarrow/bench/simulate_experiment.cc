#include "pearbarrow/bench/simulate_experiment.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <set>
#include <stdexcept>
#include <string_view>

#include <spdlog/fmt/fmt.h>
#include <toml++/toml.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::bench {
namespace {

/// Reads the fields of one table and remembers which were read, so that a misspelt field is an
/// error and not silently a default.
class table_reader {
  public:
    table_reader(const toml::table& table, std::string place)
        : table_(table), place_(std::move(place)) {}

    template <typename Value>
    void read(std::string_view field, Value& value) {
        known_.insert(std::string(field));
        const toml::node* node = table_.get(field);
        if (node == nullptr) {
            return;
        }
        if constexpr (std::is_same_v<Value, distribution>) {
            value = read_distribution(*node, field);
        } else {
            const auto found = node->value<Value>();
            if (!found) {
                fail(field, "has the wrong type");
            }
            value = *found;
        }
    }
    const toml::table* table(std::string_view field) {
        known_.insert(std::string(field));
        const toml::node* node = table_.get(field);
        return node == nullptr ? nullptr : node->as_table();
    }
    const toml::array* array(std::string_view field) {
        known_.insert(std::string(field));
        const toml::node* node = table_.get(field);
        return node == nullptr ? nullptr : node->as_array();
    }
    void check_unknown() const {
        for (const auto& [key, node] : table_) {
            if (!known_.contains(std::string(key.str()))) {
                fail(key.str(), "is not known");
            }
        }
    }
    [[noreturn]] void fail(std::string_view field, std::string_view what) const {
        throw std::invalid_argument(fmt::format("{}{} {}", place_, field, what));
    }

  private:
    distribution read_distribution(const toml::node& node, std::string_view field) const {
        distribution value;
        if (const auto constant = node.value<double>()) {
            value.mean = *constant;
            return value;
        }
        const toml::table* table = node.as_table();
        if (table == nullptr) {
            fail(field, "must be a number or a table with mean, variation, low, high");
        }
        table_reader reader(*table, place_ + std::string(field) + ".");
        reader.read("mean", value.mean);
        reader.read("variation", value.variation);
        reader.read("low", value.low);
        reader.read("high", value.high);
        reader.check_unknown();
        return value;
    }

    const toml::table& table_;
    std::string place_;
    std::set<std::string> known_;
};

class_spec read_class(const toml::table& table) {
    class_spec value;
    table_reader reader(table, "class.");
    reader.read("name", value.name);
    reader.read("share", value.share);
    reader.read("tenants", value.tenants);
    reader.read("tenant_skew", value.tenant_skew);
    reader.read("system_tokens", value.system_tokens);
    reader.read("document_tokens", value.document_tokens);
    reader.read("first_input", value.first_input);
    reader.read("output", value.output);
    reader.read("calls", value.calls);
    reader.read("tool_probability", value.tool_probability);
    reader.read("tool_result", value.tool_result);
    reader.read("tool_seconds", value.tool_seconds);
    reader.read("turn_input", value.turn_input);
    reader.read("think_seconds", value.think_seconds);
    reader.read("without_model", value.without_model);
    if (const toml::table* sub = reader.table("sub_programs")) {
        table_reader sub_reader(*sub, "class.sub_programs.");
        sub_reader.read("class", value.sub_programs.program_class);
        sub_reader.read("probability", value.sub_programs.probability);
        sub_reader.read("count", value.sub_programs.count);
        sub_reader.check_unknown();
    }
    reader.check_unknown();
    return value;
}

void read_engines(const toml::table& table, std::vector<engine_spec>& engines) {
    engine_spec value;
    std::uint32_t count = 1;
    table_reader reader(table, "engine.");
    reader.read("count", count);
    reader.read("step_base_us", value.step_base_us);
    reader.read("prefill_token_us", value.prefill_token_us);
    reader.read("decode_sequence_us", value.decode_sequence_us);
    reader.read("decode_context_kilotoken_us", value.decode_context_kilotoken_us);
    reader.read("max_running", value.max_running);
    reader.read("cache_tokens", value.cache_tokens);
    reader.read("prefill_tokens_per_step", value.prefill_tokens_per_step);
    reader.read("max_pinned_fraction", value.max_pinned_fraction);
    reader.read("slowness", value.slowness);
    reader.read("zone", value.zone);
    reader.check_unknown();
    engines.insert(engines.end(), count, value);
}

fault_spec read_fault(const toml::table& table) {
    fault_spec value;
    table_reader reader(table, "fault.");
    reader.read("at_seconds", value.at_seconds);
    reader.read("engine", value.engine);
    reader.read("slowness", value.slowness);
    reader.read("restart", value.restart);
    reader.check_unknown();
    return value;
}

template <typename Action>
void for_each_table(table_reader& reader, std::string_view field, Action action) {
    const toml::array* items = reader.array(field);
    if (items == nullptr) {
        return;
    }
    for (const toml::node& item : *items) {
        const toml::table* table = item.as_table();
        if (table == nullptr) {
            reader.fail(field, "must be a list of tables");
        }
        action(*table);
    }
}

experiment read_top(const toml::table& table) {
    experiment value;
    table_reader reader(table, "");
    reader.read("name", value.name);
    reader.read("duration_seconds", value.duration_seconds);
    reader.read("warm_up_seconds", value.warm_up_seconds);
    reader.read("capacity", value.capacity);
    reader.read("burst_factor", value.burst_factor);
    reader.read("burst_part", value.burst_part);
    reader.read("burst_period_seconds", value.burst_period_seconds);
    reader.read("network_ms", value.network_ms);
    reader.read("zone_network_ms", value.zone_network_ms);
    reader.read("client_network_ms", value.client_network_ms);
    reader.read("zones", value.zones);
    reader.read("report_interval_seconds", value.report_interval_seconds);
    reader.read("report_lag_seconds", value.report_lag_seconds);
    reader.read("cache_event_lag_seconds", value.cache_event_lag_seconds);
    reader.read("cache_event_loss", value.cache_event_loss);
    reader.read("context_limit", value.context_limit);
    reader.read("starvation_seconds", value.starvation_seconds);
    reader.read("baselines_release", value.baselines_release);
    for_each_table(reader, "class",
                   [&](const toml::table& item) { value.classes.push_back(read_class(item)); });
    for_each_table(reader, "engine",
                   [&](const toml::table& item) { read_engines(item, value.engines); });
    for_each_table(reader, "fault",
                   [&](const toml::table& item) { value.faults.push_back(read_fault(item)); });
    reader.check_unknown();
    return value;
}

void check(const experiment& value) {
    double shares = 0;
    for (const class_spec& spec : value.classes) {
        shares += spec.share;
        const std::string& sub = spec.sub_programs.program_class;
        if (!sub.empty() && !value.find_class(sub)) {
            throw std::invalid_argument("class.sub_programs.class names no class: " + sub);
        }
        if (sub == spec.name) {
            throw std::invalid_argument("class.sub_programs.class names its own class: " + sub);
        }
    }
    if (shares <= 0 || value.engines.empty() || value.capacity <= 0) {
        throw std::invalid_argument("needs classes with shares, engines and a capacity above 0");
    }
    if (value.burst_factor * value.burst_part > 1) {
        throw std::invalid_argument("burst_factor times burst_part must be at most 1");
    }
}

}  // namespace

double distribution::draw(base::random_source& random) const {
    // Both numbers are drawn always, so that changing one field leaves other draws alone.
    const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
    const double normal = radius * std::cos(2 * std::numbers::pi * random.unit());
    double value = mean;
    if (variation > 0 && mean > 0) {
        const double sigma_squared = std::log(1 + variation * variation);
        value = std::exp(std::log(mean) - sigma_squared / 2 + std::sqrt(sigma_squared) * normal);
    }
    return std::clamp(value, low, high);
}

std::optional<std::size_t> experiment::find_class(const std::string& wanted) const {
    for (std::size_t index = 0; index < classes.size(); ++index) {
        if (classes[index].name == wanted) {
            return index;
        }
    }
    return std::nullopt;
}

absl::StatusOr<experiment> read_experiment(const std::string& path) {
    try {
        experiment value = read_top(toml::parse_file(path));
        check(value);
        return value;
    } catch (const std::exception& error) {
        base::error_details details;
        details.step = "read_experiment";
        details.peer = path;
        details.reason = "bad_experiment";
        return base::make_error(absl::StatusCode::kInvalidArgument, error.what(), details);
    }
}

}  // namespace pearbarrow::bench
