/// Finds the route of a request: by host, then by the longest path prefix.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::directory {

class route_table {
  public:
    route_table() = default;
    explicit route_table(const std::vector<route>& routes);

    /// Returns the route for the value of a `Host` header (ignoring port and case) and a path
    /// without a query, or null if there is none. The pointer is valid for the lifetime of the
    /// table.
    const route* find(std::string_view host, std::string_view path) const;

  private:
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<route>> by_host_;
};

}  // namespace pearbarrow::directory
