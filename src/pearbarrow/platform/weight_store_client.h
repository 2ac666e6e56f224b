/// Client of the platform's rate-limited weight store.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::platform {

/// A model's weights as the store describes them.
struct weight_description {
    base::model_name model;
    std::string version;
    std::uint64_t bytes = 0;
};

/// Fetches `GET /v1/weights/{model}`. A 429 becomes kResourceExhausted with the store's
/// `Retry-After`, an absent model kNotFound.
class weight_store_client {
  public:
    weight_store_client(net::http_client& http, net::endpoint server,
                        base::milliseconds timeout = base::milliseconds{10'000});
    void describe(const base::model_name& model,
                  std::function<void(absl::StatusOr<weight_description>)> callback);

  private:
    net::http_client& http_;
    net::endpoint server_;
    base::milliseconds timeout_;
};

}  // namespace pearbarrow::platform
