/// pearbarrowctl's client and output.
#include <thread>

#include "operator/operator_fixture.h"
#include "pearbarrow/operator/control_client.h"
#include "pearbarrow/operator/control_output.h"

#include "expect_text.h"

namespace {

using namespace pearbarrow;  // NOLINT: tests read better without the prefix
using pearbarrow::testing::expect_text;
using namespace pearbarrow::operators;           // NOLINT
using namespace pearbarrow::operators::testing;  // NOLINT

/// Runs `work` on its own thread while the server's loop runs here.
void with_server(operator_fixture& fixture, const std::function<void(control_client&)>& work,
                 const std::string& key = operator_key) {
    const auto server = fixture.server->local_endpoint();
    std::thread client_thread([&] {
        control_client client({.server = server, .key = key});
        work(client);
        fixture.loop.post([&fixture] { fixture.loop.stop(); });
    });
    fixture.loop.run();
    client_thread.join();
}

Test(control, asks_and_changes) {
    operator_fixture fixture;
    fixture.backend.result = apply_result{.version = base::config_version(6)};
    absl::StatusOr<nlohmann::json> status;
    absl::StatusOr<nlohmann::json> change;
    with_server(fixture, [&](control_client& client) {
        status = client.get("/operator/v1/status");
        change = client.change("POST", "/operator/v1/apply", R"([{"kind":"pool","name":"p"}])");
    });
    cr_assert(status.ok(), "%s", status.status().ToString().c_str());
    cr_expect_eq(status->value("version", 0), 4);
    cr_assert(change.ok());
    cr_expect_eq(change->value("version", 0), 6);
    cr_expect_eq(fixture.backend.applied[0].change_id.size(), 32, "a change always has an id");
}

Test(control, a_change_whose_answer_was_lost_is_sent_again_under_the_same_id) {
    operator_fixture fixture;
    fixture.backend.result = base::make_error(
        absl::StatusCode::kUnavailable, "the service did not answer",
        {.step = "append_change", .reason = "no_answer", .was_executed = base::executed::unknown});
    absl::StatusOr<nlohmann::json> change;
    with_server(fixture, [&](control_client& client) {
        change = client.change("POST", "/operator/v1/apply", R"([{"kind":"pool","name":"p"}])");
    });
    cr_expect(exit_of(change.status()) == control_exit::unavailable);
    cr_assert_eq(fixture.backend.applied.size(), 3);
    expect_text(fixture.backend.applied[0].change_id, fixture.backend.applied[2].change_id);
}

Test(control, exit_codes) {
    operator_fixture fixture;
    absl::Status wrong_key;
    with_server(
        fixture,
        [&](control_client& client) { wrong_key = client.get("/operator/v1/status").status(); },
        "wrong");
    cr_expect(exit_of(wrong_key) == control_exit::refused);
    expect_text(base::details_of(wrong_key).reason, "unknown_operator_key");
    control_client nobody({.server = {"127.0.0.1", 1}, .key = "k"});
    const auto unreachable = nobody.get("/operator/v1/status").status();
    cr_expect(exit_of(unreachable) == control_exit::unavailable, "%s",
              unreachable.ToString().c_str());
    expect_text(base::details_of(unreachable).peer, "127.0.0.1:1");
    cr_expect(exit_of(absl::OkStatus()) == control_exit::done);
}

Test(control, problems_show_their_fields) {
    const auto status = status_of_problem(
        400,
        R"({"detail":"refused","reason":"invalid_configuration","step":"s","peer":"n1",
            "errors":[{"index":1,"field":"spec.model","message":"must not be empty"}]})",
        "1.2.3.4:5");
    const std::string message(status.message());
    expect_text(message, "refused\n  [1] spec.model: must not be empty");
    expect_text(base::details_of(status).peer, "n1");
    const auto other = status_of_problem(502, "<html>", "1.2.3.4:5");
    expect_text(base::details_of(other).peer, "1.2.3.4:5");
}

Test(control, tables) {
    const auto objects = objects_table(
        {{"version", 3},
         {"resources",
          {{{"kind", "pool"}, {"name", "a-long-name"}, {"labels", {{"x", "1"}, {"y", "2"}}}},
           {{"kind", "engine"}, {"name", "e"}}}}});
    expect_text(objects,
                "KIND    NAME         LABELS\n"
                "pool    a-long-name  x=1,y=2\n"
                "engine  e            -\n"
                "configuration version 3\n");
    const auto verified = verification_text({{"verified", false},
                                             {"decisions",
                                              {{{"decision", "placement"},
                                                {"recorded", "e1"},
                                                {"recomputed", "e2"},
                                                {"matches", false}}}}});
    cr_expect(verified.find("DIFFERS") != std::string::npos);
    cr_expect(verified.find("not verified") != std::string::npos);
    expect_text(percent_encode("a/b c"), "a%2Fb%20c");
}

}  // namespace
