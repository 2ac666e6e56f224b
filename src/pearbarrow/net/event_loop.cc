#include "pearbarrow/net/event_loop.h"

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <optional>

namespace pearbarrow::net {
namespace {

class timer_core final : public std::enable_shared_from_this<timer_core> {
  public:
    timer_core(boost::asio::io_context& context, std::function<void()> task, bool repeats,
               base::microseconds period)
        : timer_(context), task_(std::move(task)), repeats_(repeats), period_(period) {}

    void arm() {
        timer_.expires_after(period_);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && !self->cancelled_) {
                self->fire();
            }
        });
    }

    void cancel() {
        cancelled_ = true;
        timer_.cancel();
    }

  private:
    void fire() {
        if (!repeats_) {
            cancelled_ = true;
            // The task is moved out so that its captures are freed after it has run.
            const std::function<void()> task = std::move(task_);
            task();
            return;
        }
        task_();
        if (!cancelled_) {
            arm();
        }
    }

    boost::asio::steady_timer timer_;
    std::function<void()> task_;
    bool repeats_;
    base::microseconds period_;
    bool cancelled_ = false;
};

class timer_owner final : public timer_handle {
  public:
    explicit timer_owner(std::shared_ptr<timer_core> core) : core_(std::move(core)) {
        core_->arm();
    }
    timer_owner(const timer_owner&) = delete;
    timer_owner& operator=(const timer_owner&) = delete;
    ~timer_owner() override { core_->cancel(); }
    void cancel() override { core_->cancel(); }

  private:
    std::shared_ptr<timer_core> core_;
};

}  // namespace

struct event_loop::state {
    // One thread runs the loop; `post` remains safe from other threads.
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        context.get_executor()};
    std::optional<boost::asio::signal_set> stop_signals;
    std::optional<boost::asio::signal_set> reload_signals;

    void wait_for_reload(std::function<void()> task) {
        reload_signals->async_wait(
            [this, task = std::move(task)](const boost::system::error_code& error, int /*signal*/) {
                if (!error) {
                    task();
                    wait_for_reload(task);
                }
            });
    }
};

event_loop::event_loop() : state_(std::make_unique<state>()) {}

event_loop::~event_loop() = default;

void event_loop::run() {
    state_->context.restart();
    state_->context.run();
}

void event_loop::stop() {
    state_->context.stop();
}

void event_loop::post(std::function<void()> task) {
    boost::asio::post(state_->context, std::move(task));
}

std::unique_ptr<timer_handle> event_loop::after(base::microseconds delay,
                                                std::function<void()> task) {
    return std::make_unique<timer_owner>(
        std::make_shared<timer_core>(state_->context, std::move(task), false, delay));
}

std::unique_ptr<timer_handle> event_loop::every(base::microseconds period,
                                                std::function<void()> task) {
    return std::make_unique<timer_owner>(
        std::make_shared<timer_core>(state_->context, std::move(task), true, period));
}

void event_loop::on_stop_signal(std::function<void()> task) {
    state_->stop_signals.emplace(state_->context, SIGTERM, SIGINT);
    state_->stop_signals->async_wait(
        [task = std::move(task)](const boost::system::error_code& error, int /*signal*/) {
            if (!error) {
                task();
            }
        });
}

void event_loop::on_reload_signal(std::function<void()> task) {
    state_->reload_signals.emplace(state_->context, SIGHUP);
    state_->wait_for_reload(std::move(task));
}

boost::asio::io_context& event_loop::context() {
    return state_->context;
}

}  // namespace pearbarrow::net
