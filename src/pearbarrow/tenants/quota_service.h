/// Serves requests for grants from other nodes on a storage member.
#pragma once

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/peer_rpc.h"
#include "pearbarrow/tenants/quota_ledger.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::tenants {

class quota_service {
  public:
    quota_service(net::peer_rpc& rpc, const base::clock& clock, quota_options options,
                  net::method_number method = wire::tenant_quota);

    quota_ledger& ledger() { return this->book; }
    const quota_ledger& ledger() const { return this->book; }

  private:
    const base::clock& clock;
    quota_ledger book;
};

}  // namespace pearbarrow::tenants
