/// Permits granted by a few storage members, each from its own part of a back end's rate.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/slowstart/start_permit.h"
#include "pearbarrow/tenants/quota_client.h"

namespace pearbarrow::slowstart {

/// Options of the client by which permits are asked for.
tenants::quota_client_options permit_client_options();

class start_quota final : public permit_source {
  public:
    start_quota(net::event_loop& loop, const base::clock& clock, base::random_source& random,
                tenants::quota_client& client)
        : loop(loop), clock(clock), random(random), client(client) {}

    [[nodiscard]] std::unique_ptr<turns::turn_operation> ask(
        const cold_start& target, std::function<void(const permit_decision&)> done) override;

  private:
    void take(const std::string& backend, const tenants::quota_decision& decision,
              const std::function<void(const permit_decision&)>& done);

    net::event_loop& loop;
    const base::clock& clock;
    base::random_source& random;
    tenants::quota_client& client;
    /// Back ends whose members have all refused, until when nobody is asked again.
    std::map<std::string, base::instant, std::less<>> used_up_until;
};

}  // namespace pearbarrow::slowstart
