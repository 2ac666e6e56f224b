#include "pearbarrow/program/prefix_chain.h"

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/tokens.h"

namespace pearbarrow::program {

std::uint64_t message_tokens(const wire::chat_message& message) {
    return base::message_overhead_tokens + base::estimate_tokens(message.content);
}

void prefix_chain::add(const wire::chat_message& message) {
    hash_ = base::stable_hash(message.role, hash_);
    hash_ = base::stable_hash(message.content, hash_);
    tokens_ += message_tokens(message);
    if (first_.size() < max_marks) {
        first_.push_back(end());
    }
}

void prefix_chain::mark_end() {
    const bool known = !first_.empty() && first_.back().tokens >= tokens_;
    if (known) {
        return;
    }
    ends_.push_back(end());
    if (ends_.size() > max_marks) {
        ends_.erase(ends_.begin());
    }
}

wire::prefix_mark prefix_chain::end() const {
    return {.key = hash_, .tokens = static_cast<std::uint32_t>(tokens_)};
}

std::vector<wire::prefix_mark> prefix_chain::marks() const {
    std::vector<wire::prefix_mark> all = first_;
    all.insert(all.end(), ends_.begin(), ends_.end());
    return all;
}

}  // namespace pearbarrow::program
