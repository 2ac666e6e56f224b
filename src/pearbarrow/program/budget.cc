#include "pearbarrow/program/budget.h"

#include <algorithm>

namespace pearbarrow::program {

std::uint64_t token_budget::remaining() const {
    const std::uint64_t used = spent_ + reserved_ + transferred_;
    return used >= total_ ? 0 : total_ - used;
}

void token_budget::settle(std::uint64_t reserved, std::optional<std::uint64_t> spent) {
    if (!spent.has_value()) {
        return;
    }
    reserved_ -= std::min(reserved, reserved_);
    spent_ += *spent;
}

void token_budget::transfer_back(std::uint64_t tokens) {
    transferred_ -= std::min(tokens, transferred_);
}

}  // namespace pearbarrow::program
