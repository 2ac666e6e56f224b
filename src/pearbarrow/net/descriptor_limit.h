/// How many of the file descriptors of the process connections of clients may use.
#pragma once

#include <cstddef>
#include <limits>

namespace pearbarrow::net {

/// A limit for the open descriptors of the process, beyond which connections of clients are
/// rejected. The rest is left to connections to other nodes and to back ends, and to files.
class descriptor_limit {
  public:
    enum class decision { serve, reject_first_request, reject_connection };

    /// No limit.
    descriptor_limit() = default;
    /// For a process that may have `max_open` descriptors.
    explicit descriptor_limit(std::size_t max_open);
    /// Reads the limit that the system sets for this process.
    static descriptor_limit of_process();

    /// Decides about a connection by the number of its descriptor. The system assigns the lowest
    /// free number, so that at least as many descriptors are open.
    decision decide(int descriptor) const;

  private:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /// Number of open descriptors from which on the first request of a connection is rejected.
    std::size_t full = unlimited;
    /// Number of open descriptors from which on a connection does not wait for a request.
    std::size_t exhausted = unlimited;
};

}  // namespace pearbarrow::net
