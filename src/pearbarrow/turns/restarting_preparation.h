/// Restarts the preparation of a turn when the voters that it was sent to have been replaced.
#pragma once

#include <functional>
#include <memory>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/turns/turn_preparation.h"

namespace pearbarrow::turns {

/// A repeated reservation has no effect at members that already have it. All attempts together are
/// bounded by the timeout of one preparation.
class restarting_preparation final : public turn_operation {
  public:
    restarting_preparation(net::event_loop& loop, const base::clock& clock, member_caller& caller,
                           const client_options& options, group_views& views, turn_request request,
                           std::function<void(prepared_turn)> done);

    void start();

  private:
    void on_outdated(bool names_voters);

    net::event_loop& loop;
    const base::clock& clock;
    member_caller& caller;
    client_options options;
    group_views& views;
    turn_request request;
    std::function<void(prepared_turn)> done;
    base::instant deadline;
    std::unique_ptr<turn_preparation> attempt;
    std::unique_ptr<net::timer_handle> restart;
};

}  // namespace pearbarrow::turns
