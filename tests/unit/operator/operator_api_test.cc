/// The operators' API: keys, objects, changes, reports, waiting, health and metrics.
#include "operator/operator_fixture.h"

#include "expect_text.h"

namespace {

using namespace pearbarrow;  // NOLINT: tests read better without the prefix
using pearbarrow::testing::expect_text;
using namespace pearbarrow::operators;           // NOLINT
using namespace pearbarrow::operators::testing;  // NOLINT

const std::string call_path = "/operator/v1/programs/" + std::string(32, 'a') + "/calls/3";

std::string reason_of(const net::http_response& answer) {
    return nlohmann::json::parse(answer.body, nullptr, false).value("reason", "");
}

void expect_refused(const net::http_response& answer, int status, const std::string& reason) {
    cr_expect_eq(answer.status, status, "%d %s", answer.status, answer.body.c_str());
    expect_text(reason_of(answer), reason);
}

node_report node(const std::string& name, std::uint64_t version, std::string state = "alive") {
    node_report report;
    report.node = base::node_id(name);
    report.state = std::move(state);
    report.version = base::config_version(version);
    return report;
}

Test(operator_api, needs_its_own_key) {
    operator_fixture fixture;
    cr_assert(fixture.started.ok(), "%s", fixture.started.ToString().c_str());
    for (const auto* target : {"/operator/v1/status", "/operator/v1/objects", "/operator/v1/x"}) {
        expect_refused(fixture.ask("GET", target, "", "wrong"), 401, "unknown_operator_key");
    }
    expect_refused(fixture.ask("POST", "/operator/v1/apply", "[]", "wrong"), 401,
                   "unknown_operator_key");
    cr_expect_eq(fixture.ask("GET", "/operator/v1/status").status, 200);
    cr_expect(fixture.backend.applied.empty());
}

Test(operator_api, health_and_metrics_need_no_key) {
    operator_fixture fixture;
    fixture.metrics.add_gauge("pearbarrow_test_bytes", "A gauge.").set(5);
    cr_expect_eq(fixture.ask("GET", "/healthz", "", "").status, 200);
    cr_expect_eq(fixture.ask("GET", "/readyz", "", "").status, 200);
    const auto metrics = fixture.ask("GET", "/metrics", "", "");
    cr_expect(metrics.body.find("pearbarrow_test_bytes 5") != std::string::npos, "%s",
              metrics.body.c_str());
    fixture.backend.now.ready = false;
    fixture.backend.now.not_ready_reason = "no_configuration";
    expect_refused(fixture.ask("GET", "/readyz", "", ""), 503, "no_configuration");
    cr_expect_eq(fixture.ask("GET", "/healthz", "", "").status, 200);
    expect_refused(fixture.ask("POST", "/healthz", "{}", ""), 405, "method_not_allowed");
}

Test(operator_api, objects) {
    operator_fixture fixture;
    fixture.backend.list.version = base::config_version(4);
    fixture.backend.list.resources = {
        {"pool", "small", {{"kind", "pool"}, {"name", "small"}, {"spec", {{"model", "m"}}}}}};
    const auto list = fixture.json("GET", "/operator/v1/objects?kind=pool");
    cr_expect_eq(list.value("version", 0), 4);
    expect_text(list["resources"][0].value("name", ""), "small");
    const auto one = fixture.json("GET", "/operator/v1/objects/pool/small");
    expect_text(one["spec"].value("model", ""), "m");
    expect_refused(fixture.ask("GET", "/operator/v1/objects/pool/large"), 404, "object_not_found");
    expect_refused(fixture.ask("GET", "/operator/v1/objects?kind=nonsense"), 404, "unknown_kind");
}

Test(operator_api, apply) {
    operator_fixture fixture;
    fixture.backend.result = apply_result{.version = base::config_version(5), .created = 1};
    const auto answer = fixture.json("POST", "/operator/v1/apply?dry_run=true&base_version=4",
                                     R"([{"kind":"pool","name":"p","spec":{}}])");
    cr_expect_eq(answer.value("version", 0), 5);
    cr_expect_eq(answer.value("created", 0), 1);
    cr_assert_eq(fixture.backend.applied.size(), 1);
    const auto& request = fixture.backend.applied[0];
    cr_expect(request.dry_run);
    cr_expect_eq(request.base_version->value(), 4);
    expect_text(request.resources[0].kind, "pool");
    cr_expect(request.resources[0].body.contains("spec"));
    cr_expect_eq(request.author.rfind("key-", 0), 0, "%s", request.author.c_str());
    cr_expect_eq(request.author.find(operator_key), std::string::npos, "never the key itself");
}

Test(operator_api, bad_bodies_reach_no_backend) {
    operator_fixture fixture;
    const std::string apply = "/operator/v1/apply";
    for (const auto* body : {"", "{", "{}", "[]", "5", "[1,2,3,4,5,6]"}) {
        expect_refused(fixture.ask("POST", apply, body), 400, "malformed_json");
    }
    for (const auto* body : {"[5]", R"([{"kind":"pool"}])", R"([{"kind":5,"name":"x"}])"}) {
        expect_refused(fixture.ask("POST", apply, body), 400, "invalid_field");
    }
    expect_refused(fixture.ask("POST", apply + "?base_version=x", R"([{"kind":"a","name":"b"}])"),
                   400, "invalid_query");
    const std::string labels = "/operator/v1/objects/pool/p/labels";
    for (const auto* body : {"{}", R"({"set":{"a":1}})", R"({"remove":[1]})", R"({"add":{}})"}) {
        expect_refused(fixture.ask("PATCH", labels, body), 400, "invalid_field");
    }
    for (const auto* body : {"{}", R"({"target":"moon","name":"x"})",
                             R"({"target":"node","name":"x","force":true})"}) {
        expect_refused(fixture.ask("POST", "/operator/v1/drain", body), 400, "invalid_field");
    }
    expect_refused(fixture.ask("PUT", apply, "[]"), 405, "method_not_allowed");
    for (const auto* target : {"/operator/v1/none", "/operator/v2/status", "/operator", "/x",
                               "/operator/v1/programs/x/calls/1/explain"}) {
        expect_refused(fixture.ask("GET", target), 404, "no_such_resource");
    }
    cr_expect(fixture.backend.applied.empty());
    cr_expect(fixture.backend.labelled.empty());
    cr_expect(fixture.backend.drained.empty());
}

Test(operator_api, a_refused_change_names_each_field) {
    operator_fixture fixture;
    apply_result refused;
    refused.problems = {{0, "spec.model", "must not be empty"}, {2, "name", "is taken"}};
    fixture.backend.result = refused;
    const auto answer =
        fixture.ask("POST", "/operator/v1/apply", R"([{"kind":"pool","name":"p"}])");
    expect_refused(answer, 400, "invalid_configuration");
    const auto errors = nlohmann::json::parse(answer.body)["errors"];
    cr_assert_eq(errors.size(), 2);
    expect_text(errors[0].value("field", ""), "spec.model");
    cr_expect_eq(errors[1].value("index", 0), 2);
}

Test(operator_api, racing_operators) {
    operator_fixture fixture;
    fixture.backend.result =
        base::make_error(absl::StatusCode::kAborted, "change 7 by key-x came first",
                         {.step = "append_change", .reason = "version_conflict"});
    expect_refused(fixture.ask("POST", "/operator/v1/apply", R"([{"kind":"pool","name":"p"}])"),
                   409, "version_conflict");
}

Test(operator_api, label_delete_and_drain) {
    operator_fixture fixture;
    cr_expect_eq(fixture
                     .ask("PATCH", "/operator/v1/objects/pool/p/labels",
                          R"({"set":{"a":"1"},"remove":["b"]})")
                     .status,
                 200);
    expect_text(fixture.backend.labelled[0].set.at("a"), "1");
    expect_text(fixture.backend.labelled[0].remove[0], "b");
    expect_text(fixture.backend.labelled[0].name, "p");
    cr_expect_eq(fixture.ask("DELETE", "/operator/v1/objects/pool/p").status, 200);
    expect_text(fixture.backend.applied[0].removals[0].name, "p");
    cr_expect_eq(
        fixture.ask("POST", "/operator/v1/drain", R"({"target":"back_end","name":"e1"})").status,
        200);
    cr_expect(fixture.backend.drained[0].target == drain_target::back_end);
    cr_expect(fixture.backend.drained[0].draining);
}

Test(operator_api, reports) {
    operator_fixture fixture;
    fixture.backend.node_list = {node("n1", 4)};
    shard_report shard;
    shard.shard = base::shard_id(7);
    shard.replicas = {base::node_id("n1")};
    fixture.backend.shard_list = {shard};
    expect_text(fixture.json("GET", "/operator/v1/nodes")["nodes"][0].value("node", ""), "n1");
    const auto shards = fixture.json("GET", "/operator/v1/shards")["shards"];
    cr_expect_eq(shards[0].value("shard", 0), 7);
    cr_expect(shards[0]["owner"].is_null());
    cr_expect_eq(fixture.json("GET", "/operator/v1/status").value("version", 0), 4);
    const auto explained = fixture.json("GET", call_path + "/explain");
    cr_expect_eq(explained.value("call", 0), 3);
    expect_text(explained["decisions"][0].value("outcome", ""), "granted");
    cr_expect(fixture.json("GET", call_path + "/verify").value("verified", false));
}

Test(operator_api, wait_until_a_version_is_in_force_everywhere) {
    operator_fixture fixture;
    fixture.backend.node_list = {node("n1", 4), node("n2", 3), node("n3", 0, "dead")};
    const auto late = fixture.json("GET", "/operator/v1/config?wait_version=4&timeout_ms=20");
    cr_expect_not(late.value("in_force_everywhere", true));
    cr_expect_eq(late.value("nodes_behind", 0), 1);
    const auto learns = fixture.loop.after(base::milliseconds(30), [&fixture] {
        fixture.backend.node_list[1].version = base::config_version(4);
    });
    const auto done = fixture.json("GET", "/operator/v1/config?wait_version=4&timeout_ms=20000");
    cr_expect(done.value("in_force_everywhere", false), "%s", done.dump().c_str());
    cr_expect_eq(done["nodes"].size(), 2, "a dead node is not waited for");
    expect_refused(fixture.ask("GET", "/operator/v1/config?wait_version=x"), 400, "invalid_query");
}

}  // namespace
