#include <string>

#include "pearbarrow/base/status.h"
#include "scheduler_fixture.h"

#include <criterion/criterion.h>

namespace pearbarrow::placement {
namespace {

decision_record granted_record() {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    cell.feed(engine_state_event{base::backend_id("b"), true, false});
    cell.give(cell.offer("0", "p0"));
    const auto actions = cell.give(cell.offer("1", "p1"));
    return *std::get<grant_action>(actions.front()).decision;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

Test(decision, a_record_survives_the_wire_and_verifies) {
    const decision_record record = granted_record();
    const auto decoded = decode_record(encode_record(record));
    cr_assert(decoded.ok());
    cr_assert(verify(*decoded).ok());
    cr_assert_eq(redecide(*decoded).backend.value(), "a");
}

Test(decision, a_forged_record_does_not_verify) {
    decision_record record = granted_record();
    record.outcome.backend = base::backend_id("b");
    const absl::Status status = verify(record);
    cr_assert(!status.ok());
    cr_assert_eq(base::details_of(status).reason, "decision_differs");
    record = granted_record();
    record.inputs.candidates[1].eligible = true;
    record.inputs.candidates[0].in_flight = 2;
    cr_assert(!verify(record).ok());
}

Test(decision, damaged_bytes_are_no_record) {
    std::string bytes = encode_record(granted_record());
    bytes.resize(bytes.size() / 2);
    cr_assert(!decode_record(bytes).ok());
}

Test(decision, an_explanation_names_engines_ages_and_what_would_change_it) {
    const std::string text = explain(granted_record());
    cr_assert(contains(text, "granted on a"), "%s", text.c_str());
    cr_assert(contains(text, "b: excluded, draining"), "%s", text.c_str());
    cr_assert(contains(text, "with b allowed"), "%s", text.c_str());
    cr_assert(contains(text, "no load report"), "%s", text.c_str());
    cr_assert(contains(explain_json(granted_record()), "\"reason\":\"placed_least_wait\""));
}

Test(decision, a_waiting_call_says_what_it_waits_for) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    for (const char* name : {"1", "2", "3"}) {
        cell.give(cell.offer(name, name));
    }
    const auto record = cell.scheduler.explain(base::attempt_id("3"), cell.now);
    cr_assert(record.has_value());
    cr_assert_eq(record->outcome.reason, reason::waiting_for_capacity);
    cr_assert(contains(explain(*record), "with a idle: granted"), "%s", explain(*record).c_str());
    cr_assert(!cell.scheduler.explain(base::attempt_id("unknown"), cell.now));
}

Test(decision, records_are_bounded) {
    scheduler_fixture cell({.record_limit = 2});
    cell_engine engine = cell.engine("a");
    engine.in_flight_limit = 10;
    cell.set_engines({engine});
    for (const char* name : {"1", "2", "3"}) {
        cell.give(cell.offer(name, name));
    }
    cr_assert(!cell.scheduler.explain(base::attempt_id("1"), cell.now));
    cr_assert(cell.scheduler.explain(base::attempt_id("3"), cell.now).has_value());
}

}  // namespace
}  // namespace pearbarrow::placement
