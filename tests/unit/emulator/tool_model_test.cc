#include "pearbarrow/emulator/tool_model.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

namespace {

constexpr base::instant start{};
const base::tool_name hold("hold");

tool_options fixed_latency() {
    return {.latency = {latency_shape::fixed, base::milliseconds(20), 0}};
}

tool_request request_with(const std::string& key) {
    return {.tool = hold, .key = key, .arguments = "{}"};
}

}  // namespace

Test(tool_model, a_run_takes_its_latency) {
    tool_model model(fixed_latency());
    const auto begun = model.start(request_with("k"), start);
    cr_assert(begun.kind == tool_start_kind::started);
    cr_assert(model.advance(start + base::milliseconds(19)).empty());
    cr_assert_eq(model.advance(start + base::milliseconds(20)).size(), 1);
    cr_assert(model.run(begun.run).ended == start + base::milliseconds(20));
}

Test(tool_model, a_key_runs_once) {
    tool_model model(fixed_latency());
    const auto first = model.start(request_with("k"), start);
    const auto again = model.start(request_with("k"), start);
    cr_assert(again.kind == tool_start_kind::repeated);
    cr_assert_eq(again.run, first.run);
    auto elsewhere = request_with("k");
    elsewhere.tool = base::tool_name("ship");
    cr_assert(model.start(elsewhere, start).kind == tool_start_kind::started, "keys are per tool");
    cr_assert_eq(model.ledger().size(), 2);
}

Test(tool_model, without_keys_repeats_run_and_nobody_can_tell) {
    auto options = fixed_latency();
    options.keeps_keys = false;
    tool_model model(options);
    model.start(request_with("k"), start);
    model.start(request_with("k"), start);
    cr_assert_eq(model.ledger().size(), 2);
    cr_assert(model.query(hold, "k", true).state == key_state::cannot_tell);
}

Test(tool_model, query_tells_the_state_of_a_key) {
    tool_model model(fixed_latency());
    cr_assert(model.query(hold, "k", false).state == key_state::never_seen);
    model.start(request_with("k"), start);
    cr_assert(model.query(hold, "k", false).state == key_state::running);
    model.advance(start + base::milliseconds(20));
    cr_assert(model.query(hold, "k", false).state == key_state::completed);
}

Test(tool_model, a_fenced_key_never_runs) {
    tool_model model(fixed_latency());
    cr_assert_not(model.query(hold, "k", false).fenced);
    cr_assert(model.query(hold, "k", true).fenced);
    cr_assert(model.start(request_with("k"), start).kind == tool_start_kind::fenced);
    cr_assert(model.ledger().empty());
}

Test(tool_model, a_fence_after_the_start_does_not_take) {
    tool_model model(fixed_latency());
    model.start(request_with("k"), start);
    const auto view = model.query(hold, "k", true);
    cr_assert(view.state == key_state::running);
    cr_assert_not(view.fenced);
}

Test(tool_model, fails_and_hangs_as_often_as_told) {
    auto options = fixed_latency();
    options.fail_probability = 0.25;
    options.hang_probability = 0.1;
    tool_model model(options);
    for (int index = 0; index < 2'000; ++index) {
        model.start(request_with(std::to_string(index)), start);
    }
    const auto ended = model.advance(start + base::seconds(1));
    cr_assert_gt(ended.size(), 1'700);
    cr_assert_lt(ended.size(), 1'900);
    const auto failed = std::count_if(model.ledger().begin(), model.ledger().end(),
                                      [](const tool_run& run) { return run.failed; });
    cr_assert_gt(failed, 400);
    cr_assert_lt(failed, 600);
}

Test(latency, parses_what_the_flag_describes) {
    cr_assert(parse_latency("fixed:20ms")->typical == base::milliseconds(20));
    cr_assert(parse_latency("exponential:1.5s")->typical == base::milliseconds(1'500));
    cr_assert_float_eq(parse_latency("lognormal:200ms:0.6")->spread, 0.6, 1e-9);
    for (const char* bad : {"", "fixed", "fixed:", "fixed:20", "gamma:1s", "fixed:-1s",
                            "uniform:1s:x", "fixed:1s:1:1"}) {
        cr_assert_not(parse_latency(bad).has_value(), "%s", bad);
    }
}

Test(latency, draws_have_the_right_middle) {
    base::random_source random(3);
    const auto lognormal = *parse_latency("lognormal:100ms:0.5");
    int above = 0;
    for (int index = 0; index < 10'000; ++index) {
        above += lognormal.draw(random) > base::milliseconds(100) ? 1 : 0;
    }
    cr_assert_gt(above, 4'700);
    cr_assert_lt(above, 5'300);
}
