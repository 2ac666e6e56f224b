/// Message of the peer method `node_drain`: an operator's order to one node.
#pragma once

#include <msgpack.hpp>

namespace pearbarrow::node {

struct node_drain_message {
    /// False: the node takes work again.
    bool draining = true;
    MSGPACK_DEFINE(draining);
};

}  // namespace pearbarrow::node
