/// One request on its way from a gateway to an owner, and its answer's way back.
#pragma once

#include <cstdint>
#include <memory>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/bench/faults_service.h"

namespace pearbarrow::bench::faults {

class fault_world;

/// A connection: what arrives, arrives in order; it breaks with either process or with a cut.
class request_route : public std::enable_shared_from_this<request_route> {
  public:
    /// `number` is unique in the run.
    request_route(fault_world& world, std::uint64_t number, std::size_t gateway,
                  wire::program_request request, answer_callbacks callbacks);

    /// Sends the request to `owner`.
    void begin(std::size_t owner);

    // At the owner.
    void part(const wire::reply_part& part);
    void finish(const absl::StatusOr<wire::program_reply>& answer);

    /// The process on node `number` is gone.
    void process_died(std::size_t number);

  private:
    void deliver(event_queue::task arrive);
    void conclude(const absl::StatusOr<wire::program_reply>& answer);
    void break_off();

    fault_world& world_;
    std::uint64_t number_;
    std::size_t gateway_;
    std::size_t owner_ = 0;
    wire::program_request request_;
    answer_callbacks callbacks_;
    bool broken_ = false;
    bool done_ = false;
    base::instant last_{};
};

}  // namespace pearbarrow::bench::faults
