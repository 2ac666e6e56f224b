#include "pearbarrow/membership/member_wire.h"

#include <string>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::membership {
namespace {

constexpr std::uint8_t flag_has_disk = 1;
constexpr std::uint8_t flag_draining = 2;

wire::packed_endpoint pack(const net::endpoint& value, const net::endpoint& datagram) {
    return {value.address == datagram.address ? std::string() : value.address, value.port};
}

net::endpoint unpack(const wire::packed_endpoint& value, const wire::packed_endpoint& datagram) {
    if (value.port == 0) {
        return {};
    }
    return {value.address.empty() ? datagram.address : value.address, value.port};
}

}  // namespace

wire::member_record to_record(const member& value) {
    const member_metadata& data = value.metadata;
    wire::member_record record;
    record.id = value.id;
    record.generation = value.generation;
    record.incarnation = value.incarnation;
    record.state = static_cast<std::uint8_t>(value.state);
    record.zone = data.zone;
    record.region = data.region;
    record.datagram = {data.datagram.address, data.datagram.port};
    record.peer = pack(data.peer, data.datagram);
    record.caller = pack(data.caller, data.datagram);
    record.operators = pack(data.operators, data.datagram);
    record.flags = static_cast<std::uint8_t>((data.has_disk ? flag_has_disk : 0) |
                                             (data.draining ? flag_draining : 0));
    record.weight = data.weight;
    record.config_version = value.config_version;
    return record;
}

member from_record(const wire::member_record& record) {
    member value;
    value.id = record.id;
    value.generation = record.generation;
    value.incarnation = record.incarnation;
    value.state = state_from_wire(record.state);
    value.metadata.zone = record.zone;
    value.metadata.region = record.region;
    value.metadata.datagram = {record.datagram.address, record.datagram.port};
    value.metadata.peer = unpack(record.peer, record.datagram);
    value.metadata.caller = unpack(record.caller, record.datagram);
    value.metadata.operators = unpack(record.operators, record.datagram);
    value.metadata.has_disk = (record.flags & flag_has_disk) != 0;
    value.metadata.draining = (record.flags & flag_draining) != 0;
    value.metadata.weight = record.weight;
    value.config_version = record.config_version;
    return value;
}

member_state state_from_wire(std::uint8_t state) {
    return state <= static_cast<std::uint8_t>(member_state::left) ? static_cast<member_state>(state)
                                                                  : member_state::left;
}

std::uint64_t report_hash(const base::node_id& id, std::uint64_t generation) {
    return base::stable_hash(id.value(), generation);
}

std::uint64_t content_hash(const member& value) {
    const std::string text = fmt::format("{} {} {} {}", value.id.value(), value.generation,
                                         value.incarnation, value.config_version.value());
    return base::stable_hash(text);
}

}  // namespace pearbarrow::membership
