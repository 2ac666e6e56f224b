/// Messages of the peer methods `ownership_offer` and `ownership_locate`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"

namespace pearbarrow::node {

/// A stopping owner offers shards to the node that should own them next.
struct ownership_offer_message {
    std::vector<base::shard_id> shards;
    MSGPACK_DEFINE(shards);
};

/// The shards that the asked node now campaigns for. The offerer stops owning them.
struct ownership_offer_reply {
    std::vector<base::shard_id> taken;
    MSGPACK_DEFINE(taken);
};

struct ownership_locate_request {
    std::uint8_t reserved = 0;
    MSGPACK_DEFINE(reserved);
};

/// One shard that a node hosts, for operators' status pages.
struct hosted_shard {
    base::shard_id shard;
    /// "serving", "recovering" or "unavailable".
    std::string state;
    std::uint64_t programs = 0;
    std::uint64_t ballot_round = 0;
    std::uint64_t commit_index = 0;
    MSGPACK_DEFINE(shard, state, programs, ballot_round, commit_index);
};

struct ownership_locate_reply {
    std::vector<hosted_shard> shards;
    MSGPACK_DEFINE(shards);
};

/// Asks the owner of `shard` about programs of that shard.
struct programs_ended_request {
    base::shard_id shard;
    std::vector<base::program_id> programs;
    MSGPACK_DEFINE(shard, programs);
};

/// Those of the programs that do not live: ended, or unknown to their owner.
struct programs_ended_reply {
    std::vector<base::program_id> ended;
    MSGPACK_DEFINE(ended);
};

}  // namespace pearbarrow::node
