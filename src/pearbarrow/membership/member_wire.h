/// Conversion between members and their form on the wire. Internal to `membership`.
#pragma once

#include <cstdint>

#include "pearbarrow/membership/member.h"
#include "pearbarrow/wire/membership_messages.h"

namespace pearbarrow::membership {

wire::member_record to_record(const member& value);

/// The member that a record describes; a state outside the known ones reads as `left`.
member from_record(const wire::member_record& record);

/// Reads a state from the wire; unknown numbers read as the strongest.
member_state state_from_wire(std::uint8_t state);

/// Names a process of a node in configuration reports.
std::uint64_t report_hash(const base::node_id& id, std::uint64_t generation);

/// Hash of what two nodes must agree on about a live member.
std::uint64_t content_hash(const member& value);

}  // namespace pearbarrow::membership
