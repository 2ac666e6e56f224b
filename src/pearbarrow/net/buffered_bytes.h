/// Accounting of the bytes that a node buffers: data that callers, back ends and other nodes have
/// not read yet, and requests in flight.
///
/// A process has one instance. While the total exceeds its bound, owners are cut off: stalled
/// owners first, the largest of them first, then owners with progress. A few slow readers therefore
/// cannot exhaust the memory of the node and fail the requests of other callers.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::net {

/// Kinds of buffered bytes.
enum class buffer_kind : std::uint8_t {
    /// Responses that callers have not read.
    responses,
    /// Requests that back ends have not read.
    requests,
    /// Frames that other nodes have not read.
    frames,
    /// Bodies of requests from callers, from the first byte to the end of the response.
    bodies,
};

inline constexpr std::size_t buffer_kind_count = 4;

std::string_view to_string(buffer_kind kind);

struct buffered_bytes_options {
    /// Limit for all kinds together; 0 disables it.
    std::size_t bound = 0;
    /// Fraction of the bound above which large bodies are rejected. Requests in flight need the
    /// rest to finish.
    double admission_share = 0.5;
    /// Bodies up to this size are admitted up to the bound itself. The new text of a turn or a form
    /// takes a few KB, and its caller must not wait for slow readers.
    std::size_t small_body_bytes = std::size_t{16} * 1024;
    /// Fraction of the free bytes that one owner may use, between `min_share` and `max_share`.
    /// With a sixteenth, 200 slow readers leave a thirteenth of the bound to the other owners.
    double free_share = 1.0 / 16;
    std::size_t min_share = std::size_t{16} * 1024;
    std::size_t max_share = std::size_t{1024} * 1024;
    /// An owner without progress for this long is stalled. The interval covers several round trips
    /// and the 0.1 s during which a peer does not run when its processor quota is used up.
    base::milliseconds stalled_after{500};
};

class buffered_bytes {
  public:
    /// An object that buffers bytes until a peer reads them.
    class buffer_owner {
      public:
        virtual ~buffer_owner() = default;
        virtual std::size_t buffered() const = 0;
        /// Time at which the peer last read bytes.
        virtual base::instant progressed_at() const = 0;
        /// Closes the connection to the peer and discards the buffered bytes.
        virtual void cut_off() = 0;
    };
    using now_source = std::function<base::instant()>;

    /// A null `now` selects the monotonic clock of the process.
    explicit buffered_bytes(buffered_bytes_options options = {}, now_source now = nullptr);
    buffered_bytes(const buffered_bytes&) = delete;
    buffered_bytes& operator=(const buffered_bytes&) = delete;

    void add(buffer_kind kind, std::size_t bytes) { this->sums[index_of(kind)] += bytes; }
    void remove(buffer_kind kind, std::size_t bytes) { this->sums[index_of(kind)] -= bytes; }
    /// Registers an owner, which may be cut off until it leaves.
    void add_owner(buffer_owner& owner) { this->owners.insert(&owner); }
    void remove_owner(buffer_owner& owner) { this->owners.erase(&owner); }
    /// Cuts off owners until the total is within the bound: stalled owners, then owners with
    /// progress, the largest first. Must not be called from within an operation of an owner.
    void enforce();

    bool is_over_bound() const {
        return this->options.bound > 0 && this->total() > this->options.bound;
    }
    /// Whether a body of `bytes` bytes may be admitted, of which `counted` bytes are already
    /// included in the total.
    bool admits(std::size_t bytes, std::size_t counted = 0) const;
    /// Number of bytes that an owner may buffer before it should stop reading from its source. It
    /// is a fraction of the free bytes, so that a few slow readers may buffer much and many of them
    /// cannot use up the total (dynamic thresholds of shared buffers).
    std::size_t share() const;
    std::size_t total() const;
    std::size_t of(buffer_kind kind) const { return this->sums[index_of(kind)]; }
    std::size_t bound() const { return this->options.bound; }
    /// Number of owners that were cut off.
    std::uint64_t cut_off_count() const { return this->cut_offs; }

  private:
    static std::size_t index_of(buffer_kind kind) { return static_cast<std::size_t>(kind); }
    buffer_owner* next_to_cut_off() const;

    buffered_bytes_options options;
    now_source now;
    std::array<std::size_t, buffer_kind_count> sums{};
    std::unordered_set<buffer_owner*> owners;
    std::uint64_t cut_offs = 0;
};

/// A number of bytes that is included in the accounting during the lifetime of this object.
class buffered_part {
  public:
    buffered_part() = default;
    buffered_part(std::shared_ptr<buffered_bytes> ledger, buffer_kind kind)
        : ledger(std::move(ledger)), kind(kind) {}
    buffered_part(const buffered_part&) = delete;
    buffered_part& operator=(const buffered_part&) = delete;
    ~buffered_part() { this->set(0); }

    void set(std::size_t bytes);
    void add(std::size_t bytes) { this->set(this->bytes + bytes); }
    std::size_t size() const { return this->bytes; }

  private:
    std::shared_ptr<buffered_bytes> ledger;
    buffer_kind kind = buffer_kind::bodies;
    std::size_t bytes = 0;
};

}  // namespace pearbarrow::net
