/// A moment at which something is given up, moved often and reached seldom. Internal to `net`.
#pragma once

#include <functional>
#include <memory>

#include "pearbarrow/base/clock.h"

namespace boost::asio {
class io_context;
}

namespace pearbarrow::net {

/// Monotonic time of this process.
base::instant now();

/// Calls back once when the set moment passes. Moving the moment later does not touch the timer:
/// it is armed again only when it fires too early.
class deadline {
  public:
    deadline(boost::asio::io_context& context, std::function<void()> on_expiry);
    ~deadline();
    deadline(const deadline&) = delete;
    deadline& operator=(const deadline&) = delete;

    void set(base::instant when);
    void set_after(base::microseconds delay) { set(now() + delay); }
    void clear();
    bool is_set() const;

  private:
    struct core;
    std::shared_ptr<core> core_;
};

}  // namespace pearbarrow::net
