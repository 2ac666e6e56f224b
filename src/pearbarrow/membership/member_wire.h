/// Conversion between members and their wire format. Internal to `membership`.
#pragma once

#include <cstdint>

#include "pearbarrow/membership/member.h"
#include "pearbarrow/wire/membership_messages.h"

namespace pearbarrow::membership {

wire::member_record to_record(const member& value);

/// Converts a record to a member. An unknown state is converted to `left`.
member from_record(const wire::member_record& record);

/// Converts a state from its wire format. Unknown values are converted to the state with the
/// highest precedence.
member_state state_from_wire(std::uint8_t state);

/// Identifies a process of a node in configuration reports.
std::uint64_t report_hash(const base::node_id& id, std::uint64_t generation);

/// Hashes the properties of a live member on which two nodes must agree.
std::uint64_t content_hash(const member& value);

}  // namespace pearbarrow::membership
