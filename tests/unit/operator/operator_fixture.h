/// The operators' API on a real HTTP server before a backend that the test fills.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/net_fixture.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/api_key.h"
#include "pearbarrow/operator/operator_api.h"

namespace pearbarrow::operators::testing {

inline const std::string operator_key = "operator-key";

/// Answers from its members and keeps what it was asked.
class fake_backend final : public operator_backend {
  public:
    void list_resources(std::string kind, answer<resource_list> done) override {
        if (kind == "nonsense") {
            done(base::make_error(absl::StatusCode::kNotFound, "there is no such kind",
                                  {.step = "list", .reason = "unknown_kind"}));
            return;
        }
        done(list);
    }
    void apply(apply_request request, answer<apply_result> done) override {
        applied.push_back(std::move(request));
        done(result);
    }
    void label(label_request request, answer<apply_result> done) override {
        labelled.push_back(std::move(request));
        done(result);
    }
    void drain(drain_request request, answer<apply_result> done) override {
        drained.push_back(std::move(request));
        done(result);
    }
    void explain(call_reference call, answer<call_explanation> done) override {
        done(call_explanation{call, {{{"outcome", "granted"}, {"inputs", {{"queue", 3}}}}}});
    }
    void verify(call_reference call, answer<call_verification> done) override {
        call_verification verification{call, {}, true};
        verification.decisions.push_back({"placement", "engine-1", "engine-1", true});
        done(verification);
    }
    std::vector<node_report> nodes() const override { return node_list; }
    std::vector<shard_report> shards() const override { return shard_list; }
    cluster_status status() const override { return now; }

    resource_list list;
    absl::StatusOr<apply_result> result = apply_result{};
    std::vector<apply_request> applied;
    std::vector<label_request> labelled;
    std::vector<drain_request> drained;
    std::vector<node_report> node_list;
    std::vector<shard_report> shard_list;
    cluster_status now;
};

struct operator_fixture {
    operator_fixture() {
        api = std::make_unique<operator_api>(
            loop, backend, clock,
            operator_api_options{.node = base::node_id("n1"),
                                 .key_hashes = {gateway::sha256_hex(operator_key)},
                                 .wait_poll = base::milliseconds(2),
                                 .max_resources = 5,
                                 .metrics = &metrics});
        server = net::make_http_server(loop, {.listen = net::testing::loopback}, api->handler());
        started = server->start();
        client = net::make_http_client(loop);
        backend.now.ready = true;
        backend.now.version = base::config_version(4);
    }

    net::http_response ask(std::string method, std::string target, std::string body = "",
                           const std::string& key = operator_key) {
        net::http_call call;
        call.server = server->local_endpoint();
        call.method = std::move(method);
        call.target = std::move(target);
        call.body = std::move(body);
        call.headers.add("Authorization", "Bearer " + key);
        bool done = false;
        net::http_response answer{.status = 0, .headers = {}, .body = {}};
        client->fetch(std::move(call), [&](absl::StatusOr<net::http_response> response) {
            if (response.ok()) {
                answer = std::move(*response);
            }
            done = true;
        });
        net::testing::run_until(loop, [&] { return done; });
        return answer;
    }
    nlohmann::json json(const std::string& method, const std::string& target,
                        const std::string& body = "") {
        return nlohmann::json::parse(ask(method, target, body).body, nullptr, false);
    }

    net::event_loop loop;
    base::system_clock_source clock;
    base::metrics_registry metrics;
    fake_backend backend;
    std::unique_ptr<operator_api> api;
    std::unique_ptr<net::http_server> server;
    std::unique_ptr<net::http_client> client;
    absl::Status started;
};

}  // namespace pearbarrow::operators::testing
