#include "pearbarrow/config/objects.h"

#include <algorithm>

#include "pearbarrow/config/change.h"

#include <criterion/criterion.h>

namespace config = pearbarrow::config;
using nlohmann::json;

namespace {

const char* const resources = R"json([
 {"kind":"pool","name":"p1","labels":{"tier":"gold"},"spec":{"model":"m1","cell_size":4}},
 {"kind":"engine","name":"e1","labels":{},"spec":{"address":"10.0.0.1:80","pool":"p1",
  "capacity":{"sequences":8,"cache_tokens":1000,"context_tokens":500},
  "cost":{"prompt_token":1,"output_token":3},"draining":true}},
 {"kind":"tool_service","name":"t1","spec":{"address":"10.0.0.2:80","tools":[
  {"name":"hold","repeatable":false,"queryable":true,"cost":5,"timeout_ms":2000}]}},
 {"kind":"program_class","name":"c1","spec":{"default_priority":-5,"limits":{"turns":230}}},
 {"kind":"tenant","name":"granite","spec":{"api_key_sha256":[],"weight":2.5,
  "limits":{"calls_per_second":10,"call_burst":20,"run_time_ms":60000}}},
 {"kind":"limit","name":"l1","spec":{"programs":"tier in (gold, silver)",
                  "limits" : {
    "budget" : 9
}
}
},
 {"kind":"scheduling_rule","name":"r1","spec":{"programs":"class=c1","pools":"!slow",
  "effect":"deny","precedence":3,"priority":7,"weights":{"latency":1,"cache":2,"fairness":0}}},
 {"kind":"shard_map","name":"default","spec":{"shards":[
  {"shard":0,"region":"west","replicas":["n1","n2"],"epoch":3,"joining":"n3"}]}}
])json";

bool has_error(const std::vector<config::field_error>& errors, std::string_view field) {
    return std::any_of(errors.begin(), errors.end(),
                       [&](const config::field_error& error) { return error.field == field; });
}

}  // namespace

Test(objects, every_kind_round_trips) {
    for (const json& resource : json::parse(resources)) {
        const auto first = config::object_from_json(resource);
        cr_assert(first.value.has_value(), "%s",
                  std::string(config::to_status(first.errors).message()).c_str());
        const json text = config::to_json(*first.value);
        const auto second = config::object_from_json(text);
        cr_assert(second.value.has_value(), "%s", text.dump().c_str());
        cr_assert(*first.value == *second.value, "%s", text.dump().c_str());
    }
}

Test(objects, all_problems_are_reported_at_once) {
    const auto result = config::object_from_json(json::parse(R"({
      "kind":"engine","name":"e1","extra":1,"labels":{"a":3},
      "spec":{"address":5,"capacity":{"sequences":-1,"speed":2},"drainning":true}})"));
    cr_assert_not(result.value.has_value());
    for (const char* field : {"extra", "labels.a", "spec.address", "spec.pool",
                              "spec.capacity.sequences", "spec.capacity.speed", "spec.drainning"}) {
        cr_assert(has_error(result.errors, field), "%s must be named", field);
    }
    cr_assert_eq(result.errors.size(), 7);
    cr_assert_eq(result.errors.front().object, "engine/e1");
}

Test(objects, numbers_out_of_range_are_rejected) {
    const auto wide = config::object_from_json(
        json::parse(R"({"kind":"pool","name":"p","spec":{"model":"m","cell_size":4294967296}})"));
    cr_assert(has_error(wide.errors, "spec.cell_size"));
    const auto fraction = config::object_from_json(
        json::parse(R"({"kind":"pool","name":"p","spec":{"model":"m","cell_size":1.5}})"));
    cr_assert(has_error(fraction.errors, "spec.cell_size"));
}

Test(objects, invalid_selector_names_field_and_position) {
    const auto result = config::object_from_json(json::parse(
        R"({"kind":"limit","name":"l","spec":{"programs":"a in b","limits":{"turns":1}}})"));
    cr_assert(has_error(result.errors, "spec.programs"));
    cr_assert(result.errors.front().message.find("position 6") == 0);
}

Test(objects, key_digest_is_sha256) {
    cr_assert_eq(config::api_key_digest("abc"),
                 "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

Test(change, every_operation_round_trips) {
    config::change made{"c1", pearbarrow::base::config_version(7), "maria", {}};
    const auto pool = config::object_from_json(json::parse(resources)[0]);
    const config::object_key key{config::object_kind::pool, "p1"};
    made.operations = {config::put_object{*pool.value}, config::set_label{key, "a", "b"},
                       config::remove_label{key, "c"}, config::delete_object{key}};
    const auto read = config::decode_change(config::encode_change(made));
    cr_assert(read.ok(), "%s", std::string(read.status().message()).c_str());
    cr_assert(*read == made);
}

Test(change, malformed_text_is_rejected) {
    for (const char* text : {"", "[]", "{", "null", R"({"id":"a"})",
                             R"({"id":"a","base_version":1,"author":"b","operations":[{}]})",
                             R"({"id":"a","base_version":-1,"author":"b","operations":[]})"}) {
        cr_assert_not(config::decode_change(text).ok(), "%s", text);
    }
}
