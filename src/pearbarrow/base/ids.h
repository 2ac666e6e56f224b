/// Strong identifier types shared by all subsystems.
///
/// Each identifier has its own type, so that a program id cannot be passed as a tenant id.
/// Identifiers are ordered, compared, hashed, formatted and serialized with msgpack like the value
/// that they contain.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <ostream>
#include <string>
#include <utility>

namespace pearbarrow::base {

/// A value of type `Value` in the identifier family `Tag`.
template <typename Tag, typename Value>
class strong_id {
  public:
    using value_type = Value;

    strong_id() = default;
    explicit strong_id(Value value) : value_(std::move(value)) {}

    const Value& value() const { return value_; }

    auto operator<=>(const strong_id&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const strong_id& id) {  // NOLINT: the name absl requires
        return Hash::combine(std::move(hash), id.value_);
    }

    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) {
        return out << id.value_;
    }

    template <typename Packer>
    void msgpack_pack(Packer& packer) const {
        packer.pack(value_);
    }
    void msgpack_unpack(const msgpack::object& object) { object.convert(value_); }

  private:
    Value value_{};
};

/// Name of a node, set in its settings. It is unique among live nodes.
using node_id = strong_id<struct node_tag, std::string>;
using zone_name = strong_id<struct zone_tag, std::string>;
using region_name = strong_id<struct region_tag, std::string>;
using tenant_id = strong_id<struct tenant_tag, std::string>;
/// 32 lower-case hexadecimal digits, generated at random by the node that opens the program.
using program_id = strong_id<struct program_tag, std::string>;
/// Identifies one HTTP exchange at a gateway; only for logs.
using request_id = strong_id<struct request_tag, std::string>;
using pool_id = strong_id<struct pool_tag, std::string>;
/// A model engine or a tool service, as named in the configuration.
using backend_id = strong_id<struct backend_tag, std::string>;
using model_name = strong_id<struct model_tag, std::string>;
using tool_name = strong_id<struct tool_tag, std::string>;
/// Identifies one attempt at a call: the stream id of the engine and the request id of the tool.
using attempt_id = strong_id<struct attempt_tag, std::string>;
using grant_id = strong_id<struct grant_tag, std::uint64_t>;
using shard_id = strong_id<struct shard_tag, std::uint32_t>;
/// Position of a call in its program, starting at 1.
using call_number = strong_id<struct call_tag, std::uint64_t>;
/// Position of a record in the journal of a shard, starting at 1.
using log_index = strong_id<struct log_index_tag, std::uint64_t>;
/// Number of the newest applied change of the configuration log; 0 is the empty configuration.
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

/// The right to write the journal of a shard. A higher ballot fences every lower one. Ballots are
/// ordered by round and then by node name, so that no two nodes hold the same ballot.
struct ballot {
    std::uint64_t round = 0;
    node_id node;

    auto operator<=>(const ballot&) const = default;
    MSGPACK_DEFINE(round, node);
};

}  // namespace pearbarrow::base

namespace std {
template <typename Tag, typename Value>
struct hash<pearbarrow::base::strong_id<Tag, Value>> {
    size_t operator()(const pearbarrow::base::strong_id<Tag, Value>& id) const {
        return hash<Value>()(id.value());
    }
};
}  // namespace std
