/// What the operators' API asks of the node; implemented in `node`.
///
/// Each function answers through its callback exactly once, on the event loop, maybe before it
/// returns. Errors carry step, peer and reason.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"

namespace pearbarrow::operators {

/// One operators' object as a JSON resource, in the form that `config` reads and writes:
/// {"kind": "pool", "name": "small", "labels": {...}, ...}.
struct resource {
    std::string kind;
    std::string name;
    nlohmann::json body;
};

struct resource_list {
    base::config_version version;
    std::vector<resource> resources;
};

/// One mistake in an applied list.
struct resource_problem {
    /// Position in the list, from 0.
    std::size_t index = 0;
    /// Path inside the resource, e.g. "selector".
    std::string field;
    std::string message;
};

struct apply_request {
    /// Objects to create or replace.
    std::vector<resource> resources;
    /// Objects to remove; only kind and name are read.
    std::vector<resource> removals;
    /// Checks and reports, writes nothing.
    bool dry_run = false;
    /// Refuse with kAborted, reason `version_conflict`, unless this is the version in force.
    std::optional<base::config_version> base_version;
    /// Names the change, so that one whose answer was lost can be applied again safely; empty:
    /// drawn.
    std::string change_id;
    /// Who asks, for the record.
    std::string author;
};

struct apply_result {
    /// The version that holds the change; the version in force for a dry run.
    base::config_version version;
    std::string change_id;
    /// Not empty: nothing was written.
    std::vector<resource_problem> problems;
    std::size_t created = 0;
    std::size_t changed = 0;
    std::size_t removed = 0;
    std::size_t unchanged = 0;
};

struct label_request {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> set;
    std::vector<std::string> remove;
    std::string change_id;
    std::string author;
};

/// What is to be drained: a node of the cluster, or a back end.
enum class drain_target { node, back_end };

struct drain_request {
    drain_target target = drain_target::node;
    std::string name;
    /// False: takes the drain back.
    bool draining = true;
    std::string author;
};

struct node_report {
    base::node_id node;
    base::zone_name zone;
    base::region_name region;
    /// "alive", "suspect", "dead" or "left".
    std::string state;
    bool draining = false;
    bool has_disk = false;
    base::config_version version;
    std::string caller_address;
    std::string peer_address;
};

struct shard_report {
    base::shard_id shard;
    std::optional<base::node_id> owner;
    std::vector<base::node_id> replicas;
    /// "serving", "recovering", "unavailable" or "elsewhere".
    std::string state;
    std::uint64_t programs = 0;
    std::uint64_t ballot_round = 0;
    std::uint64_t commit_index = 0;
};

struct cluster_status {
    base::node_id node;
    std::string cluster;
    base::config_version version;
    bool ready = false;
    /// Why not ready, a reason code; empty when ready.
    std::string not_ready_reason;
    bool platform_reachable = false;
    std::size_t nodes_alive = 0;
    std::size_t nodes_suspect = 0;
    std::size_t nodes_dead = 0;
    std::size_t shards_owned = 0;
    std::size_t shard_count = 0;
    std::uint64_t programs = 0;
    std::uint64_t calls_in_flight = 0;
    std::int64_t uptime_milliseconds = 0;
};

struct call_reference {
    base::program_id program;
    base::call_number call;
};

/// Every decision taken for a call, oldest first, in the decisions' own JSON form.
struct call_explanation {
    call_reference call;
    std::vector<nlohmann::json> decisions;
    /// `waiting_for_order`, `waiting_for_placement`, `running`, `done` or `failed`.
    std::string state;
    /// Reason code of a call that failed; else empty.
    std::string reason;
};

/// One decision computed again from its recorded inputs.
struct verified_decision {
    std::string decision;
    nlohmann::json recorded;
    nlohmann::json recomputed;
    bool matches = false;
};

struct call_verification {
    call_reference call;
    std::vector<verified_decision> decisions;
    /// True when every decision matches and there is at least one.
    bool verified = false;
};

template <typename Result>
using answer = std::function<void(absl::StatusOr<Result>)>;

class operator_backend {
  public:
    virtual ~operator_backend() = default;

    /// All objects of a kind; of every kind when `kind` is empty. kNotFound: no such kind.
    virtual void list_resources(std::string kind, answer<resource_list> done) = 0;
    virtual void apply(apply_request request, answer<apply_result> done) = 0;
    virtual void label(label_request request, answer<apply_result> done) = 0;
    virtual void drain(drain_request request, answer<apply_result> done) = 0;
    virtual void explain(call_reference call, answer<call_explanation> done) = 0;
    virtual void verify(call_reference call, answer<call_verification> done) = 0;

    virtual std::vector<node_report> nodes() const = 0;
    virtual std::vector<shard_report> shards() const = 0;
    virtual cluster_status status() const = 0;
};

}  // namespace pearbarrow::operators
