/// Operators' HTTP API on its own listener with its own keys: objects, labels, drains, nodes,
/// shards, explanations; and /metrics, /healthz and /readyz, which need no key.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/operator/operator_backend.h"

namespace pearbarrow::operators {

struct operator_api_options {
    base::node_id node;
    /// SHA-256 of each accepted API key, 64 lower-case hexadecimal digits.
    std::vector<std::string> key_hashes;
    /// Longest wait for a version to be in force everywhere that one request may ask for.
    base::milliseconds max_wait{60'000};
    /// How often a waiting request looks again.
    base::milliseconds wait_poll{50};
    std::size_t max_resources = 10'000;
    /// May be null: /metrics answers 404.
    base::metrics_registry* metrics = nullptr;
    /// Runs before /metrics is written, to bring gauges up to date. May be empty.
    std::function<void()> before_metrics;
};

/// Handler of the operators' listener. Keep it as long as the listener.
class operator_api {
  public:
    /// Whatever is passed by reference outlives the API.
    operator_api(net::event_loop& loop, operator_backend& backend, const base::clock& clock,
                 operator_api_options options);
    ~operator_api();
    operator_api(const operator_api&) = delete;
    operator_api& operator=(const operator_api&) = delete;

    void handle(std::shared_ptr<net::http_exchange> exchange);
    net::http_handler handler();

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace pearbarrow::operators
