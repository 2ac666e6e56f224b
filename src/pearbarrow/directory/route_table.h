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

    /// The route for a `Host` value (its port and case do not count) and a path without a query;
    /// null when there is none. Valid while the table lives.
    const route* find(std::string_view host, std::string_view path) const;

  private:
    /// Routes of a host, longest prefix first.
    std::unordered_map<std::string, std::vector<route>> by_host_;
};

}  // namespace pearbarrow::directory
