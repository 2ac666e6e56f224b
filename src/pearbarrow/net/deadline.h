/// A timeout that is extended often and expires rarely. Internal to `net`.
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

/// Runs a callback once when the deadline passes. Extending the deadline does not touch the timer:
/// the timer is restarted only when it fires too early.
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
