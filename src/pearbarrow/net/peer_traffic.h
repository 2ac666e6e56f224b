/// What a node sends to other nodes, by call and by how far the other node is.
#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "pearbarrow/wire/methods.h"

namespace pearbarrow::net {

/// Where a peer is, as seen from this node.
enum class peer_distance : std::uint8_t {
    /// The peer has not said where it is.
    unknown,
    own_zone,
    /// Another zone of the own region.
    other_zone,
    other_region,
};

struct traffic_row {
    /// 0: what links need themselves (hello, probes, cancelled calls).
    wire::method_number method = 0;
    /// Of the called node, in place of a request to it.
    bool is_answer = false;
    peer_distance distance = peer_distance::unknown;
    std::uint64_t frames = 0;
    /// With frames' lengths; without TLS and below.
    std::uint64_t bytes = 0;
};

/// Sums since the start.
class peer_traffic {
  public:
    void add(wire::method_number method, bool is_answer, peer_distance distance,
             std::uint64_t bytes) {
        sum& held = this->sums[{method, is_answer, distance}];
        ++held.frames;
        held.bytes += bytes;
    }

    std::vector<traffic_row> rows() const {
        std::vector<traffic_row> found;
        for (const auto& [key, held] : this->sums) {
            const auto& [method, is_answer, distance] = key;
            found.push_back({method, is_answer, distance, held.frames, held.bytes});
        }
        return found;
    }

  private:
    struct sum {
        std::uint64_t frames = 0;
        std::uint64_t bytes = 0;
    };

    std::map<std::tuple<wire::method_number, bool, peer_distance>, sum> sums;
};

}  // namespace pearbarrow::net
