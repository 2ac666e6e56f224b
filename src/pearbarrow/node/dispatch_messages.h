/// Envelope of the peer calls `placement_*`: which cell a placement message is for.
#pragma once

#include <string>

#include <msgpack.hpp>

#include "pearbarrow/node/cell_map.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::node {

struct cell_message {
    cell_id cell;
    /// The packed message of wire/placement_messages.h that goes with the method.
    std::string body;

    MSGPACK_DEFINE(cell, body);
};

template <typename Message>
std::string encode_for_cell(const cell_id& cell, const Message& message) {
    return wire::encode(cell_message{cell, wire::encode(message)});
}

}  // namespace pearbarrow::node
