/// Reports parts of the directory that a node waits for longer than it should.
///
/// A node decides nothing that depends on a part before it has received it. It asks the directory
/// service and its peers until then; this object only tells operators about it.
#pragma once

#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/directory/directory_exchange.h"
#include "pearbarrow/net/event_loop.h"

namespace pearbarrow::fleet {

/// Returns the names of the parts that are not known yet.
std::vector<std::string_view> missing_parts_of(const directory::snapshot& known);

class missing_parts {
  public:
    missing_parts(net::event_loop& loop, const base::clock& clock,
                  const directory::directory_exchange& exchange);

    /// Starts to wait. A part that is still missing after `report_after` is logged.
    void start();
    /// Logs the reported parts that have been received. Must be called after each change.
    void update();
    /// Sets a gauge for each part.
    void collect(base::metrics_registry& registry) const;

    /// Longer than a fleet takes to form its first storage view.
    static constexpr base::milliseconds report_after{5'000};

  private:
    void report();
    std::int64_t waited_ms() const;

    net::event_loop& loop;
    const base::clock& clock;
    const directory::directory_exchange& exchange;
    base::instant started_at{};
    std::unique_ptr<net::timer_handle> timer;
    /// Parts that were logged as missing.
    std::set<std::string_view> reported;
};

}  // namespace pearbarrow::fleet
