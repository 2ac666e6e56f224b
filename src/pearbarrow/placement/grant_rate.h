/// Grants a second while calls wait: the rate at which the queue drains.
#pragma once

#include "pearbarrow/base/clock.h"

namespace pearbarrow::placement {

class grant_rate {
  public:
    /// Time passed up to `now`, with calls waiting or not.
    void advance(base::instant now, bool calls_waited);
    void add_grant() { grants_ += waited_ ? 1 : 0; }
    /// 0 until calls have waited for a second in all.
    double per_second() const;

  private:
    double grants_ = 0;
    double busy_seconds_ = 0;
    base::instant last_;
    bool waited_ = false;
};

}  // namespace pearbarrow::placement
