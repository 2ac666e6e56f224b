// Requests under which back ends have ended.
#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {

const suspects::request_fingerprint& forwarded_request::fingerprint() {
    if (!fingerprint_.has_value()) {
        const net::http_request& request = exchange_->request();
        fingerprint_ = suspects::fingerprint_of(
            {.tenant = facts_.tenant,
             .program = facts_.program,
             .session = facts_.session,
             .previous_turn = facts_.turn.has_value() ? facts_.turn->previous_turn : "",
             .host = facts_.host,
             .method = request.method,
             .target = request.target,
             .body = request.body});
    }
    return *fingerprint_;
}

}  // namespace pearbarrow::forward
