/// Bytes that a node holds in its memory for others: what callers, back ends and other nodes have
/// not taken yet, and requests that are not answered yet.
///
/// One ledger a process. What is held has a bound; beyond it whoever holds most without making
/// progress is cut off, so that a few slow readers never cost the node its memory and everybody
/// else their answers.
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

/// For whom bytes are held.
enum class holding : std::uint8_t {
    /// Answers that callers have not taken.
    answers,
    /// Requests that back ends have not taken.
    requests,
    /// Frames that other nodes have not taken.
    frames,
    /// Bodies of callers' requests, from their first byte to the end of the answer.
    bodies,
};

inline constexpr std::size_t holding_kinds = 4;

std::string_view to_string(holding kind);

struct held_bytes_options {
    /// Of all kinds together; 0: no bound.
    std::size_t bound = 0;
    /// Part of the bound from which no further large bodies are taken in: what is under way needs
    /// the rest to end.
    double admission_share = 0.5;
    /// A smaller body is taken in up to the bound itself: a turn's new text and a form are a few
    /// KB, and callers that send them shall not wait for those that read slowly.
    std::size_t small_body = std::size_t{16} * 1024;
    /// Part of the free bytes that one holder may take, within `least_share` and `most_share`: with
    /// a sixteenth, 200 slow readers leave a thirteenth of the bound to the others.
    double free_share = 1.0 / 16;
    std::size_t least_share = std::size_t{16} * 1024;
    std::size_t most_share = std::size_t{1024} * 1024;
    /// Who has taken nothing for this long counts as stalled: several round trips, and a peer's
    /// pause of a tenth of a second when its share of a processor is spent.
    base::milliseconds stalled_after{500};
};

class held_bytes {
  public:
    /// One who has bytes waiting here for the other side to take.
    class holder {
      public:
        virtual ~holder() = default;
        virtual std::size_t held() const = 0;
        /// When the other side last took some.
        virtual base::instant progressed_at() const = 0;
        /// Gives up the other side, and all that waits for it.
        virtual void cut_off() = 0;
    };
    using now_source = std::function<base::instant()>;

    /// Without `now` the process's own clock counts.
    explicit held_bytes(held_bytes_options options = {}, now_source now = nullptr);
    held_bytes(const held_bytes&) = delete;
    held_bytes& operator=(const held_bytes&) = delete;

    void add(holding kind, std::size_t bytes) { this->sums[index_of(kind)] += bytes; }
    void remove(holding kind, std::size_t bytes) { this->sums[index_of(kind)] -= bytes; }
    /// From now on the holder may be cut off, until it leaves.
    void join(holder& one) { this->holders.insert(&one); }
    void leave(holder& one) { this->holders.erase(&one); }
    /// Cuts holders off until the rest is within the bound, stalled ones first, of these the
    /// largest. Not to be called from within a holder's own work.
    void enforce();

    bool is_over() const { return this->options.bound > 0 && this->total() > this->options.bound; }
    /// Whether a body of so many bytes, `counted` of them already, may be taken in.
    bool admits(std::size_t bytes, std::size_t counted = 0) const;
    /// What one holder may hold before it does better to read no further at its source: a part of
    /// what is free, so that a few slow readers get much and many of them never take it all
    /// (dynamic thresholds of shared buffers).
    std::size_t share() const;
    std::size_t total() const;
    std::size_t of(holding kind) const { return this->sums[index_of(kind)]; }
    std::size_t bound() const { return this->options.bound; }
    /// Holders cut off so far.
    std::uint64_t cut_off_count() const { return this->cut_offs; }

  private:
    static std::size_t index_of(holding kind) { return static_cast<std::size_t>(kind); }
    holder* first_to_go() const;

    held_bytes_options options;
    now_source now;
    std::array<std::size_t, holding_kinds> sums{};
    std::unordered_set<holder*> holders;
    std::uint64_t cut_offs = 0;
};

/// A number of bytes that counts as held for as long as this lives.
class held_part {
  public:
    held_part() = default;
    held_part(std::shared_ptr<held_bytes> ledger, holding kind)
        : ledger(std::move(ledger)), kind(kind) {}
    held_part(const held_part&) = delete;
    held_part& operator=(const held_part&) = delete;
    ~held_part() { this->set(0); }

    void set(std::size_t bytes);
    void add(std::size_t bytes) { this->set(this->bytes + bytes); }
    std::size_t size() const { return this->bytes; }

  private:
    std::shared_ptr<held_bytes> ledger;
    holding kind = holding::bodies;
    std::size_t bytes = 0;
};

}  // namespace pearbarrow::net
