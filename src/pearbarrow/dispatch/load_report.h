/// Messages by which nodes report the requests that they have at back ends.
///
/// The reports are attached to the messages that forwarding nodes and storage members exchange for
/// every turn, so they need no messages of their own.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string_view>
#include <vector>

#include "pearbarrow/base/ids.h"

namespace pearbarrow::dispatch {

/// A short identifier of a back end for messages. Two back ends share a key once in millions of
/// pairs, and then only their loads are added up.
using backend_key = std::uint32_t;

/// `started_at`: the incarnation of the back end, as in `directory::backend`. Load reported for one
/// incarnation does not count for the next.
backend_key key_of(std::string_view backend, std::uint64_t started_at = 0);

/// Requests of a node at one back end, and the results of recent ones.
struct backend_load {
    backend_key backend = 0;
    std::uint32_t requests = 0;
    /// Requests of the last one or two seconds, with a lower weight for older ones, in hundredths.
    /// Both are sent only for back ends with failed requests.
    std::uint32_t served = 0;
    std::uint32_t failed = 0;
    /// Mean time per event of a stream, or of a whole response that is not a stream; 0: unknown.
    std::uint32_t event_interval_us = 0;
    /// Tokens of prompts that were sent there and have no first event yet.
    std::uint32_t unread_tokens = 0;

    bool operator==(const backend_load&) const = default;

    /// Both values are sent in multiples of these steps: the bytes saved by the coarser event
    /// interval pay for the tokens.
    static constexpr std::uint32_t event_interval_step = 256;
    static constexpr std::uint32_t token_step = 64;

    template <typename Packer>
    void msgpack_pack(Packer& packer) const {
        packer.pack_array(field_count);
        packer.pack(this->backend);
        packer.pack(this->requests);
        packer.pack(this->served);
        packer.pack(this->failed);
        packer.pack(to_steps(this->event_interval_us, event_interval_step));
        packer.pack(to_steps(this->unread_tokens, token_step));
    }
    /// Throws `msgpack::type_error`, as the converters of the library do.
    void msgpack_unpack(const msgpack::object& object) {
        if (object.type != msgpack::type::ARRAY || object.via.array.size < min_field_count) {
            throw msgpack::type_error();
        }
        const msgpack::object* field = object.via.array.ptr;
        field[0].convert(this->backend);
        field[1].convert(this->requests);
        field[2].convert(this->served);
        field[3].convert(this->failed);
        this->unread_tokens = 0;
        field[4].convert(this->event_interval_us);
        if (object.via.array.size >= field_count) {
            this->event_interval_us = from_steps(this->event_interval_us, event_interval_step);
            this->unread_tokens = from_steps(field[5].as<std::uint32_t>(), token_step);
        }
    }

  private:
    static constexpr std::uint32_t field_count = 6;
    /// Field count of nodes that send no tokens, and the event interval in microseconds.
    static constexpr std::uint32_t min_field_count = 5;
    /// Rounds up, so that a value above 0 never becomes 0.
    static std::uint32_t to_steps(std::uint32_t value, std::uint32_t step) {
        return value / step + (value % step == 0 ? 0 : 1);
    }
    static std::uint32_t from_steps(std::uint32_t steps, std::uint32_t step) {
        return steps > UINT32_MAX / step ? UINT32_MAX : steps * step;
    }
};

/// The requests in flight of one node. A report replaces the earlier ones of the node.
struct load_report {
    base::node_id node;
    /// Random incarnation of the node, chosen at its start; 0: the message contains no report.
    std::uint64_t incarnation = 0;
    /// Increases with each report of an incarnation.
    std::uint64_t number = 0;
    std::vector<backend_load> loads;
    /// Requests the totals in the reply.
    bool wants_totals = false;

    MSGPACK_DEFINE(node, incarnation, number, loads, wants_totals);
};

/// Requests in flight of all nodes except the requesting one, as reported to the replying node.
struct load_totals {
    /// False if the message contains no totals.
    bool is_present = false;
    /// Time for which the replying node has collected reports. Milliseconds.
    std::uint32_t collection_time_ms = 0;
    std::vector<backend_load> loads;

    MSGPACK_DEFINE(is_present, collection_time_ms, loads);
};

/// Interface of a node: creates its report and receives the totals of the others.
class load_exchange {
  public:
    virtual ~load_exchange() = default;
    virtual load_report report(bool wants_totals) = 0;
    virtual void apply_totals(const load_totals& totals) = 0;
};

}  // namespace pearbarrow::dispatch
