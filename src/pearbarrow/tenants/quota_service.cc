#include "pearbarrow/tenants/quota_service.h"

#include <utility>

#include "pearbarrow/wire/codec.h"

namespace pearbarrow::tenants {

quota_service::quota_service(net::peer_rpc& rpc, const base::clock& clock, quota_options options,
                             net::method_number method)
    : clock(clock), book(std::move(options)) {
    rpc.register_method(method, [this](std::string_view payload, auto responder) {
        const auto request = wire::decode<grant_request>(payload);
        if (!request.ok()) {
            responder->fail(request.status());
            return;
        }
        responder->finish(wire::encode(this->book.try_acquire(*request, this->clock.now())));
    });
}

}  // namespace pearbarrow::tenants
