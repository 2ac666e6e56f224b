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
    cell.submit(cell.offer("0", "p0"));
    const auto actions = cell.submit(cell.offer("1", "p1"));
    return *std::get<grant_action>(actions.front()).decision;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

Test(decision, encoded_record_decodes_and_verifies) {
    const decision_record record = granted_record();
    const auto decoded = decode_record(encode_record(record));
    cr_assert(decoded.ok());
    cr_assert(verify(*decoded).ok());
    cr_assert_eq(redecide(*decoded).backend.value(), "a");
}

Test(decision, altered_record_fails_verification) {
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

Test(decision, truncated_record_fails_to_decode) {
    std::string bytes = encode_record(granted_record());
    bytes.resize(bytes.size() / 2);
    cr_assert(!decode_record(bytes).ok());
}

Test(decision, explanation_names_engines_report_ages_and_alternatives) {
    const std::string text = explain(granted_record());
    cr_assert(contains(text, "granted on a"), "%s", text.c_str());
    cr_assert(contains(text, "b: excluded, draining"), "%s", text.c_str());
    cr_assert(contains(text, "with b allowed"), "%s", text.c_str());
    cr_assert(contains(text, "no load report"), "%s", text.c_str());
    cr_assert(contains(explain_json(granted_record()), "\"reason\":\"placed_least_wait\""));
}

Test(decision, explanation_of_waiting_call_names_missing_capacity) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    for (const char* name : {"1", "2", "3"}) {
        cell.submit(cell.offer(name, name));
    }
    const auto record = cell.scheduler.explain(base::attempt_id("3"), cell.now);
    cr_assert(record.has_value());
    cr_assert_eq(record->outcome.reason, reason::waiting_for_capacity);
    cr_assert(contains(explain(*record), "with a idle: granted"), "%s", explain(*record).c_str());
    cr_assert(!cell.scheduler.explain(base::attempt_id("unknown"), cell.now));
}

Test(decision, record_store_evicts_oldest_records) {
    scheduler_fixture cell({.record_limit = 2});
    cell_engine engine = cell.engine("a");
    engine.in_flight_limit = 10;
    cell.set_engines({engine});
    for (const char* name : {"1", "2", "3"}) {
        cell.submit(cell.offer(name, name));
    }
    cr_assert(!cell.scheduler.explain(base::attempt_id("1"), cell.now));
    cr_assert(cell.scheduler.explain(base::attempt_id("3"), cell.now).has_value());
}

}  // namespace
}  // namespace pearbarrow::placement
