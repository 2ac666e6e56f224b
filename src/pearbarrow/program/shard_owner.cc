#include "pearbarrow/program/shard_owner.h"

#include "pearbarrow/program/owner_state.h"

namespace pearbarrow::program {

shard_owner::shard_owner(owner_options options) : state_(std::make_unique<owner_state>(options)) {}
shard_owner::~shard_owner() = default;
shard_owner::shard_owner(shard_owner&&) noexcept = default;
shard_owner& shard_owner::operator=(shard_owner&&) noexcept = default;

std::vector<shard_action> shard_owner::apply(const shard_event& event, base::instant now) {
    return state_->apply(event, now);
}

std::size_t shard_owner::program_count() const {
    return state_->program_count();
}
std::size_t shard_owner::history_cache_bytes() const {
    return state_->history_cache_bytes();
}
std::vector<base::program_id> shard_owner::live_programs() const {
    return state_->live_programs();
}
std::vector<quota_need> shard_owner::needs_of(const wire::program_request& request) const {
    return state_->needs_of(request);
}
const quota_use_map& shard_owner::quota_use() const {
    return state_->quota_use();
}
bool shard_owner::idle() const {
    return state_->idle();
}

}  // namespace pearbarrow::program
