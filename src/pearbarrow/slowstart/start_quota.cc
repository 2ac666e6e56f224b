#include "pearbarrow/slowstart/start_quota.h"

#include <chrono>
#include <utility>

#include "pearbarrow/slowstart/start_limits.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::slowstart {
namespace {

/// Timeout of one call. Sending the request to another back end is better than waiting for a slow
/// member. A reply between zones takes 3 to 8 ms.
constexpr base::milliseconds call_timeout{40};

/// Delivers a decision that needs no call to a member.
class immediate_decision final : public turns::turn_operation {
  public:
    immediate_decision(net::event_loop& loop, permit_decision decision,
                       std::function<void(const permit_decision&)> done)
        : timer(loop.after(base::milliseconds{0},
                           [decision, done = std::move(done)] { done(decision); })) {}

  private:
    std::unique_ptr<net::timer_handle> timer;
};

permit_verdict verdict_of(tenants::quota_verdict verdict) {
    switch (verdict) {
        case tenants::quota_verdict::granted:
            return permit_verdict::granted;
        case tenants::quota_verdict::over_limit:
            return permit_verdict::refused;
        case tenants::quota_verdict::no_reply:
            return permit_verdict::no_reply;
    }
    return permit_verdict::no_reply;
}

}  // namespace

tenants::quota_client_options permit_client_options() {
    tenants::quota_client_options options;
    options.method = wire::start_permit;
    options.call_timeout = call_timeout;
    options.min_retry_after = base::milliseconds{10};
    // Members extend their window by 200 ms, of which 50 ms are reserved for connecting.
    options.grant_lifetime = base::milliseconds{150};
    return options;
}

std::unique_ptr<turns::turn_operation> start_quota::request_permit(
    const cold_start& target, std::function<void(const permit_decision&)> done) {
    const base::instant now = this->clock.now();
    std::erase_if(this->exhausted_until, [now](const auto& item) { return item.second <= now; });
    if (const auto exhausted = this->exhausted_until.find(target.backend);
        exhausted != this->exhausted_until.end()) {
        const auto wait = std::chrono::ceil<base::milliseconds>(exhausted->second - now);
        return std::make_unique<immediate_decision>(
            this->loop, permit_decision{.verdict = permit_verdict::refused, .retry_after = wait},
            std::move(done));
    }
    // Each request starts with a random member, so that all shares are used evenly.
    return this->client.request_grant(
        {.tenant = permit_limit_name(target.backend), .program = this->random.next() | 1U},
        [this, backend = target.backend,
         done = std::move(done)](const tenants::quota_decision& decision) {
            this->on_decision(backend, decision, done);
        });
}

void start_quota::on_decision(const std::string& backend, const tenants::quota_decision& decision,
                              const std::function<void(const permit_decision&)>& done) {
    const permit_verdict verdict = verdict_of(decision.verdict);
    if (verdict == permit_verdict::refused) {
        this->exhausted_until[backend] = this->clock.now() + decision.retry_after;
    }
    done({.verdict = verdict, .retry_after = decision.retry_after});
}

}  // namespace pearbarrow::slowstart
