/// The forwarding side of turns: reserves, reads chains and stores turns on the storage members.
///
/// Writes go to every member of the view; an operation succeeds once a majority has confirmed it.
/// No member leads, so the loss of any minority delays nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/ended_objects.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/turns/majority_write.h"
#include "pearbarrow/turns/turn_admission.h"
#include "pearbarrow/turns/turn_operation.h"

namespace pearbarrow::turns {

class turn_client {
  public:
    turn_client(net::event_loop& loop, const base::clock& clock, member_caller& caller,
                client_options options);
    ~turn_client();
    turn_client(const turn_client&) = delete;
    turn_client& operator=(const turn_client&) = delete;

    void set_view(const directory::storage_view& view) { view_ = view; }

    /// Reserves and reads, once the members have room for it. `done` runs once.
    [[nodiscard]] std::unique_ptr<turn_operation> prepare(turn_request request,
                                                          std::function<void(prepared_turn)> done);
    /// Stores a turn that has ended, with its cost. `done` runs once a majority has it, or with an
    /// error after `timeout`.
    [[nodiscard]] std::unique_ptr<turn_operation> store(finish_request request,
                                                        base::milliseconds timeout,
                                                        std::function<void(absl::Status)> done);
    /// Tells the members what a turn cost, without an answer being waited for.
    void settle(const reservation& settled);
    const turn_admission& admission() const { return admission_; }

  private:
    net::event_loop& loop_;
    member_caller& caller_;
    client_options options_;
    directory::storage_view view_;
    /// Writes that have not reached every member yet.
    std::map<std::uint64_t, std::shared_ptr<majority_write>> writes_;
    net::ended_objects<std::shared_ptr<majority_write>> ended_;
    std::uint64_t last_write_ = 0;
    turn_admission admission_;
};

}  // namespace pearbarrow::turns
