/// The one event loop of a process, behind an interface without Asio, so that modules above `net`
/// compile without Boost's headers.
///
/// Every callback of every object in `net` runs on the thread inside `run`.
#pragma once

#include <functional>
#include <memory>

#include "pearbarrow/base/clock.h"

namespace boost::asio {
class io_context;
}

namespace pearbarrow::net {

/// A pending timer. Destroying it, or calling `cancel`, keeps the callback from running.
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

    /// Runs until `stop`, on the calling thread.
    void run();
    void stop();

    /// Runs `task` on the loop as soon as possible; callable from any thread.
    void post(std::function<void()> task);
    /// Runs `task` once after `delay`, unless the handle is destroyed or cancelled before.
    [[nodiscard]] std::unique_ptr<timer_handle> after(base::microseconds delay,
                                                      std::function<void()> task);
    /// Runs `task` every `period`, unless the handle is destroyed or cancelled.
    [[nodiscard]] std::unique_ptr<timer_handle> every(base::microseconds period,
                                                      std::function<void()> task);
    /// Calls `task` at the first SIGTERM or SIGINT.
    void on_stop_signal(std::function<void()> task);
    /// Calls `task` at each SIGHUP.
    void on_reload_signal(std::function<void()> task);

    boost::asio::io_context& context();

  private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace pearbarrow::net
