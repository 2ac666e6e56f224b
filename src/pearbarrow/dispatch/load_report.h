/// What nodes tell each other about the requests that they have at back ends.
///
/// The messages ride on those that forwarding nodes and storage members exchange for every turn, so
/// knowing the load of all nodes costs no message of its own.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string_view>
#include <vector>

#include "pearbarrow/base/ids.h"

namespace pearbarrow::dispatch {

/// A short name of a back end, for messages: two of them meet once in millions of pairs, and then
/// only add up their loads.
using backend_key = std::uint32_t;

/// `started_at`: which run of its process, as `directory::backend` has it. What is reported of one
/// run is no load of the next.
backend_key key_of(std::string_view backend, std::uint64_t started_at = 0);

/// Requests at one back end, and how the latest ones ended.
struct backend_load {
    backend_key backend = 0;
    std::uint32_t requests = 0;
    /// Of the last second or two, the older ones counted for less; in hundredths. Told only of back
    /// ends that have failed something.
    std::uint32_t served = 0;
    std::uint32_t failed = 0;
    /// Mean time of one event of a stream, or of a whole answer that is none; 0: not known.
    std::uint32_t pace_us = 0;
    /// Tokens of prompts that were sent there and have no first event yet.
    std::uint32_t unread_tokens = 0;

    bool operator==(const backend_load&) const = default;

    /// Both measures travel in steps: the tokens then cost no byte more than a coarser pace saves.
    static constexpr std::uint32_t pace_step = 256;
    static constexpr std::uint32_t token_step = 64;

    template <typename Packer>
    void msgpack_pack(Packer& packer) const {
        packer.pack_array(field_count);
        packer.pack(this->backend);
        packer.pack(this->requests);
        packer.pack(this->served);
        packer.pack(this->failed);
        packer.pack(in_steps(this->pace_us, pace_step));
        packer.pack(in_steps(this->unread_tokens, token_step));
    }
    /// Throws `msgpack::type_error`, as the library's own do.
    void msgpack_unpack(const msgpack::object& object) {
        if (object.type != msgpack::type::ARRAY || object.via.array.size < older_field_count) {
            throw msgpack::type_error();
        }
        const msgpack::object* field = object.via.array.ptr;
        field[0].convert(this->backend);
        field[1].convert(this->requests);
        field[2].convert(this->served);
        field[3].convert(this->failed);
        this->unread_tokens = 0;
        field[4].convert(this->pace_us);
        if (object.via.array.size >= field_count) {
            this->pace_us = from_steps(this->pace_us, pace_step);
            this->unread_tokens = from_steps(field[5].as<std::uint32_t>(), token_step);
        }
    }

  private:
    static constexpr std::uint32_t field_count = 6;
    /// Of nodes that tell no tokens, and the pace in microseconds.
    static constexpr std::uint32_t older_field_count = 5;
    /// Upwards: something never becomes nothing.
    static std::uint32_t in_steps(std::uint32_t value, std::uint32_t step) {
        return value / step + (value % step == 0 ? 0 : 1);
    }
    static std::uint32_t from_steps(std::uint32_t steps, std::uint32_t step) {
        return steps > UINT32_MAX / step ? UINT32_MAX : steps * step;
    }
};

/// What one node has under way. A report replaces the node's earlier ones.
struct load_report {
    base::node_id node;
    /// Drawn at the node's start; 0: nothing is reported.
    std::uint64_t life = 0;
    /// Grows with each report of a life.
    std::uint64_t number = 0;
    std::vector<backend_load> loads;
    /// The answer is to carry the totals.
    bool wants_totals = false;

    MSGPACK_DEFINE(node, life, number, loads, wants_totals);
};

/// What all nodes but the asking one have under way, as far as the answering one was told.
struct load_totals {
    /// False: the message carries no totals.
    bool is_given = false;
    /// For how long the answering node has gathered reports. Milliseconds.
    std::uint32_t gathered_ms = 0;
    std::vector<backend_load> loads;

    MSGPACK_DEFINE(is_given, gathered_ms, loads);
};

/// A node's side: gives its own report, takes the totals of the others.
class load_exchange {
  public:
    virtual ~load_exchange() = default;
    virtual load_report report(bool wants_totals) = 0;
    virtual void take(const load_totals& totals) = 0;
};

}  // namespace pearbarrow::dispatch
