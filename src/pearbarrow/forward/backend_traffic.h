/// Counts bytes of request and response bodies between this node and back ends by distance.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "pearbarrow/net/peer_traffic.h"

namespace pearbarrow::forward {

class backend_traffic {
  public:
    using distance_function = std::function<net::peer_distance(std::string_view zone)>;

    struct row {
        net::peer_distance distance = net::peer_distance::unknown;
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };

    explicit backend_traffic(distance_function distance_of = nullptr)
        : distance_of(std::move(distance_of)) {}

    void sent(std::string_view zone, std::uint64_t bytes) { this->at(zone).sent += bytes; }
    void received(std::string_view zone, std::uint64_t bytes) { this->at(zone).received += bytes; }

    /// Returns the totals since the start of the node.
    std::vector<row> rows() const {
        std::vector<row> found;
        for (const auto& [distance, held] : this->sums) {
            found.push_back(held);
        }
        return found;
    }

  private:
    row& at(std::string_view zone) {
        const net::peer_distance distance =
            this->distance_of ? this->distance_of(zone) : net::peer_distance::unknown;
        row& held = this->sums[distance];
        held.distance = distance;
        return held;
    }

    distance_function distance_of;
    std::map<net::peer_distance, row> sums;
};

}  // namespace pearbarrow::forward
