/// Message of the peer method `journal_reset`: a shard's owner has a corrupt replica given up.
#pragma once

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::node {

/// Answered by the member that the shard is there now. Refused with `not_corrupt` unless `member`
/// is the node's corrupt replica.
struct replica_reset_message {
    base::shard_id shard;
    wire::journal_member member;
    MSGPACK_DEFINE(shard, member);
};

}  // namespace pearbarrow::node
