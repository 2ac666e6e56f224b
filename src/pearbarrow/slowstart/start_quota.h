/// Requests permits from a few storage members, each of which grants from its own share of a back
/// end's rate.
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

/// Returns options of the client that requests permits.
tenants::quota_client_options permit_client_options();

class start_quota final : public permit_source {
  public:
    start_quota(net::event_loop& loop, const base::clock& clock, base::random_source& random,
                tenants::quota_client& client)
        : loop(loop), clock(clock), random(random), client(client) {}

    [[nodiscard]] std::unique_ptr<turns::turn_operation> request_permit(
        const cold_start& target, std::function<void(const permit_decision&)> done) override;

  private:
    void on_decision(const std::string& backend, const tenants::quota_decision& decision,
                     const std::function<void(const permit_decision&)>& done);

    net::event_loop& loop;
    const base::clock& clock;
    base::random_source& random;
    tenants::quota_client& client;
    /// Back ends whose members have all refused, with the time until which no member is called.
    std::map<std::string, base::instant, std::less<>> exhausted_until;
};

}  // namespace pearbarrow::slowstart
