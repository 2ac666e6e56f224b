/// The token budget of one program: its total, spent, reserved and transferred tokens.
#pragma once

#include <cstdint>
#include <optional>

#include <msgpack.hpp>

namespace pearbarrow::program {

/// Tokens of one program. A reservation is the maximum cost of an attempt. It is made before the
/// attempt starts and lasts until the actual cost is known; if the cost stays unknown, it is
/// permanent.
class token_budget {
  public:
    token_budget() = default;
    explicit token_budget(std::uint64_t total) : total_(total) {}

    std::uint64_t total() const { return total_; }
    std::uint64_t spent() const { return spent_; }
    std::uint64_t reserved() const { return reserved_; }
    /// Tokens that are not spent, reserved or transferred to sub-programs.
    std::uint64_t remaining() const;
    bool covers(std::uint64_t tokens) const { return tokens <= remaining(); }

    void reserve(std::uint64_t tokens) { reserved_ += tokens; }
    /// Ends a reservation. Without `spent` the cost is unknown and the reservation stays.
    void settle(std::uint64_t reserved, std::optional<std::uint64_t> spent);
    /// Transfers tokens to a sub-program.
    void transfer_out(std::uint64_t tokens) { transferred_ += tokens; }
    /// Returns the tokens that a sub-program did not spend.
    void transfer_back(std::uint64_t tokens);

    MSGPACK_DEFINE(total_, spent_, reserved_, transferred_);

  private:
    std::uint64_t total_ = 0;
    std::uint64_t spent_ = 0;
    std::uint64_t reserved_ = 0;
    std::uint64_t transferred_ = 0;
};

}  // namespace pearbarrow::program
