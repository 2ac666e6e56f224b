#include "pearbarrow/net/deadline.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>

namespace pearbarrow::net {

base::instant now() {
    return base::system_clock_source().now();
}

struct deadline::core : std::enable_shared_from_this<deadline::core> {
    core(boost::asio::io_context& context, std::function<void()> callback)
        : timer(context), on_expiry(std::move(callback)) {}

    void arm(base::instant when) {
        armed = when;
        timer.expires_at(when);
        timer.async_wait([self = shared_from_this(), when](const boost::system::error_code& error) {
            if (!error && self->armed == when) {
                self->armed.reset();
                self->fire();
            }
        });
    }

    void fire() {
        if (!expires_at.has_value() || abandoned) {
            return;
        }
        if (now() < *expires_at) {
            arm(*expires_at);
            return;
        }
        expires_at.reset();
        // The copy is needed because the callback may destroy the deadline.
        const auto callback = on_expiry;
        callback();
    }

    boost::asio::steady_timer timer;
    std::function<void()> on_expiry;
    std::optional<base::instant> expires_at;
    std::optional<base::instant> armed;
    bool abandoned = false;
};

deadline::deadline(boost::asio::io_context& context, std::function<void()> on_expiry)
    : core_(std::make_shared<core>(context, std::move(on_expiry))) {}

deadline::~deadline() {
    core_->abandoned = true;
    core_->on_expiry = nullptr;
    if (core_->armed.has_value()) {
        core_->timer.cancel();
    }
}

void deadline::set(base::instant when) {
    core_->expires_at = when;
    if (!core_->armed.has_value() || *core_->armed > when) {
        core_->arm(when);
    }
}

void deadline::clear() {
    core_->expires_at.reset();
}

bool deadline::is_set() const {
    return core_->expires_at.has_value();
}

}  // namespace pearbarrow::net
