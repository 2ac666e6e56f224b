/// One caller's HTTP exchange on its way through the gateway.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/gateway/gateway.h"
#include "pearbarrow/gateway/program_router.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/server_sent_events.h"

namespace pearbarrow::gateway {

/// What all requests of one gateway share.
struct gateway_context {
    program_router& router;
    const tenant_directory& tenants;
    const base::clock& clock;
    gateway_options options;
    std::size_t open_requests = 0;
    base::counter slow_readers_cut;
    base::histogram time_to_first_part;
};

/// How a failure is shown: as a problem alone, or with OpenAI's `error` object beside its members.
enum class error_style { native, openai };

/// Lives from the arrival of a request until its answer is complete or its caller has gone.
class caller_request : public std::enable_shared_from_this<caller_request> {
  public:
    using reply_handler = std::function<void(absl::StatusOr<wire::program_reply>)>;
    using part_handler = std::function<void(const wire::reply_part&)>;

    caller_request(std::shared_ptr<gateway_context> context,
                   std::shared_ptr<net::http_exchange> exchange);
    ~caller_request();
    caller_request(const caller_request&) = delete;
    caller_request& operator=(const caller_request&) = delete;

    /// Watches for the caller's going away. Call once, right after construction.
    void start();

    const net::http_request& http() const { return exchange_->request(); }
    gateway_context& context() { return *context_; }
    const base::tenant_id& tenant() const { return tenant_; }
    void set_tenant(base::tenant_id tenant) { tenant_ = std::move(tenant); }
    /// Stable name of the resource, for metrics and logs.
    void set_resource(std::string resource) { resource_ = std::move(resource); }
    void set_program(base::program_id program) { program_ = std::move(program); }
    const base::program_id& program() const { return program_; }
    void set_error_style(error_style style) { error_style_ = style; }

    /// Sends a request to the program's owner. The handlers run only while the caller is there.
    void route(wire::program_request request, base::milliseconds timeout, part_handler on_part,
               reply_handler on_done);
    /// Runs once if the caller goes away before the answer is complete.
    void on_gone(std::function<void()> callback) { on_gone_ = std::move(callback); }

    void respond(net::http_response response);
    void respond_json(int status, const nlohmann::json& body, const net::http_headers& more = {});
    void fail(const absl::Status& status);

    /// Starts a stream of events, at its first part.
    void start_events(const net::http_headers& more = {});
    bool streaming() const { return streaming_; }
    /// Queues an event; cuts off a caller that reads too slowly.
    void send_event(const net::server_sent_event& event);
    void finish_events();
    /// Breaks the connection, so that the caller sees that the answer is not whole.
    void cut_off(std::string_view why);
    /// The JSON of a failure in the request's error style.
    nlohmann::json error_body(const absl::Status& status) const;

  private:
    void take_gone();
    void complete(int status);
    net::http_headers common_headers(const net::http_headers& more) const;

    std::shared_ptr<gateway_context> context_;
    std::shared_ptr<net::http_exchange> exchange_;
    std::unique_ptr<program_route> route_;
    std::function<void()> on_gone_;
    base::tenant_id tenant_;
    base::program_id program_;
    base::request_id id_;
    std::string resource_ = "unknown";
    base::instant started_;
    error_style error_style_ = error_style::native;
    bool streaming_ = false;
    bool complete_ = false;
};

}  // namespace pearbarrow::gateway
