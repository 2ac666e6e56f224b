#include "pearbarrow/bench/history.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::bench;

Test(history, records_read_back_as_written) {
    const call_refused written{.program = base::program_id("p"),
                               .call = base::call_number(3),
                               .at = 5,
                               .status = 503,
                               .reason = "no_quorum",
                               .executed = base::executed::no,
                               .sent_again = true};
    history run;
    cr_assert(add_history_line(to_json(written).dump(), run).ok());
    cr_assert(run.refused.size() == 1);
    cr_assert(run.refused[0].call == written.call);
    cr_assert(run.refused[0].executed == base::executed::no);
    cr_assert(run.refused[0].sent_again);
}

Test(history, joins_an_engine_run_with_its_end) {
    history run;
    cr_assert(add_history_line(R"({"event":"engine_arrival","engine":"e","attempt":"a",)"
                               R"("program":"p","call":1,"at_us":7,"outcome":"accepted",)"
                               R"("conversation":"00000000000000ff"})",
                               run)
                  .ok());
    cr_assert(add_history_line(R"({"event":"engine_end","engine":"e","attempt":"a","at_us":9,)"
                               R"("state":"finished",)"
                               R"("usage":{"prompt_tokens":30,"completion_tokens":12}})",
                               run)
                  .ok());
    cr_assert(run.runs.size() == 1);
    cr_assert(run.runs[0].conversation == 255);
    cr_assert(run.runs[0].metered_tokens == 42);
    cr_assert(run.runs[0].ended_at == 9);
}

Test(history, an_arrival_that_attached_is_no_run_of_its_own) {
    history run;
    cr_assert(add_history_line(R"({"event":"engine_arrival","outcome":"attached"})", run).ok());
    cr_assert(run.runs.empty());
}

Test(history, a_malformed_line_is_an_error) {
    history run;
    cr_assert(!add_history_line("{\"event\":", run).ok());
    cr_assert(!add_history_line(R"({"event":"program_ended"})", run).ok());
}
