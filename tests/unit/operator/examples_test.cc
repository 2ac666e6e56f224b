/// The example objects: each set is one valid change. The nodes propose the shard map.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "pearbarrow/config/configuration.h"
#include "pearbarrow/config/validate.h"

#include <criterion/criterion.h>

namespace {

using namespace pearbarrow;  // NOLINT: tests read better without the prefix

config::change change_of(const std::filesystem::path& file) {
    std::ifstream stream(file);
    config::change change;
    change.id = "example";
    for (const auto& item : nlohmann::json::parse(stream)) {
        auto parsed = config::object_from_json(item);
        cr_assert(parsed.errors.empty(), "%s: %s", file.c_str(),
                  config::to_status(parsed.errors).ToString().c_str());
        change.operations.emplace_back(config::put_object{*parsed.value});
    }
    return change;
}

bool change_has_no_shard_map(const config::change& change) {
    return std::none_of(change.operations.begin(), change.operations.end(), [](const auto& each) {
        return std::get<config::put_object>(each).value.kind() == config::object_kind::shard_map;
    });
}

Test(examples, objects_are_valid) {
    for (const auto* name : {"one-machine", "granite-cellar", "kyushu"}) {
        const auto file = std::filesystem::path(PEARBARROW_EXAMPLES) / name / "objects.json";
        const auto change = change_of(file);
        const auto errors = config::validate_change(*config::configuration::empty(), change);
        cr_expect(errors.empty(), "%s: %s", name, config::to_status(errors).ToString().c_str());
        const auto applied = config::configuration::empty()->apply(change);
        cr_assert(applied.ok());
        for (const auto kind :
             {config::object_kind::pool, config::object_kind::engine,
              config::object_kind::tool_service, config::object_kind::program_class,
              config::object_kind::tenant, config::object_kind::scheduling_rule}) {
            cr_expect_not((*applied)->all(kind).empty(), "%s has no %s", name,
                          std::string(config::to_string(kind)).c_str());
        }
        cr_expect(change_has_no_shard_map(change), "%s: the nodes propose the shard map", name);
        cr_expect_eq((*applied)->version().value(), 1);
    }
}

}  // namespace
