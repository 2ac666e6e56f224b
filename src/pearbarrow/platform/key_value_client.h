/// Client of the platform's key-value service: the subset of etcd v3's JSON gateway that is used.
///
/// Every answer comes as a callback on the event loop. A failure's details say whether the request
/// took effect: `no` when it was not sent or was refused whole (429, 503 with a body that says so),
/// `unknown` when the answer was lost. A limit of its own keeps a node from wearing out the
/// service.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::platform {

struct key_value {
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t lease = 0;
};

struct range_request {
    std::string key;
    /// Exclusive end; empty: only `key`.
    std::string range_end;
    /// Most keys in the answer; 0: all.
    std::int64_t limit = 0;
    /// Read the state at this revision; 0: the newest.
    std::int64_t revision = 0;
    bool count_only = false;
};

struct range_result {
    std::vector<key_value> items;
    std::int64_t revision = 0;
    bool more = false;
    std::int64_t count = 0;
};

enum class compare_target { create_revision, mod_revision };
enum class compare_result { equal, greater, not_equal };

/// A condition of a transaction, e.g. "create revision of key equals 0": the key is absent.
struct compare {
    std::string key;
    compare_target target = compare_target::create_revision;
    compare_result result = compare_result::equal;
    std::int64_t value = 0;
};

struct put_operation {
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};
struct delete_operation {
    std::string key;
    std::string range_end;
};

/// All conditions hold: the writes are done together. Otherwise none is.
struct transaction {
    std::vector<compare> conditions;
    std::vector<put_operation> puts;
    std::vector<delete_operation> deletes;
};

struct transaction_result {
    bool succeeded = false;
    std::int64_t revision = 0;
};

struct lease_grant {
    std::int64_t id = 0;
    base::seconds time_to_live{0};
};

struct watch_event {
    bool deleted = false;
    key_value item;
};

struct watch_request {
    std::string key;
    std::string range_end;
    std::int64_t start_revision = 0;
};

struct watch_callbacks {
    std::function<void(std::vector<watch_event> events, std::int64_t revision)> on_events;
    /// Runs once, unless cancelled. kOutOfRange: the start revision was compacted.
    std::function<void(absl::Status)> on_end;
};

/// An open watch. Destroying it, or calling `cancel`, ends it without further callbacks.
class watch_handle {
  public:
    virtual ~watch_handle() = default;
    virtual void cancel() = 0;
};

class key_value_client {
  public:
    virtual ~key_value_client() = default;
    virtual void range(range_request request,
                       std::function<void(absl::StatusOr<range_result>)> callback) = 0;
    virtual void commit(transaction request,
                        std::function<void(absl::StatusOr<transaction_result>)> callback) = 0;
    virtual void put(put_operation request, std::function<void(absl::Status)> callback) = 0;
    virtual void remove(delete_operation request, std::function<void(absl::Status)> callback) = 0;
    virtual void grant_lease(base::seconds time_to_live,
                             std::function<void(absl::StatusOr<lease_grant>)> callback) = 0;
    /// kNotFound when the lease has lapsed.
    virtual void keep_alive(std::int64_t lease,
                            std::function<void(absl::StatusOr<lease_grant>)> callback) = 0;
    virtual void revoke_lease(std::int64_t lease, std::function<void(absl::Status)> callback) = 0;
    [[nodiscard]] virtual std::unique_ptr<watch_handle> watch(watch_request request,
                                                              watch_callbacks callbacks) = 0;
};

struct key_value_client_options {
    /// Tried in turn: after a failure the next one.
    std::vector<net::endpoint> endpoints;
    base::milliseconds timeout{2'000};
    /// A watch on which nothing came for this long is opened again by its user; zero: no limit.
    base::milliseconds watch_idle_timeout{0};
    /// Own limit. Requests above it fail with kResourceExhausted, executed no, and a retry time.
    double requests_per_second = 20;
    double burst = 40;
};

std::unique_ptr<key_value_client> make_key_value_client(net::event_loop& loop,
                                                        const base::clock& clock,
                                                        net::http_client& http,
                                                        key_value_client_options options);

/// The end of the range of all keys that begin with `prefix`.
std::string prefix_end(std::string prefix);

}  // namespace pearbarrow::platform
