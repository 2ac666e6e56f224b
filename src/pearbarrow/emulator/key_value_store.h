/// Model of the platform's key-value service: the part of etcd v3 that pearbarrow uses. Pure.
///
/// One revision number for the whole store grows by one with each transaction that changes
/// something. Keys are byte strings in byte order. Leases remove their keys when they lapse.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::emulator {

struct key_value {
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;

    bool operator==(const key_value&) const = default;
};

/// Keys from `key` to before `range_end`; an empty end means `key` alone, the end "\0" all keys
/// from `key` on.
struct key_range {
    std::string key;
    std::string range_end;

    bool contains(const std::string& candidate) const;
};

struct range_request {
    key_range keys;
    /// Zero: no limit.
    std::int64_t limit = 0;
    bool keys_only = false;
    bool count_only = false;
};

struct range_response {
    std::vector<key_value> values;
    std::int64_t count = 0;
    bool more = false;
};

struct put_request {
    std::string key;
    std::string value;
    std::int64_t lease = 0;
    bool prev_kv = false;
};

struct put_response {
    std::optional<key_value> previous;
};

struct delete_request {
    key_range keys;
    bool prev_kv = false;
};

struct delete_response {
    std::int64_t deleted = 0;
    std::vector<key_value> previous;
};

enum class compare_target { version, create_revision, mod_revision, value, lease };
enum class compare_result { equal, greater, less, not_equal };

struct comparison {
    compare_target target = compare_target::value;
    compare_result result = compare_result::equal;
    std::string key;
    /// Compared when the target is `value`, else `number`.
    std::string value;
    std::int64_t number = 0;
};

using store_request = std::variant<range_request, put_request, delete_request>;
using store_response = std::variant<range_response, put_response, delete_response>;

struct transaction_request {
    std::vector<comparison> compare;
    std::vector<store_request> success;
    std::vector<store_request> failure;
};

struct transaction_response {
    bool succeeded = false;
    std::vector<store_response> responses;
};

struct store_event {
    bool deleted = false;
    /// The key as written; for a deletion only key and mod_revision.
    key_value current;
    std::optional<key_value> previous;
};

enum class store_error { none, lease_not_found, duplicate_key, lease_exists };

class key_value_store {
  public:
    /// Changes kept for watches that start in the past.
    explicit key_value_store(std::size_t kept_events = 10'000) : kept_events_(kept_events) {}

    std::int64_t revision() const { return revision_; }
    /// Oldest revision that a watch may still start from.
    std::int64_t oldest_revision() const { return compacted_ + 1; }

    range_response range(const range_request& request) const;
    /// All or nothing: with an error, nothing has changed.
    store_error transact(const transaction_request& request, transaction_response& response);
    /// A transaction of one request.
    store_error apply(const store_request& request, store_response& response);

    /// Zero `id` asks for a free one. Fails with `lease_exists`.
    store_error grant_lease(base::seconds time_to_live, std::int64_t& id, base::instant now);
    store_error revoke_lease(std::int64_t id);
    /// The lease's whole time to live, or none when it does not exist.
    std::optional<base::seconds> keep_alive(std::int64_t id, base::instant now);
    std::optional<base::seconds> time_left(std::int64_t id, base::instant now) const;

    std::optional<base::instant> next_event() const;
    /// Ends the leases that have lapsed until `now`.
    void advance(base::instant now);

    /// Events of revisions `from` and later that concern `keys`, in order.
    std::vector<store_event> events(const key_range& keys, std::int64_t from) const;

  private:
    struct lease_record {
        base::seconds time_to_live{0};
        base::instant expires;
        std::set<std::string> keys;
    };

    bool holds(const comparison& item) const;
    store_error check(const std::vector<store_request>& requests) const;
    store_response run(const store_request& request, bool& changed);
    put_response put(const put_request& request);
    delete_response erase(const delete_request& request);
    void detach(const key_value& value);
    void record(store_event event);
    void end_lease(std::int64_t id);

    std::size_t kept_events_;
    std::map<std::string, key_value> values_;
    std::map<std::int64_t, lease_record> leases_;
    std::deque<store_event> events_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_ = 0;
    std::int64_t next_lease_ = 7'000'001;
};

}  // namespace pearbarrow::emulator
