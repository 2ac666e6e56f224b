/// The example objects: each set is one valid change, and covers the shards of its settings.
#include <filesystem>
#include <fstream>
#include <string>

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

Test(examples, objects_are_valid) {
    for (const auto* name : {"one-machine", "granite-cellar", "kyushu"}) {
        const auto file = std::filesystem::path(PEARBARROW_EXAMPLES) / name / "objects.json";
        const auto change = change_of(file);
        cr_expect_geq(change.operations.size(), 8, "%s", name);
        const auto errors = config::validate_change(*config::configuration::empty(), change);
        cr_expect(errors.empty(), "%s: %s", name, config::to_status(errors).ToString().c_str());
        const auto applied = config::configuration::empty()->apply(change);
        cr_assert(applied.ok());
        cr_expect_not_null((*applied)->find_spec<config::shard_map_spec>("default"));
        cr_expect_eq((*applied)->version().value(), 1);
    }
}

}  // namespace
