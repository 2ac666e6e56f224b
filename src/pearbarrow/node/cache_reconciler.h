/// Finds programs that hold an engine's memory though they have ended: orphans.
///
/// A release can be lost together with the owner that sent it, and an attempt that was in doubt can
/// pin memory after the release. The engine's full listing tells what it holds; the owners tell
/// which of those programs live. Only a program of which its owner says that it does not live is
/// freed. What an engine has not confirmed stays in its next listing, and is freed again. Pure.
#pragma once

#include <map>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"

namespace pearbarrow::node {

struct cache_reconciler_options {
    /// Between two listings of one engine.
    base::milliseconds interval{10'000};
    /// A program must have been listed for this long before anyone is asked about it.
    base::milliseconds grace{10'000};
};

/// An order to free what `engine` holds for `program`.
struct cache_orphan {
    base::backend_id engine;
    base::program_id program;
    auto operator<=>(const cache_orphan&) const = default;
};

class cache_reconciler {
  public:
    explicit cache_reconciler(cache_reconciler_options options) : options_(options) {}

    /// The engines of the cells that this node dispatches; others are forgotten.
    void set_engines(const std::vector<base::backend_id>& engines);
    /// Engines to list now. Each is named once an interval.
    std::vector<base::backend_id> due(base::instant now);
    /// What `engine` holds. The answer: programs whose owners are to be asked.
    std::vector<base::program_id> take_listing(const base::backend_id& engine,
                                               const std::vector<base::program_id>& programs,
                                               base::instant now);
    /// Programs that do not live, by their owners' word. The answer: what to free, where.
    std::vector<cache_orphan> take_ended(const std::vector<base::program_id>& programs) const;

  private:
    struct watched_engine {
        base::instant next_listing{};
        /// Since when each program has been in every listing.
        std::map<base::program_id, base::instant> held_since;
    };

    cache_reconciler_options options_;
    std::map<base::backend_id, watched_engine> engines_;
};

}  // namespace pearbarrow::node
