// Tests which process a connection to a back end is known to lead to.
#include "pearbarrow/forward/process_evidence.h"

#include "pool_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using namespace pearbarrow::forward::testing;
using base::milliseconds;

namespace {

const evidence_options options;

base::instant at(std::int64_t ms) {
    return base::instant{milliseconds{ms}};
}

directory::backend started(const std::string& version, std::uint64_t started_at) {
    directory::backend backend = backend_of("b1");
    backend.version = {version, true};
    backend.started_at = started_at;
    return backend;
}

choice_request resumed_at(const std::string& version) {
    return {.service = "service",
            .version = directory::software_version{version, true},
            .requires_proof = true};
}

}  // namespace

Test(process_evidence, process_is_proven_once_its_own_entry_would_have_arrived) {
    process_evidence process;
    process.on_heard(options, at(10'000), at(10'000));
    cr_assert(!process.is_proven(options, at(11'900)));
    cr_assert(process.is_proven(options, at(12'000)));
}

Test(process_evidence, sign_of_an_end_does_not_change_what_was_heard_before) {
    process_evidence process;
    process.on_heard(options, at(10'000), at(11'000));
    process.on_doubt(at(11'000));
    cr_assert(process.is_proven(options, at(12'000)) && process.covers(options, at(10'500)));
    cr_assert(process.may_have_ended(options));
}

Test(process_evidence, process_heard_after_a_sign_of_an_end_is_observed_for_longer) {
    process_evidence process;
    process.on_heard(options, at(5'000), at(9'000));
    process.on_doubt(at(9'500));
    process.on_heard(options, at(10'000), at(10'000));
    cr_assert(!process.is_proven(options, at(14'900)));
    cr_assert(process.is_proven(options, at(15'000)));
}

Test(process_evidence, older_connection_that_is_heard_refutes_the_sign) {
    process_evidence process;
    process.on_heard(options, at(5'000), at(9'000));
    process.on_doubt(at(9'500));
    process.on_heard(options, at(5'000), at(9'700));
    cr_assert(!process.may_have_ended(options) && process.is_proven(options, at(9'700)));
}

Test(process_evidence, bytes_in_transit_do_not_refute_the_sign) {
    process_evidence process;
    process.on_heard(options, at(5'000), at(9'000));
    process.on_doubt(at(9'500));
    process.on_heard(options, at(5'000), at(9'550));
    cr_assert(process.may_have_ended(options));
}

Test(process_evidence, statement_needs_no_observation) {
    process_evidence process;
    process.on_doubt(at(9'000));
    process.on_stated(at(9'100));
    cr_assert(process.is_proven(options, at(9'100)) && !process.may_have_ended(options));
}

Test(process_evidence, resumed_stream_goes_only_to_a_proven_process) {
    pool_fixture fixture({started("v2", 1)});
    fixture.now = at(10'000);
    const directory::backend_incarnation process("b1", 1);
    cr_assert(!fixture.pool.choose(resumed_at("v2"), fixture.now).has_value());
    fixture.pool.on_process_heard(process, at(7'000), at(9'950));
    cr_assert(fixture.pool.choose(resumed_at("v2"), fixture.now).has_value());
    // It may have restarted since it was last heard.
    cr_assert(!fixture.pool.choose(resumed_at("v2"), at(10'200)).has_value());
    fixture.pool.on_process_stated(process, at(10'200));
    cr_assert(fixture.pool.choose(resumed_at("v2"), at(10'200)).has_value());
    fixture.pool.on_process_doubted(process, at(10'210));
    cr_assert(!fixture.pool.choose(resumed_at("v2"), at(10'210)).has_value());
}

Test(process_evidence, changed_entry_proves_only_what_was_proven_before) {
    for (const bool is_in_time : {true, false}) {
        pool_fixture fixture({started("v2", 1)});
        fixture.pool.on_process_heard(started("v2", 1).incarnation(), at(10'000), at(10'500));
        directory::backend_changes step{.revision = 2};
        step.present = {started("v3", 2)};
        fixture.pool.apply(step, at(is_in_time ? 12'100 : 11'500));
        cr_assert(fixture.pool.was_process_proven(started("v2", 1), at(10'000), at(13'000)) ==
                  is_in_time);
    }
}

Test(process_evidence, version_of_an_entry_without_start_time_shows_another_process) {
    pool_fixture fixture({started("v2", 0)});
    fixture.pool.on_process_heard(directory::backend_incarnation("b1"), at(7'000), at(9'950));
    directory::backend_changes step{.revision = 2};
    step.present = {started("v3", 0)};
    fixture.pool.apply(step, at(9'960));
    cr_assert(!fixture.pool.choose(resumed_at("v3"), at(10'000)).has_value());
}
