/// Traffic from a node to other nodes, by method and distance.
#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "pearbarrow/wire/methods.h"

namespace pearbarrow::net {

/// Distance from this node to a peer.
enum class peer_distance : std::uint8_t {
    /// The peer did not report its zone.
    unknown,
    own_zone,
    /// Another zone of the same region.
    other_zone,
    other_region,
};

struct traffic_row {
    /// 0 for frames of the link itself (hello, probes, cancellations).
    wire::method_number method = 0;
    /// Whether the row counts replies of the called node instead of requests to it.
    bool is_reply = false;
    peer_distance distance = peer_distance::unknown;
    std::uint64_t frames = 0;
    /// Includes the length prefixes of frames, but neither TLS nor lower layers.
    std::uint64_t bytes = 0;
};

/// Totals since the start.
class peer_traffic {
  public:
    void add(wire::method_number method, bool is_reply, peer_distance distance,
             std::uint64_t bytes) {
        sum& total = this->sums[{method, is_reply, distance}];
        ++total.frames;
        total.bytes += bytes;
    }

    std::vector<traffic_row> rows() const {
        std::vector<traffic_row> result;
        for (const auto& [key, total] : this->sums) {
            const auto& [method, is_reply, distance] = key;
            result.push_back({method, is_reply, distance, total.frames, total.bytes});
        }
        return result;
    }

  private:
    struct sum {
        std::uint64_t frames = 0;
        std::uint64_t bytes = 0;
    };

    std::map<std::tuple<wire::method_number, bool, peer_distance>, sum> sums;
};

}  // namespace pearbarrow::net
