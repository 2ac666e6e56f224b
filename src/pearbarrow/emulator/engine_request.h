/// Parsing of `POST /v1/chat/completions`.
#pragma once

#include <cstdint>

#include <absl/status/statusor.h>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

/// A generate request as it arrived over HTTP.
struct engine_request {
    backend::generate_request generate;
    bool streamed = false;
};

/// Fails with kInvalidArgument on a malformed body or header. A request without an id gets one
/// made of `serial`.
absl::StatusOr<engine_request> parse_generate(const net::http_request& request,
                                              std::uint64_t serial);

}  // namespace pearbarrow::emulator
