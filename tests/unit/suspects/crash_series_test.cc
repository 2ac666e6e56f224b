// Harmless requests while back ends crash without any request's doing.
#include "isolation_simulation.h"

using namespace pearbarrow;
using namespace pearbarrow::suspects;
using namespace pearbarrow::suspects::testing;

Test(isolation_simulation, crashes_in_series_refuse_nobody) {
    for (const int interval_ms : {500, 1'000, 2'000, 4'000}) {
        const outcome sum = sum_of({.crash_interval = milliseconds{interval_ms}}, 240);
        log(("crashes, interval " + std::to_string(interval_ms) + " ms").c_str(), sum);
        cr_assert(sum.harmless_refused == 0, "%d", sum.harmless_refused);
    }
}
