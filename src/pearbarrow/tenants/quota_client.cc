#include "pearbarrow/tenants/quota_client.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/tenants/quota_members.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::tenants {

std::string_view to_string(quota_verdict verdict) {
    switch (verdict) {
        case quota_verdict::granted:
            return "granted";
        case quota_verdict::over_limit:
            return "over_limit";
        case quota_verdict::no_reply:
            return "quota_unanswered";
    }
    return "unknown";
}

/// A request that is sent to one member after another until one grants it.
class quota_client::pending_request final : public turns::turn_operation {
  public:
    pending_request(quota_client& client, grant_request request,
                    std::function<void(const quota_decision&)> done)
        : client(client),
          request(std::move(request)),
          members(client.member_order(this->request)),
          done(std::move(done)) {}

    /// Defers the first call to the event loop, since the caller does not hold this operation yet.
    void start() {
        this->next_call =
            this->client.loop.after(base::milliseconds{0}, [this] { this->call_next(); });
    }

  private:
    void call_next() {
        if (this->tried == this->members.size()) {
            this->finish();
            return;
        }
        const directory::storage_member& member = this->members[this->tried];
        ++this->tried;
        this->call = this->client.caller.call(
            member, this->client.options.method, wire::encode(this->request),
            this->client.options.call_timeout,
            [this, node = member.node](const absl::StatusOr<std::string>& payload) {
                this->on_reply(node, payload);
            });
    }

    void on_reply(const base::node_id& node, const absl::StatusOr<std::string>& payload) {
        const auto reply = payload.ok() ? wire::decode<grant_reply>(*payload)
                                        : absl::StatusOr<grant_reply>(payload.status());
        if (!reply.ok()) {
            this->client.record_timeout(node);
            this->schedule_next();
            return;
        }
        this->decision.reply = *reply;
        this->decision.member = node.value();
        switch (reply->outcome) {
            case quota_outcome::granted:
                this->decision.verdict = quota_verdict::granted;
                this->finish();
                return;
            case quota_outcome::refused:
                this->on_refusal(*reply);
                return;
            case quota_outcome::not_counted_here:
                this->schedule_next();
                return;
        }
    }

    void on_refusal(const grant_reply& reply) {
        const base::milliseconds wait{reply.retry_after_ms};
        const bool is_first = this->decision.verdict != quota_verdict::over_limit;
        this->decision.verdict = quota_verdict::over_limit;
        this->decision.retry_after = is_first ? wait : std::min(this->decision.retry_after, wait);
        this->schedule_next();
    }

    /// Defers the next call to the event loop: a call must not be replaced inside its own callback.
    void schedule_next() {
        this->next_call =
            this->client.loop.after(base::milliseconds{0}, [this] { this->call_next(); });
    }

    void finish() {
        const quota_client_options& limits = this->client.options;
        this->decision.retry_after =
            std::clamp(this->decision.retry_after, limits.min_retry_after, limits.max_retry_after);
        this->done(this->decision);
    }

    quota_client& client;
    grant_request request;
    std::vector<directory::storage_member> members;
    std::size_t tried = 0;
    std::function<void(const quota_decision&)> done;
    quota_decision decision;
    std::unique_ptr<net::peer_call_handle> call;
    std::unique_ptr<net::timer_handle> next_call;
};

quota_client::quota_client(net::event_loop& loop, const base::clock& clock,
                           turns::member_caller& caller, quota_client_options options)
    : loop(loop), clock(clock), caller(caller), options(options) {}

quota_client::~quota_client() = default;

std::unique_ptr<turns::turn_operation> quota_client::request_grant(
    grant_request request, std::function<void(const quota_decision&)> done) {
    auto pending_request =
        std::make_unique<quota_client::pending_request>(*this, std::move(request), std::move(done));
    pending_request->start();
    return pending_request;
}

/// Each program always starts with the same member, so that this member knows which programs are
/// in progress. Members that timed out recently come last.
std::vector<directory::storage_member> quota_client::member_order(const grant_request& request) {
    auto members = quota_members(this->view, request.tenant);
    if (members.empty()) {
        return members;
    }
    const auto first = static_cast<std::ptrdiff_t>(request.program % members.size());
    std::rotate(members.begin(), members.begin() + first, members.end());
    const base::instant now = this->clock.now();
    std::erase_if(this->unresponsive_until, [now](const auto& item) { return item.second <= now; });
    std::stable_partition(members.begin(), members.end(), [this](const auto& member) {
        return this->unresponsive_until.count(member.node) == 0;
    });
    return members;
}

void quota_client::record_timeout(const base::node_id& node) {
    this->unresponsive_until[node] = this->clock.now() + this->options.unresponsive_penalty;
}

}  // namespace pearbarrow::tenants
