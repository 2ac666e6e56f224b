/// The event loop of a process. The interface hides Asio, so that modules above `net` compile
/// without the headers of Boost.
///
/// Every callback of every object in `net` runs on the thread that is inside `run`.
#pragma once

#include <functional>
#include <memory>

#include "pearbarrow/base/clock.h"

namespace boost::asio {
class io_context;
}

namespace pearbarrow::net {

/// A pending timer. Destroying the handle or calling `cancel` prevents the callback.
class timer_handle {
  public:
    virtual ~timer_handle() = default;
    virtual void cancel() = 0;
};

class event_loop {
  public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs on the calling thread until `stop`.
    void run();
    void stop();

    /// Runs `task` on the loop as soon as possible. May be called from any thread.
    void post(std::function<void()> task);
    /// Runs `task` once after `delay`, unless the handle is destroyed or cancelled before.
    [[nodiscard]] std::unique_ptr<timer_handle> after(base::microseconds delay,
                                                      std::function<void()> task);
    /// Runs `task` every `period` until the handle is destroyed or cancelled.
    [[nodiscard]] std::unique_ptr<timer_handle> every(base::microseconds period,
                                                      std::function<void()> task);
    /// Runs `task` at the first SIGTERM or SIGINT.
    void on_stop_signal(std::function<void()> task);
    /// Runs `task` at each SIGHUP.
    void on_reload_signal(std::function<void()> task);

    boost::asio::io_context& context();

  private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace pearbarrow::net
