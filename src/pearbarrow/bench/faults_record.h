/// A simulated run as the history that the offline checker reads.
#pragma once

#include "pearbarrow/bench/checker.h"
#include "pearbarrow/bench/faults_history.h"
#include "pearbarrow/bench/history.h"

namespace pearbarrow::bench::faults {

bench::history to_checked_history(const run_history& run);

/// False when the history promises nothing that the violation breaks: a run that comes late breaks
/// the order only if its call was not answered as `executed: unknown`.
bool is_promised(const run_history& run, const bench::violation& found);

}  // namespace pearbarrow::bench::faults
