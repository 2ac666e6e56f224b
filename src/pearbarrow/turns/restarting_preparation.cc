#include "pearbarrow/turns/restarting_preparation.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::turns {

restarting_preparation::restarting_preparation(net::event_loop& loop, const base::clock& clock,
                                               member_caller& caller, const client_options& options,
                                               group_views& views, turn_request request,
                                               std::function<void(prepared_turn)> done)
    : loop(loop),
      clock(clock),
      caller(caller),
      options(options),
      views(views),
      request(std::move(request)),
      done(std::move(done)),
      deadline(clock.now() + options.reserve_timeout) {}

void restarting_preparation::start() {
    const auto left =
        std::chrono::duration_cast<base::milliseconds>(this->deadline - this->clock.now());
    this->options.reserve_timeout = std::max(left, base::milliseconds{0});
    this->attempt = std::make_unique<turn_preparation>(
        this->loop, this->caller, this->options, this->views, this->request,
        turn_preparation::callbacks{
            .done = [this](prepared_turn prepared) { this->done(std::move(prepared)); },
            .outdated = [this](bool names_voters) { this->on_outdated(names_voters); }});
    this->attempt->start();
}

/// The restart is deferred because this runs inside a callback of the attempt. If the member could
/// not name the newer voters, the restart also waits until the directory may have delivered them.
void restarting_preparation::on_outdated(bool names_voters) {
    const base::milliseconds delay =
        names_voters ? base::milliseconds{0} : this->options.retry_interval;
    this->restart = this->loop.after(delay, [this] { this->start(); });
}

}  // namespace pearbarrow::turns
