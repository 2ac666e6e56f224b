/// The home of a limit: the one node that counts it over the fleet.
///
/// Owners ask before they take a new program or call, and report what they use. What the home has
/// granted and not seen to lapse is never more than the limit. See docs/design/limits.md.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/configuration.h"
#include "pearbarrow/program/counted_limits.h"

namespace pearbarrow::node {

/// One owner's use of one limit. `wanted` 0: a report only.
struct quota_claim {
    std::uint8_t kind = 0;
    std::string name;
    std::uint8_t counter = 0;
    /// What this node's shards use, and what it asked for before and has not been answered on.
    std::uint64_t used = 0;
    std::uint64_t wanted = 0;
    MSGPACK_DEFINE(kind, name, counter, used, wanted);

    program::quota_key key() const;
    static quota_claim of(const program::quota_key& key, std::uint64_t used, std::uint64_t wanted);
};

struct quota_request {
    std::vector<quota_claim> claims;
    MSGPACK_DEFINE(claims);
};

/// Answer to the claims of a request, in their order; a report is granted.
struct quota_verdict {
    bool granted = false;
    /// When to come back; 0: coming back does not help, the need is above the limit.
    std::uint64_t retry_after_ms = 0;
    MSGPACK_DEFINE(granted, retry_after_ms);
};

struct quota_reply {
    std::vector<quota_verdict> verdicts;
    MSGPACK_DEFINE(verdicts);
};

/// How much of something there may be; none when the configuration does not bound it.
struct quota_limit {
    /// Programs or tokens; for the rate, the calls that may come at once.
    std::uint64_t amount = 0;
    /// Only for the rate.
    double per_second = 0;
};

std::optional<quota_limit> limit_of(const config::configuration& configuration,
                                    const program::quota_key& key);

struct quota_home_options {
    /// What a node holds counts for this long after its last message.
    base::milliseconds lease{3'000};
    /// Bounds of the computed times to come back.
    base::milliseconds shortest_wait{50};
    base::milliseconds longest_wait{10'000};
    /// Time to come back while nothing has been given back yet.
    base::milliseconds first_wait{1'000};
};

class quota_home {
  public:
    explicit quota_home(quota_home_options options = {}) : options_(options) {}

    quota_verdict claim(const base::node_id& from, const quota_claim& claim,
                        const config::configuration& configuration, base::instant now);
    /// Drops what has lapsed.
    void forget(base::instant now);
    std::size_t size() const { return ledgers_.size(); }

  private:
    struct holding {
        std::uint64_t amount = 0;
        base::instant until;
    };
    struct ledger {
        std::map<base::node_id, holding> holdings;
        /// The rate's bucket.
        double tokens = 0;
        base::instant filled_at;
        bool started = false;
        /// Units given back a second, smoothed; 0: nothing yet.
        double returned_per_second = 0;
        base::instant last_return;
    };

    quota_verdict take_room(ledger& book, const base::node_id& from, const quota_claim& claim,
                            const quota_limit& limit, base::instant now);
    static quota_verdict take_turn(ledger& book, const quota_claim& claim, const quota_limit& limit,
                                   base::instant now);
    void note_return(ledger& book, std::uint64_t amount, base::instant now) const;
    std::uint64_t wait_for(const ledger& book, std::uint64_t missing) const;

    quota_home_options options_;
    std::map<program::quota_key, ledger> ledgers_;
};

}  // namespace pearbarrow::node
