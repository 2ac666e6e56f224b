#include "pearbarrow/config/validate.h"

#include <algorithm>

#include <criterion/criterion.h>

namespace config = pearbarrow::config;
namespace base = pearbarrow::base;

namespace {

config::object parse(const char* text) {
    auto result = config::object_from_json(nlohmann::json::parse(text));
    cr_assert(result.value.has_value(), "%s",
              std::string(config::to_status(result.errors).message()).c_str());
    return *result.value;
}

config::change put(std::vector<config::object> objects) {
    config::change result{"c", base::config_version(1), "maria", {}};
    for (config::object& each : objects) {
        result.operations.emplace_back(config::put_object{std::move(each)});
    }
    return result;
}

bool has_problem(const std::vector<config::field_error>& errors, std::string_view object,
                 std::string_view field) {
    return std::any_of(errors.begin(), errors.end(), [&](const config::field_error& error) {
        return error.object == object && error.field == field;
    });
}

const char* const pool_p1 = R"({"kind":"pool","name":"p1","spec":{"model":"m1"}})";
const char* const engine_e1 =
    R"({"kind":"engine","name":"e1","spec":{"address":"10.0.0.1:80","pool":"p1"}})";
const char* const shards =
    R"({"kind":"shard_map","name":"default","spec":{"shards":[
        {"shard":0,"region":"west","replicas":["a","b","c"],"epoch":1}]}})";

config::configuration_ptr current() {
    return config::configuration::make(
        base::config_version(1),
        {parse(pool_p1), parse(engine_e1), parse(shards),
         parse(("{\"kind\":\"tenant\",\"name\":\"granite\",\"spec\":{\"api_key_sha256\":[\"" +
                config::api_key_digest("k1") + "\"]}}")
                   .c_str())});
}

config::object shard_map(const char* replicas, int epoch, const char* more = "") {
    const std::string text =
        R"({"kind":"shard_map","name":"default","spec":{"shards":[{"shard":0,"region":"west",)"
        "\"replicas\":" +
        std::string(replicas) + ",\"epoch\":" + std::to_string(epoch) + more + "}]}}";
    return parse(text.c_str());
}

std::vector<config::field_error> check(std::vector<config::object> objects) {
    return config::validate_change(*current(), put(std::move(objects)));
}

}  // namespace

Test(validate, valid_change_has_no_problems) {
    cr_assert(check({parse(R"({"kind":"engine","name":"e2","labels":{"gpu":"h"},
        "spec":{"address":"10.0.0.2:80","pool":"p1","model":"m1"}})")})
                  .empty());
}

Test(validate, all_invalid_references_and_ranges_are_reported) {
    const auto errors =
        check({parse(R"({"kind":"engine","name":"e2","labels":{"pool":"x"},"spec":
                  {"address":"shop.example:80","pool":"none","capacity":{"sequences":0}}})"),
               parse(R"({"kind":"program_class","name":"c 1","spec":{"default_priority":101,
                  "limits":{"call_burst":3,"run_time_ms":0,"repeated_calls":1}}})"),
               parse(R"({"kind":"limit","name":"l1","spec":{"programs":"","limits":{}}})")});
    cr_assert(has_problem(errors, "engine/e2", "labels.pool"));
    cr_assert(has_problem(errors, "engine/e2", "spec.address"));
    cr_assert(has_problem(errors, "engine/e2", "spec.pool"));
    cr_assert(has_problem(errors, "engine/e2", "spec.capacity.sequences"));
    cr_assert(has_problem(errors, "program_class/c 1", "name"));
    cr_assert(has_problem(errors, "program_class/c 1", "spec.default_priority"));
    cr_assert(has_problem(errors, "program_class/c 1", "spec.limits.call_burst"));
    cr_assert(has_problem(errors, "program_class/c 1", "spec.limits.run_time_ms"));
    cr_assert(has_problem(errors, "program_class/c 1", "spec.limits.repeated_calls"));
    cr_assert(has_problem(errors, "limit/l1", "spec.limits"));
    cr_assert_eq(errors.size(), 10);
}

Test(validate, pool_in_use_keeps_its_model_and_is_not_removed) {
    config::change removal{"c", base::config_version(1), "maria", {}};
    removal.operations = {config::delete_object{{config::object_kind::pool, "p1"}}};
    cr_assert(has_problem(config::validate_change(*current(), removal), "pool/p1", ""));
    removal.operations.emplace_back(config::delete_object{{config::object_kind::engine, "e1"}});
    cr_assert(config::validate_change(*current(), removal).empty());
    const auto errors = check({parse(R"({"kind":"engine","name":"e1","spec":
        {"address":"10.0.0.1:80","pool":"p1","model":"m2"}})")});
    cr_assert(has_problem(errors, "engine/e1", "spec.model"));
}

Test(validate, key_of_another_tenant_is_rejected) {
    const std::string digest = config::api_key_digest("k1");
    for (const char* name : {"aaa", "zzz"}) {
        const std::string text = "{\"kind\":\"tenant\",\"name\":\"" + std::string(name) +
                                 "\",\"spec\":{\"api_key_sha256\":[\"" + digest + "\"]}}";
        const auto errors = check({parse(text.c_str())});
        cr_assert(has_problem(errors, "tenant/" + std::string(name), "spec.api_key_sha256[0]"));
    }
}

Test(validate, replicas_change_one_at_a_time_with_new_epoch) {
    const auto assign = [](const char* replicas, int epoch) { return shard_map(replicas, epoch); };
    cr_assert(check({assign(R"(["a","b"])", 2)}).empty());
    cr_assert(has_problem(check({assign(R"(["a","b"])", 1)}), "shard_map/default",
                          "spec.shards[0].epoch"));
    cr_assert(has_problem(check({assign(R"(["a","b","d"])", 2)}), "shard_map/default",
                          "spec.shards[0].replicas"));
    cr_assert(has_problem(check({assign(R"(["a","d","e"])", 2)}), "shard_map/default",
                          "spec.shards[0].replicas"));
    cr_assert(has_problem(check({assign(R"(["a","b","d"])", 1)}), "shard_map/default",
                          "spec.shards[0].epoch"));
    cr_assert(has_problem(check({assign(R"(["a","a"])", 2)}), "shard_map/default",
                          "spec.shards[0].replicas"));
}

Test(validate, new_replica_must_have_joined) {
    const auto marked = current()->apply(
        {"c1",
         base::config_version(1),
         "repair",
         {config::put_object{shard_map(R"(["a","b","c"])", 1, ",\"joining\":\"d\"")}}});
    cr_assert(marked.ok());
    const auto check_after = [&](const config::object& map) {
        return config::validate_change(
            **marked, {"c2", base::config_version(2), "repair", {config::put_object{map}}});
    };
    cr_assert(check({shard_map(R"(["a","b","c"])", 1, ",\"joining\":\"d\"")}).empty());
    cr_assert(check_after(shard_map(R"(["a","b","c","d"])", 2)).empty());
    for (const char* replicas : {R"(["a","b","c","e"])", R"(["d","a","b","c"])"}) {
        cr_assert(has_problem(check_after(shard_map(replicas, 2)), "shard_map/default",
                              "spec.shards[0].replicas"));
    }
    cr_assert(has_problem(check({shard_map(R"(["a","b","c","d"])", 2)}), "shard_map/default",
                          "spec.shards[0].replicas"));
}

Test(validate, empty_and_unknown_targets_are_rejected) {
    config::change change{"", base::config_version(1), "maria", {}};
    cr_assert(has_problem(config::validate_change(*current(), change), "change", "operations"));
    cr_assert(has_problem(config::validate_change(*current(), change), "change", "id"));
    change.operations = {config::set_label{{config::object_kind::pool, "none"}, "a", "b"}};
    cr_assert(has_problem(config::validate_change(*current(), change), "change", "operations"));
    change.operations = {config::set_label{{config::object_kind::pool, "p1"}, "a b", "b"}};
    cr_assert(has_problem(config::validate_change(*current(), change), "pool/p1", "labels.a b"));
}
