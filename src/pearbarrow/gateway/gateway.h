/// Callers' HTTP API: programs and calls as resources, and the OpenAI convention beside it.
///
/// The gateway holds nothing that matters: whoever loses it goes on at any other node with the
/// program's id, the call's number and the last event's id. docs/api.md describes the API.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/gateway/program_router.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::gateway {

/// What the gateway needs of the configuration in force.
class tenant_directory {
  public:
    virtual ~tenant_directory() = default;
    /// The tenant that holds the API key with this SHA-256 (64 lower-case hexadecimal digits).
    virtual std::optional<base::tenant_id> find_by_key_hash(std::string_view key_hash) const = 0;
    /// Models that the tenant's programs may name, in order.
    virtual std::vector<base::model_name> models(const base::tenant_id& tenant) const = 0;
    /// True once any configuration has been learnt; before that every request gets 503.
    virtual bool ready() const = 0;
};

struct gateway_options {
    /// Name of the node, told as `peer` of errors that arise here.
    base::node_id node;
    /// Draws an id that hashes to a shard of the node's own region.
    std::function<base::program_id()> draw_program_id;
    /// Whether a program id hashes to a shard of the node's own region; empty: all do. Ids that are
    /// derived from an `Idempotency-Key` are chosen by it.
    std::function<bool(const base::program_id&)> in_own_region;
    /// Draws an id for one exchange, for logs.
    std::function<base::request_id()> draw_request_id;
    /// Requests under way at once; more get 503 with reason `gateway_overloaded`.
    std::size_t max_open_requests = 8'192;
    /// Bytes queued for one slow reader above which it is cut off. Its answer is kept by the owner.
    std::size_t max_pending_bytes = std::size_t{4} * 1'024 * 1'024;
    /// Longest time for requests that run no call.
    base::milliseconds request_timeout{30'000};
    /// Longest time for a call whose request names no deadline.
    base::milliseconds call_timeout{120'000};
    /// Answer to every new request with 503, reason `node_stopping`.
    std::function<bool()> stopping;
    /// May be null: no metrics.
    base::metrics_registry* metrics = nullptr;
};

/// Handler of the callers' listener. Keep it as long as the listener.
class caller_gateway {
  public:
    /// Whatever is passed by reference outlives the gateway.
    caller_gateway(program_router& router, const tenant_directory& tenants,
                   const base::clock& clock, gateway_options options);
    ~caller_gateway();
    caller_gateway(const caller_gateway&) = delete;
    caller_gateway& operator=(const caller_gateway&) = delete;

    /// Handles one request.
    void handle(std::shared_ptr<net::http_exchange> exchange);
    /// The same as a function for `net::make_http_server`.
    net::http_handler handler();
    /// Requests not yet answered; a stopping node waits for none.
    std::size_t open_requests() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace pearbarrow::gateway
