/// Grants per second while calls wait: the drain rate of the queue.
#pragma once

#include "pearbarrow/base/clock.h"

namespace pearbarrow::placement {

class grant_rate {
  public:
    /// Advances the time to `now`. The elapsed time counts only if `calls_waited`.
    void advance(base::instant now, bool calls_waited);
    void add_grant() { grants_ += waited_ ? 1 : 0; }
    /// Returns 0 until calls have waited for one second in total.
    double per_second() const;

  private:
    double grants_ = 0;
    double busy_seconds_ = 0;
    base::instant last_;
    bool waited_ = false;
};

}  // namespace pearbarrow::placement
