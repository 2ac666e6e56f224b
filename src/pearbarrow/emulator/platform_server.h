/// Stand-in of the platform over HTTP: key-value service, machine list, weight store.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/emulator/key_value_json.h"
#include "pearbarrow/emulator/key_value_store.h"
#include "pearbarrow/emulator/machine_list.h"
#include "pearbarrow/emulator/rate_limiter.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

struct platform_options {
    /// Limit of the key-value service, in requests a second and at once; zero: none.
    double key_value_rate = 0;
    double key_value_burst = 50;
    /// Limit of the weight store.
    double weight_rate = 0;
    double weight_burst = 1;
    /// Time that fetching a model's weights takes.
    base::milliseconds weight_delay{100};
    base::milliseconds machine_list_lag{1'000};
};

class platform_server {
  public:
    platform_server(net::event_loop& loop, const base::clock& clock, platform_options options);
    ~platform_server();

    void handle(const std::shared_ptr<net::http_exchange>& exchange);
    /// Puts a machine on the list at once, without the lag.
    void add_machine(machine item) { machines_.seed(std::move(item)); }

  private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    struct watcher {
        exchange_pointer exchange;
        watch_request request;
        std::int64_t next_revision = 0;
    };

    void handle_key_value(const exchange_pointer& exchange);
    nlohmann::json answer_key_value(std::string_view operation, const nlohmann::json& body);
    nlohmann::json answer_lease(std::string_view operation, const nlohmann::json& body);
    void start_watch(const exchange_pointer& exchange, const nlohmann::json& body);
    void feed(watcher& item);
    void feed_watchers();
    void handle_machines(net::http_exchange& exchange);
    void handle_admin_machines(net::http_exchange& exchange);
    void handle_weights(const exchange_pointer& exchange);
    void handle_admin_limits(net::http_exchange& exchange);
    void tick();

    net::event_loop& loop_;
    const base::clock& clock_;
    platform_options options_;
    key_value_store store_;
    machine_list machines_;
    rate_limiter key_value_limit_;
    rate_limiter weight_limit_;
    std::map<std::uint64_t, watcher> watchers_;
    std::uint64_t next_watcher_ = 0;
    std::map<std::uint64_t, std::unique_ptr<net::timer_handle>> weight_timers_;
    std::uint64_t next_timer_ = 0;
    std::unique_ptr<net::timer_handle> ticker_;
};

}  // namespace pearbarrow::emulator
