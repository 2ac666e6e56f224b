#include "pearbarrow/emulator/key_value_store.h"

#include <algorithm>
#include <compare>

namespace pearbarrow::emulator {
namespace {

const std::string all_following("\0", 1);

bool satisfies(std::strong_ordering order, compare_result expected) {
    switch (expected) {
        case compare_result::equal:
            return order == std::strong_ordering::equal;
        case compare_result::greater:
            return order == std::strong_ordering::greater;
        case compare_result::less:
            return order == std::strong_ordering::less;
        case compare_result::not_equal:
            return order != std::strong_ordering::equal;
    }
    return false;
}

std::int64_t number_of(const key_value& value, compare_target target) {
    switch (target) {
        case compare_target::version:
            return value.version;
        case compare_target::create_revision:
            return value.create_revision;
        case compare_target::mod_revision:
            return value.mod_revision;
        case compare_target::lease:
            return value.lease;
        case compare_target::value:
            break;
    }
    return 0;
}

}  // namespace

bool key_range::contains(const std::string& candidate) const {
    if (range_end.empty()) {
        return candidate == key;
    }
    return candidate >= key && (range_end == all_following || candidate < range_end);
}

range_response key_value_store::range(const range_request& request) const {
    range_response response;
    for (auto at = values_.lower_bound(request.keys.key);
         at != values_.end() && request.keys.contains(at->first); ++at) {
        ++response.count;
        const bool full = request.limit > 0 && std::ssize(response.values) >= request.limit;
        response.more = response.more || full;
        if (full || request.count_only) {
            continue;
        }
        response.values.push_back(at->second);
        if (request.keys_only) {
            response.values.back().value.clear();
        }
    }
    return response;
}

store_error key_value_store::apply(const store_request& request, store_response& response) {
    transaction_response whole;
    const store_error error = transact({.success = {request}}, whole);
    if (error == store_error::none) {
        response = std::move(whole.responses.front());
    }
    return error;
}

store_error key_value_store::transact(const transaction_request& request,
                                      transaction_response& response) {
    response = {};
    response.succeeded = std::ranges::all_of(
        request.compare, [this](const comparison& item) { return holds(item); });
    const auto& requests = response.succeeded ? request.success : request.failure;
    if (const store_error error = check(requests); error != store_error::none) {
        return error;
    }
    ++revision_;
    bool changed = false;
    for (const store_request& item : requests) {
        response.responses.push_back(run(item, changed));
    }
    if (!changed) {
        --revision_;
    }
    return store_error::none;
}

bool key_value_store::holds(const comparison& item) const {
    const auto known = values_.find(item.key);
    // A key that does not exist compares as all zeros; its value compares with nothing.
    static const key_value absent;
    if (item.target == compare_target::value) {
        return known != values_.end() && satisfies(known->second.value <=> item.value, item.result);
    }
    const key_value& value = known == values_.end() ? absent : known->second;
    return satisfies(number_of(value, item.target) <=> item.number, item.result);
}

store_error key_value_store::check(const std::vector<store_request>& requests) const {
    std::set<std::string> written;
    for (const store_request& item : requests) {
        const auto* put = std::get_if<put_request>(&item);
        if (put == nullptr) {
            continue;
        }
        if (!written.insert(put->key).second) {
            return store_error::duplicate_key;
        }
        if (put->lease != 0 && !leases_.contains(put->lease)) {
            return store_error::lease_not_found;
        }
    }
    return store_error::none;
}

store_response key_value_store::run(const store_request& request, bool& changed) {
    if (const auto* read = std::get_if<range_request>(&request)) {
        return range(*read);
    }
    if (const auto* write = std::get_if<put_request>(&request)) {
        changed = true;
        return put(*write);
    }
    delete_response response = erase(std::get<delete_request>(request));
    changed = changed || response.deleted > 0;
    return response;
}

put_response key_value_store::put(const put_request& request) {
    key_value& entry = values_[request.key];
    const bool existed = entry.version > 0;
    std::optional<key_value> previous = existed ? std::optional(entry) : std::nullopt;
    if (existed) {
        detach(entry);
    }
    entry.key = request.key;
    entry.value = request.value;
    entry.create_revision = existed ? entry.create_revision : revision_;
    entry.mod_revision = revision_;
    ++entry.version;
    entry.lease = request.lease;
    if (request.lease != 0) {
        leases_.at(request.lease).keys.insert(request.key);
    }
    record({.current = entry, .previous = previous});
    return {request.prev_kv ? std::move(previous) : std::nullopt};
}

delete_response key_value_store::erase(const delete_request& request) {
    delete_response response;
    auto at = values_.lower_bound(request.keys.key);
    while (at != values_.end() && request.keys.contains(at->first)) {
        detach(at->second);
        record({.deleted = true,
                .current = {.key = at->first, .mod_revision = revision_},
                .previous = at->second});
        if (request.prev_kv) {
            response.previous.push_back(at->second);
        }
        ++response.deleted;
        at = values_.erase(at);
    }
    return response;
}

void key_value_store::detach(const key_value& value) {
    const auto lease = leases_.find(value.lease);
    if (lease != leases_.end()) {
        lease->second.keys.erase(value.key);
    }
}

void key_value_store::record(store_event event) {
    events_.push_back(std::move(event));
    if (events_.size() > kept_events_) {
        compacted_ = events_.front().current.mod_revision;
        events_.pop_front();
    }
}

store_error key_value_store::grant_lease(base::seconds time_to_live, std::int64_t& id,
                                         base::instant now) {
    if (id == 0) {
        id = next_lease_++;
    }
    const bool granted =
        leases_.try_emplace(id, lease_record{time_to_live, now + time_to_live, {}}).second;
    return granted ? store_error::none : store_error::lease_exists;
}

store_error key_value_store::revoke_lease(std::int64_t id) {
    if (!leases_.contains(id)) {
        return store_error::lease_not_found;
    }
    end_lease(id);
    return store_error::none;
}

void key_value_store::end_lease(std::int64_t id) {
    const std::set<std::string> keys = leases_.at(id).keys;
    if (!keys.empty()) {
        ++revision_;
    }
    for (const std::string& key : keys) {
        erase({.keys = {key, {}}});
    }
    leases_.erase(id);
}

std::optional<base::seconds> key_value_store::keep_alive(std::int64_t id, base::instant now) {
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
        return std::nullopt;
    }
    lease->second.expires = now + lease->second.time_to_live;
    return lease->second.time_to_live;
}

std::optional<base::seconds> key_value_store::time_left(std::int64_t id, base::instant now) const {
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
        return std::nullopt;
    }
    return std::chrono::ceil<base::seconds>(lease->second.expires - now);
}

std::optional<base::instant> key_value_store::next_event() const {
    std::optional<base::instant> next;
    for (const auto& [id, lease] : leases_) {
        if (!next || lease.expires < *next) {
            next = lease.expires;
        }
    }
    return next;
}

void key_value_store::advance(base::instant now) {
    for (auto at = leases_.begin(); at != leases_.end();) {
        const auto current = at++;
        if (current->second.expires <= now) {
            end_lease(current->first);
        }
    }
}

std::vector<store_event> key_value_store::events(const key_range& keys, std::int64_t from) const {
    std::vector<store_event> found;
    const auto first = std::ranges::partition_point(
        events_, [from](const store_event& item) { return item.current.mod_revision < from; });
    std::copy_if(first, events_.end(), std::back_inserter(found),
                 [&keys](const store_event& item) { return keys.contains(item.current.key); });
    return found;
}

}  // namespace pearbarrow::emulator
