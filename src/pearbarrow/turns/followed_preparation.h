/// A preparation that begins anew where it has counted on voters that are replaced by now.
#pragma once

#include <functional>
#include <memory>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/turns/turn_preparation.h"

namespace pearbarrow::turns {

/// The members asked before have the reservation already, and take it again without a change. All
/// attempts together have the time of one preparation.
class followed_preparation final : public turn_operation {
  public:
    followed_preparation(net::event_loop& loop, const base::clock& clock, member_caller& caller,
                         const client_options& options, group_views& views, turn_request request,
                         std::function<void(prepared_turn)> done);

    void start();

  private:
    void take_outdated(bool is_told);

    net::event_loop& loop;
    const base::clock& clock;
    member_caller& caller;
    client_options options;
    group_views& views;
    turn_request request;
    std::function<void(prepared_turn)> done;
    base::instant ends_at;
    std::unique_ptr<turn_preparation> attempt;
    std::unique_ptr<net::timer_handle> next;
};

}  // namespace pearbarrow::turns
