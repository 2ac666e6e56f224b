/// Asks back ends for their ids by the health check of their service.
#pragma once

#include <functional>
#include <string>

#include "pearbarrow/forward/header_names.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/suspects/identity_source.h"

namespace pearbarrow::forward {

class backend_identity final : public suspects::identity_source {
  public:
    /// Returns the path of the health check of a service; empty if there is none.
    using path_source = std::function<std::string(const std::string& service)>;

    backend_identity(net::http_client& client, header_names headers, path_source path_of);

    std::unique_ptr<suspects::identity_question> ask(
        const directory::backend& target, base::milliseconds timeout,
        std::function<void(suspects::identity_reply)> done) override;

  private:
    net::http_client& client;
    header_names headers;
    path_source path_of;
    std::uint64_t questions = 0;
};

}  // namespace pearbarrow::forward
