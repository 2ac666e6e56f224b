/// Accepts requests of callers and forwards them according to their routes.
#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "pearbarrow/forward/forward_context.h"
#include "pearbarrow/forward/forwarded_request.h"
#include "pearbarrow/net/ended_objects.h"

namespace pearbarrow::forward {

class forward_service {
  public:
    explicit forward_service(forward_context& context) : context_(context), ended_(context.loop) {}
    ~forward_service();
    forward_service(const forward_service&) = delete;
    forward_service& operator=(const forward_service&) = delete;

    /// Activates a configuration. In-flight requests continue with the previous one.
    void set_configuration(const directory::configuration& config);
    void handle(std::shared_ptr<net::http_exchange> exchange);
    bool is_configured() const { return context_.active != nullptr; }
    std::size_t open_requests() const { return requests_.size(); }
    /// Rejects new streams, which the node might have to break off when it stops.
    void reject_streams() { rejects_streams_ = true; }
    /// Ends all requests in flight because the node stops.
    void give_up_requests();

  private:
    /// Determines the tenant of the request, or responds with an error and returns false.
    bool identify_caller(net::http_exchange& exchange, const active_configuration& active,
                         const directory::route& route, request_facts& facts);
    void reject(net::http_exchange& exchange, int status, std::string_view reason,
                const std::string& request_id);
    void remove_request(std::uint64_t number);

    forward_context& context_;
    std::map<std::uint64_t, std::unique_ptr<forwarded_request>> requests_;
    net::ended_objects<std::unique_ptr<forwarded_request>> ended_;
    std::uint64_t last_request_ = 0;
    bool rejects_streams_ = false;
};

}  // namespace pearbarrow::forward
