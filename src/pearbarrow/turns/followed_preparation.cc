#include "pearbarrow/turns/followed_preparation.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::turns {

followed_preparation::followed_preparation(net::event_loop& loop, const base::clock& clock,
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
      ends_at(clock.now() + options.reserve_timeout) {}

void followed_preparation::start() {
    const auto left =
        std::chrono::duration_cast<base::milliseconds>(this->ends_at - this->clock.now());
    this->options.reserve_timeout = std::max(left, base::milliseconds{0});
    this->attempt = std::make_unique<turn_preparation>(
        this->loop, this->caller, this->options, this->views, this->request,
        turn_preparation::callbacks{
            .done = [this](prepared_turn prepared) { this->done(std::move(prepared)); },
            .outdated = [this](bool is_told) { this->take_outdated(is_told); }});
    this->attempt->start();
}

/// Later, since this runs inside the attempt; and after a while where the member could not say who
/// the voters are, which the directory then tells.
void followed_preparation::take_outdated(bool is_told) {
    const base::milliseconds pause = is_told ? base::milliseconds{0} : this->options.retry_interval;
    this->next = this->loop.after(pause, [this] { this->start(); });
}

}  // namespace pearbarrow::turns
