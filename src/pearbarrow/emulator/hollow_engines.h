/// Engines that answer load reports and lists of cache events, and refuse all work: enough to be
/// watched by a dispatcher, at a few kilobytes an engine.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

class hollow_engines {
  public:
    explicit hollow_engines(net::event_loop& loop) : loop_(loop) {}

    /// Opens a listener for each engine, on ports that the kernel chooses.
    absl::Status start(std::uint32_t count, const std::string& model);

    /// Requests answered since the start, of all engines.
    std::uint64_t requests() const { return requests_; }
    /// `{"engines": [{"name": "hollow-engine-0", "address": "127.0.0.1:4711"}]}`
    nlohmann::json to_json() const;

  private:
    void handle(net::http_exchange& exchange);

    net::event_loop& loop_;
    std::vector<std::unique_ptr<net::http_server>> servers_;
    /// Answers that never change, made once.
    std::string load_;
    std::string events_;
    std::string listing_;
    std::uint64_t requests_ = 0;
};

}  // namespace pearbarrow::emulator
