// The shard's use of the limits that are counted across the fleet.
#include <algorithm>

#include "pearbarrow/program/owner_state.h"

namespace pearbarrow::program {

namespace {

std::uint64_t tokens_of(const wire::call_body& body, std::uint64_t history_tokens) {
    return body.model ? max_cost(body, history_tokens) : 0;
}

}  // namespace

std::vector<quota_need> owner_state::needs_of(const wire::program_request& request) {
    if (!recovered_ || ownership_lost_ || configuration_ == nullptr) {
        return {};
    }
    if (request.open) {
        const bool known = request.open->parent || programs_.contains(request.program);
        return known ? std::vector<quota_need>{}
                     : needs_of_program(bounds_on(request.tenant, *request.open));
    }
    const auto at = find(request.program);
    const bool targets_open_program = request.submit && at && at->program.open() &&
                                      !at->runtime.ending && at->program.tenant == request.tenant;
    const bool has_one_body = request.submit && request.submit->body.model.has_value() !=
                                                    request.submit->body.tool.has_value();
    if (!targets_open_program || !has_one_body ||
        at->program.find_call(request.submit->number) != nullptr ||
        at->program.find_key(request.submit->idempotency_key) != nullptr) {
        return {};
    }
    return needs_of_call(bounds_on(at->program.tenant, at->program.request),
                         tokens_of(request.submit->body, at->program.history.tokens()));
}

void owner_state::count_program(program_context at) {
    at.runtime.limited_by.clear();
    for (const config::applied_bounds& each : bounds_on(at.program.tenant, at.program.request)) {
        at.runtime.limited_by.push_back(each.source);
        ++quota_use_[each.source].programs;
    }
}

void owner_state::uncount_program(program_context at) {
    for (const config::object_key& source : at.runtime.limited_by) {
        auto& use = quota_use_[source];
        use.programs -= std::min<std::uint64_t>(use.programs, 1);
        if (use.programs == 0 && use.tokens == 0) {
            quota_use_.erase(source);
        }
    }
    at.runtime.limited_by.clear();
}

void owner_state::count_call(call_context at) {
    at.active.counted_tokens = tokens_of(*at.call.body, at.program.history.tokens());
    for (const config::object_key& source : at.runtime.limited_by) {
        quota_use_[source].tokens += at.active.counted_tokens;
    }
}

void owner_state::uncount_call(call_context at) {
    for (const config::object_key& source : at.runtime.limited_by) {
        auto& use = quota_use_[source];
        use.tokens -= std::min(use.tokens, at.active.counted_tokens);
    }
    at.active.counted_tokens = 0;
}

void owner_state::recount_quota_use() {
    quota_use_.clear();
    for (const base::program_id& id : live_programs()) {
        const auto at = find(id);
        if (!at || at->runtime.end_appended) {
            continue;
        }
        count_program(*at);
        for (const auto& [number, call] : at->program.calls) {
            const auto context = find(id, number);
            if (context && !context->call.done()) {
                count_call(*context);
            }
        }
    }
}

}  // namespace pearbarrow::program
