/// A gateway on a real HTTP server before a router that the test steers.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/net_fixture.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/api_key.h"
#include "pearbarrow/gateway/gateway.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/server_sent_events.h"

namespace pearbarrow::gateway::testing {

inline const std::string key_of_a = "key-of-tenant-a";
inline const std::string key_of_b = "key-of-tenant-b";
inline const std::string some_program(32, 'a');
inline const std::string drawn_program(32, 'd');

/// One request as the router got it.
struct routed_request {
    wire::program_request message;
    base::milliseconds timeout{0};
    program_route_callbacks callbacks;
    bool cancelled = false;
};

/// Keeps what was routed. Answers by `answer` when it is set, else when the test says so.
class fake_router final : public program_router {
  public:
    using answer_function =
        std::function<absl::StatusOr<wire::program_reply>(const wire::program_request&)>;

    explicit fake_router(net::event_loop& loop) : loop_(loop) {}

    std::unique_ptr<program_route> start(wire::program_request request, base::milliseconds timeout,
                                         program_route_callbacks callbacks) override {
        auto entry = std::make_shared<routed_request>();
        entry->message = std::move(request);
        entry->timeout = timeout;
        entry->callbacks = std::move(callbacks);
        requests.push_back(entry);
        if (answer) {
            loop_.post([this, entry] {
                if (!entry->cancelled) {
                    entry->callbacks.on_done(answer(entry->message));
                }
            });
        }
        return std::make_unique<fake_route>(entry);
    }

    std::deque<std::shared_ptr<routed_request>> requests;
    answer_function answer;

  private:
    class fake_route final : public program_route {
      public:
        explicit fake_route(std::shared_ptr<routed_request> entry) : entry_(std::move(entry)) {}
        ~fake_route() override { entry_->cancelled = true; }
        void cancel() override { entry_->cancelled = true; }

      private:
        std::shared_ptr<routed_request> entry_;
    };

    net::event_loop& loop_;
};

class fixed_directory final : public tenant_directory {
  public:
    std::optional<base::tenant_id> find_by_key_hash(std::string_view hash) const override {
        if (hash == sha256_hex(key_of_a)) {
            return base::tenant_id("a");
        }
        return hash == sha256_hex(key_of_b) ? std::optional(base::tenant_id("b")) : std::nullopt;
    }
    std::vector<base::model_name> models(const base::tenant_id&) const override {
        return {base::model_name("large"), base::model_name("small")};
    }
    bool ready() const override { return is_ready; }

    bool is_ready = true;
};

struct http_answer {
    int status = 0;
    net::http_headers headers;
    std::string body;
    bool done = false;
    absl::Status result;

    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
    std::vector<net::server_sent_event> events() const {
        std::vector<net::server_sent_event> found;
        net::server_sent_event_parser parser(
            [&found](net::server_sent_event event) { found.push_back(std::move(event)); });
        parser.feed(body);
        return found;
    }
};

struct gateway_fixture {
    explicit gateway_fixture(std::size_t max_pending_bytes = std::size_t{1'024} * 1'024)
        : router(loop) {
        gateway_options options;
        options.node = base::node_id("gateway-1");
        options.draw_program_id = [] { return base::program_id(drawn_program); };
        options.draw_request_id = [] { return base::request_id("request-1"); };
        options.stopping = [this] { return stopping; };
        options.max_open_requests = 8;
        options.max_pending_bytes = max_pending_bytes;
        options.metrics = &metrics;
        gateway = std::make_unique<caller_gateway>(router, directory, clock, std::move(options));
        server = net::make_http_server(
            loop, {.listen = net::testing::loopback, .max_body_bytes = std::size_t{64} * 1'024},
            gateway->handler());
        started = server->start();
        client = net::make_http_client(loop);
    }

    net::http_call call(std::string method, std::string target, std::string body = "",
                        std::string key = key_of_a) const {
        net::http_call result;
        result.server = server->local_endpoint();
        result.method = std::move(method);
        result.target = std::move(target);
        result.body = std::move(body);
        if (!key.empty()) {
            result.headers.add("Authorization", "Bearer " + key);
        }
        return result;
    }

    /// Starts a request; the answer fills as it comes.
    std::shared_ptr<http_answer> begin(net::http_call what) {
        auto answer = std::make_shared<http_answer>();
        handles.push_back(
            client->start(std::move(what),
                          {.on_head =
                               [answer](int status, const net::http_headers& headers) {
                                   answer->status = status;
                                   answer->headers = headers;
                               },
                           .on_chunk = [answer](std::string_view chunk) { answer->body += chunk; },
                           .on_done =
                               [answer](absl::Status status) {
                                   answer->result = std::move(status);
                                   answer->done = true;
                               }}));
        return answer;
    }

    http_answer ask(net::http_call what) {
        const auto answer = begin(std::move(what));
        net::testing::run_until(loop, [&] { return answer->done; });
        return *answer;
    }
    http_answer ask(std::string method, std::string target, std::string body = "",
                    std::string key = key_of_a) {
        return ask(call(std::move(method), std::move(target), std::move(body), std::move(key)));
    }

    /// Waits until the router has got this many requests, and gives the last of them.
    std::shared_ptr<routed_request> wait_for_route(std::size_t count) {
        net::testing::run_until(loop, [&] { return router.requests.size() >= count; });
        return router.requests.size() < count ? nullptr : router.requests[count - 1];
    }

    net::event_loop loop;
    base::system_clock_source clock;
    base::metrics_registry metrics;
    fake_router router;
    fixed_directory directory;
    bool stopping = false;
    std::unique_ptr<caller_gateway> gateway;
    std::unique_ptr<net::http_server> server;
    std::unique_ptr<net::http_client> client;
    std::vector<std::unique_ptr<net::http_call_handle>> handles;
    absl::Status started;
};

inline wire::program_reply result_reply(std::string output, std::uint64_t number = 1) {
    wire::program_reply reply;
    reply.call.emplace();
    reply.call->number = base::call_number(number);
    reply.call->last_event_id = "1." + std::to_string(output.size());
    reply.call->output = std::move(output);
    reply.call->finish_reason = "stop";
    reply.call->usage = {.prompt_tokens = 10, .cached_tokens = 4, .generated_tokens = 3};
    reply.call->backend = base::backend_id("engine-1");
    return reply;
}

inline wire::program_reply view_reply(const wire::program_request& request, std::string state) {
    wire::program_reply reply;
    reply.program.emplace();
    reply.program->program = request.program;
    reply.program->tenant = request.tenant;
    reply.program->state = std::move(state);
    reply.program->next_call = base::call_number(1);
    return reply;
}

inline wire::reply_part part(std::string id, std::string text, bool restart = false) {
    return {.event_id = std::move(id),
            .text = std::move(text),
            .restart = restart,
            .call = base::call_number(1)};
}

inline absl::Status not_found() {
    return base::make_error(absl::StatusCode::kNotFound, "there is no such program",
                            {.step = "owner", .peer = "n2", .reason = "program_not_found"});
}

}  // namespace pearbarrow::gateway::testing
