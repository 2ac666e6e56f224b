/// Client of the platform's list of live and leaving machines. The list lags: a hint only.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::platform {

enum class machine_state { live, leaving };

struct machine {
    std::string node;
    net::endpoint address;
    base::zone_name zone;
    machine_state state = machine_state::live;
};

/// Reads the list's JSON. Entries that cannot be read are left out; a body that is no list fails.
absl::StatusOr<std::vector<machine>> parse_machine_list(std::string_view body);

/// Fetches `GET /v1/machines`.
class machine_list_client {
  public:
    machine_list_client(net::http_client& http, net::endpoint server,
                        base::milliseconds timeout = base::milliseconds{2'000});
    void fetch(std::function<void(absl::StatusOr<std::vector<machine>>)> callback);

  private:
    net::http_client& http_;
    net::endpoint server_;
    base::milliseconds timeout_;
};

}  // namespace pearbarrow::platform
