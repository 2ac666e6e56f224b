/// Answers that all stand-ins give in the same form.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "pearbarrow/backend/problem.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

/// 200 with a JSON body.
inline void respond_json(net::http_exchange& exchange, const nlohmann::json& body) {
    exchange.respond({.headers = {{"Content-Type", "application/json"}},
                      .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
}

inline void respond_problem(net::http_exchange& exchange, const backend::problem& problem) {
    exchange.respond(backend::to_response(problem));
}

/// 404 for a path that the stand-in does not have.
inline void respond_unknown_path(net::http_exchange& exchange) {
    respond_problem(exchange, {.status = 404, .reason = "unknown_path"});
}

/// 400 for a body or parameter that can't be used.
inline void respond_bad_request(net::http_exchange& exchange, std::string_view detail) {
    respond_problem(exchange,
                    {.status = 400, .reason = "bad_request", .detail = std::string(detail)});
}

}  // namespace pearbarrow::emulator
