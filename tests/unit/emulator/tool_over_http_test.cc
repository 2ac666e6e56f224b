// The tool stand-in and its client over real HTTP.
#include <optional>
#include <string>

#include "pearbarrow/backend/tool_client.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/emulator/tool_server.h"
#include "served_stand_in.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

namespace {

tool_server_options quick_tool() {
    return {.model = {.latency = {latency_shape::fixed, base::milliseconds(5), 0}}};
}

absl::StatusOr<backend::tool_result> invoke(process& in, backend::tool_client& client,
                                            const std::string& key,
                                            base::milliseconds deadline = base::seconds(5)) {
    std::unique_ptr<backend::tool_handle> handle;
    return wait_for<backend::tool_result>(in, [&](auto done) {
        handle = client.invoke({.tool = base::tool_name("hold"),
                                .idempotency_key = key,
                                .attempt = base::attempt_id("a1"),
                                .program = base::program_id("p1"),
                                .call = base::call_number(2),
                                .arguments = "{}",
                                .deadline = deadline},
                               std::move(done));
    });
}

absl::StatusOr<backend::tool_query_result> query(process& in, backend::tool_client& client,
                                                 const std::string& key, bool fence) {
    return wait_for<backend::tool_query_result>(
        in, [&](auto done) { client.query(base::tool_name("hold"), key, fence, std::move(done)); });
}

std::size_t runs_in_ledger(process& in, const net::endpoint& tool) {
    const auto answer = in.fetch(tool, "GET", "/v1/ledger");
    return nlohmann::json::parse(answer.body).at("runs").size();
}

}  // namespace

Test(tool_over_http, a_repeated_key_answers_with_the_first_result) {
    process in;
    stand_in<tool_server> tool(in, quick_tool(), in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    const auto first = invoke(in, *client, "key/1 %");
    const auto again = invoke(in, *client, "key/1 %");
    cr_assert(first.ok() && again.ok());
    cr_assert_not(first->repeated);
    cr_assert(again->repeated);
    cr_assert(first->output == again->output);
    cr_assert_eq(runs_in_ledger(in, tool.address()), 1);
    const auto state = query(in, *client, "key/1 %", false);
    cr_assert(state->state == backend::tool_request_state::completed);
    cr_assert(state->result.output == first->output);
}

Test(tool_over_http, a_lost_answer_ran_and_can_be_asked_for) {
    process in;
    stand_in<tool_server> tool(in, quick_tool(), in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    tool.set_faults(R"({"faults":[{"kind":"lose_answer","path":"/v1/tools/hold/invoke"}]})");
    const auto lost = invoke(in, *client, "k");
    cr_assert_eq(base::details_of(lost.status()).reason, "answer_lost");
    cr_assert(base::details_of(lost.status()).was_executed == base::executed::unknown);
    cr_assert_eq(runs_in_ledger(in, tool.address()), 1);
    const auto state = query(in, *client, "k", true);
    cr_assert(state->state == backend::tool_request_state::completed);
    cr_assert_not(state->fenced);
}

Test(tool_over_http, a_dropped_request_never_ran_and_its_key_can_be_fenced) {
    process in;
    stand_in<tool_server> tool(in, quick_tool(), in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    tool.set_faults(R"({"faults":[{"kind":"drop","path":"/v1/tools/","count":1}]})");
    const auto dropped = invoke(in, *client, "k");
    cr_assert(base::details_of(dropped.status()).was_executed == base::executed::unknown);
    const auto state = query(in, *client, "k", true);
    cr_assert(state->state == backend::tool_request_state::never_seen);
    cr_assert(state->fenced);
    const auto late = invoke(in, *client, "k");
    cr_assert_eq(base::details_of(late.status()).reason, "request_fenced");
    cr_assert(base::details_of(late.status()).was_executed == base::executed::no);
    cr_assert_eq(runs_in_ledger(in, tool.address()), 0);
}

Test(tool_over_http, hangs_end_with_the_deadline) {
    process in;
    stand_in<tool_server> tool(in, quick_tool(), in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    for (const char* kind : {"hang", "hang_after"}) {
        tool.set_faults(std::string(R"({"faults":[{"path":"/v1/tools/hold/invoke","kind":")") +
                        kind + R"("}]})");
        const auto late = invoke(in, *client, kind, base::milliseconds(50));
        cr_assert_eq(base::details_of(late.status()).reason, "tool_timeout");
        cr_assert(base::details_of(late.status()).was_executed == base::executed::unknown);
    }
    cr_assert_eq(runs_in_ledger(in, tool.address()), 1, "only hang_after ran");
}

Test(tool_over_http, a_failure_says_that_it_ran) {
    process in;
    auto options = quick_tool();
    options.model.fail_probability = 1;
    stand_in<tool_server> tool(in, options, in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    const auto failed = invoke(in, *client, "k");
    cr_assert_eq(base::details_of(failed.status()).reason, "tool_failed");
    cr_assert(base::details_of(failed.status()).was_executed == base::executed::yes);
    cr_assert_eq(base::details_of(query(in, *client, "k", false)->failure).reason, "tool_failed");
}
