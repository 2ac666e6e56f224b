/// Many hollow nodes and hollow engines in one process, and their control over HTTP.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/emulator/hollow_engines.h"
#include "pearbarrow/emulator/hollow_node.h"
#include "pearbarrow/emulator/hollow_record.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

struct hollow_options {
    std::string cluster = "test";
    /// Nodes are named `<prefix><index>`, from `first_index`; zone i mod the number of zones.
    std::string prefix = "hollow-";
    std::uint32_t first_index = 0;
    std::uint32_t nodes = 0;
    std::vector<std::string> zones{"zone-1"};
    std::string region = "region-1";
    /// Datagram addresses to join through; none: the first node of this process.
    std::vector<std::string> seeds;
    /// Members of the platform's key-value service.
    std::vector<std::string> key_value;
    std::uint32_t shard_count = 64;
    /// Pause between the starts of two nodes.
    base::milliseconds start_gap{5};
    std::uint32_t engines = 0;
    std::string engine_model = "hollow";
    std::uint64_t random_seed = 1;
};

class hollow_fleet {
  public:
    hollow_fleet(net::event_loop& loop, const base::clock& clock, hollow_options options);
    ~hollow_fleet();
    hollow_fleet(const hollow_fleet&) = delete;
    hollow_fleet& operator=(const hollow_fleet&) = delete;

    /// Checks the options, opens the engines' listeners and begins to start nodes.
    absl::Status start();

    /// `GET /stats`: sums and bounds over this process's nodes, and what they learned when.
    /// `GET /engines`: names and addresses of the hollow engines.
    /// `POST /silence` and `POST /revive` with `{"nodes": ["hollow-3"]}` or `{"zone": "zone-1"}`:
    /// ends nodes without a farewell, or starts them again. Answers the time and the ids.
    /// `POST /forget`: forgets who has departed.
    void handle(const std::shared_ptr<net::http_exchange>& exchange);

  private:
    absl::Status prepare();
    void start_next();
    absl::Status start_node(settings::node_settings settings);
    nlohmann::json stats() const;
    void change(net::http_exchange& exchange, bool silence);

    net::event_loop& loop_;
    const base::clock& clock_;
    hollow_options options_;
    hollow_record record_;
    hollow_engines engines_;
    /// Settings of every node, in order of their names' numbers.
    std::vector<settings::node_settings> plans_;
    std::size_t next_plan_ = 0;
    std::map<base::node_id, std::unique_ptr<hollow_node>> nodes_;
    /// Kept, so that the sums never fall.
    hollow_traffic traffic_of_silenced_;
    std::unique_ptr<net::timer_handle> start_timer_;
};

}  // namespace pearbarrow::emulator
