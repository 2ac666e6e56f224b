#include "pearbarrow/slowstart/start_quota.h"

#include <chrono>
#include <utility>

#include "pearbarrow/slowstart/start_limits.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::slowstart {
namespace {

/// The request goes to another back end at once, which is better than waiting for a slow member.
/// Answers take 3 to 8 ms between zones.
constexpr base::milliseconds patience{40};

/// An answer that needs no message.
class known_answer final : public turns::turn_operation {
  public:
    known_answer(net::event_loop& loop, permit_decision decision,
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
        case tenants::quota_verdict::unanswered:
            return permit_verdict::unanswered;
    }
    return permit_verdict::unanswered;
}

}  // namespace

tenants::quota_client_options permit_client_options() {
    tenants::quota_client_options options;
    options.method = wire::start_permit;
    options.patience = patience;
    options.least_retry_after = base::milliseconds{10};
    // Of the 200 ms by which members count their window longer, 50 are for the connection.
    options.grant_lifetime = base::milliseconds{150};
    return options;
}

std::unique_ptr<turns::turn_operation> start_quota::ask(
    const cold_start& target, std::function<void(const permit_decision&)> done) {
    const base::instant now = this->clock.now();
    std::erase_if(this->used_up_until, [now](const auto& item) { return item.second <= now; });
    if (const auto used_up = this->used_up_until.find(target.backend);
        used_up != this->used_up_until.end()) {
        const auto wait = std::chrono::ceil<base::milliseconds>(used_up->second - now);
        return std::make_unique<known_answer>(
            this->loop, permit_decision{.verdict = permit_verdict::refused, .retry_after = wait},
            std::move(done));
    }
    // Each question begins with another member: their shares are used evenly.
    return this->client.ask(
        {.tenant = limit_name(target.backend), .program = this->random.next() | 1U},
        [this, backend = target.backend, done = std::move(done)](
            const tenants::quota_decision& decision) { this->take(backend, decision, done); });
}

void start_quota::take(const std::string& backend, const tenants::quota_decision& decision,
                       const std::function<void(const permit_decision&)>& done) {
    const permit_verdict verdict = verdict_of(decision.verdict);
    if (verdict == permit_verdict::refused) {
        this->used_up_until[backend] = this->clock.now() + decision.retry_after;
    }
    done({.verdict = verdict, .retry_after = decision.retry_after});
}

}  // namespace pearbarrow::slowstart
