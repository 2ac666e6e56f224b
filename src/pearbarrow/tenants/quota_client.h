/// Requests grants for a tenant from the storage members that enforce its limit.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/tenants/quota_types.h"
#include "pearbarrow/turns/member_caller.h"
#include "pearbarrow/turns/turn_operation.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::tenants {

struct quota_client_options {
    /// Method that the client calls on members.
    net::method_number method = wire::tenant_quota;
    /// Timeout of one call, after which the client tries the next member. A reply between zones
    /// takes 3 to 8 ms; a machine that exhausts its CPU quota stalls for up to 100 ms.
    base::milliseconds call_timeout{120};
    /// How long a member that timed out is tried after all others.
    base::milliseconds unresponsive_penalty{1'000};
    /// Lifetime of a grant, which a node requests just before it sends the request. Members extend
    /// their windows by this time (`quota_options`).
    base::milliseconds grant_lifetime{200};
    /// Bounds of the retry delay that callers beyond the limit receive.
    base::milliseconds min_retry_after{100};
    base::milliseconds max_retry_after{5'000};
};

enum class quota_verdict {
    granted,
    /// The tenant has reached its limit.
    over_limit,
    /// No member that enforces the limit replied.
    no_reply,
};

std::string_view to_string(quota_verdict verdict);

/// The result of a request for a grant, and the reply that decided it.
struct quota_decision {
    quota_verdict verdict = quota_verdict::no_reply;
    base::milliseconds retry_after{0};
    /// The last reply, and the member that sent it.
    grant_reply reply;
    std::string member;
};

class quota_client {
  public:
    quota_client(net::event_loop& loop, const base::clock& clock, turns::member_caller& caller,
                 quota_client_options options);
    ~quota_client();
    quota_client(const quota_client&) = delete;
    quota_client& operator=(const quota_client&) = delete;

    void set_view(const directory::storage_view& view) { this->view = view; }
    /// Calls `done` once, never before this function returns. The operation must not be
    /// destroyed inside `done`; destroying it earlier cancels the request.
    [[nodiscard]] std::unique_ptr<turns::turn_operation> request_grant(
        grant_request request, std::function<void(const quota_decision&)> done);
    const quota_client_options& limits() const { return this->options; }

  private:
    class pending_request;

    std::vector<directory::storage_member> member_order(const grant_request& request);
    void record_timeout(const base::node_id& node);

    net::event_loop& loop;
    const base::clock& clock;
    turns::member_caller& caller;
    quota_client_options options;
    directory::storage_view view;
    /// Members that timed out, with the time until which they are tried last.
    std::map<base::node_id, base::instant> unresponsive_until;
};

}  // namespace pearbarrow::tenants
