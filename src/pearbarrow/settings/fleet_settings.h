/// Settings of a fleet node, which is either an edge or a storage member.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/settings/node_settings.h"

namespace pearbarrow::settings {

/// Role of a fleet node.
enum class fleet_role {
    /// Receives requests from callers and forwards them to back ends.
    edge,
    /// Stores turns on its disk.
    storage,
};

/// How an edge distributes requests over back ends. `forward/backend_pool.h` gives the reasons for
/// the defaults.
struct dispatch_settings {
    /// Whether edges and storage members exchange load reports. Otherwise, each edge knows only its
    /// own load.
    bool share_load = true;
    /// A program stays at its engine while the load of the engine is at most `affinity_factor`
    /// times the mean load plus `affinity_slack` requests.
    double affinity_factor = 1.2;
    double affinity_slack = 3;
    /// Whether engines are chosen by expected time (`forward/cost_policy.cc`) instead of requests
    /// per slot. With a burst of factor 3 in one of three regions, the served value (weighted share
    /// of requests served in time) is 0.576 without it and 0.884 with it. Without a burst it is
    /// 0.884 and 0.871, because more connections are opened.
    bool by_cost = true;
    /// Whether new programs are rejected while their engines are full
    /// (`forward/program_admission.h`).
    bool limits_programs = true;
    /// Whether requests to engines carry the priority of the turn (`forward/engine_priority.h`). It
    /// is off because, together with `limits_programs`, the served value at a burst of factor 1.5
    /// is 0.66 to 0.67 with it and 0.78 without it.
    bool sends_priority = false;
    /// How long back ends that vanish together stay in use. 0 disables this.
    base::milliseconds lapse_grace{1'800};
};

/// Requests per second that the whole fleet may send to a back end during slow start, relative to
/// the rate that the configuration of its service sets (`slowstart/start_limits.h`).
struct slow_start_settings {
    /// Multiple of the rate.
    double overage = 1.0;
    /// Additional requests.
    double slack = 0;
};

/// Requests under which back ends end (`suspects/suspect_table.h`).
struct suspect_settings {
    /// Ends after which a request is blocked. 0 disables blocking.
    std::size_t max_ends = 3;
    /// How long a request is blocked after its last end.
    base::milliseconds block_time{600'000};
    /// Fingerprints of requests that may pass again, as stated in the log.
    std::vector<std::string> released;
};

struct fleet_settings {
    fleet_role role = fleet_role::edge;
    base::node_id node;
    std::string zone;
    /// Region of each zone. If empty, all zones are in one unnamed region.
    std::map<std::string, std::string, std::less<>> regions;
    std::string log_level = "info";
    /// Memory of the machine for this process, in megabytes. 0 means unknown, and leaves buffered
    /// bytes unbounded.
    std::uint64_t memory_mb = 0;
    /// Address that callers connect to; edges only.
    ip_endpoint caller;
    /// Address of the readiness check; edges only.
    ip_endpoint ready;
    /// Address that other nodes connect to.
    ip_endpoint peer;
    /// Address that serves metrics. If absent, metrics are not served.
    std::optional<ip_endpoint> metrics;
    /// Peer addresses of some nodes.
    std::vector<ip_endpoint> seeds;
    /// Address of the directory service, which stores the configuration, the back ends and the
    /// storage view.
    ip_endpoint directory_service;
    /// Folder that stores turns; storage members only.
    std::string data_folder;
    /// Whether the whole fleet starts for the first time, so that an empty disk is complete.
    bool first_start = false;
    /// Number of storage members whose disks may be lost at once; storage members only. Sets the
    /// size of replica groups (`turns/replica_groups.h`).
    std::size_t tolerated_losses = 1;
    /// Number of whole zones that may be lost at once; storage members only. Replica groups are
    /// spread over zones so that each group keeps a majority, if the zones allow it
    /// (`turns/loss_check.h`).
    std::size_t tolerated_zones = 0;
    /// Requests that a tenant may send beyond its limit within `quota_window`; storage members
    /// only. Sets the capacity of a share beyond the burst (`tenants/quota_ledger.h`).
    std::uint64_t quota_slack = 0;
    /// Window over which requests are counted against the limit of a tenant; storage members only.
    /// If 0, only the rate and the burst of the limit apply.
    base::milliseconds quota_window{0};
    /// Limits for cold back ends; storage members only.
    slow_start_settings slow_start;
    /// Maximum time until a change at the directory service takes effect on every node. Sets the
    /// poll interval of the nodes (`directory/service_watch.h`).
    base::milliseconds change_bound{2'000};
    /// Maximum time from the stop signal to the end of the process.
    base::milliseconds stop_timeout{8'000};
    /// Minimum time that a back end keeps serving after it announces that it leaves.
    base::milliseconds leaving_notice{2'000};
    /// Distribution of requests over back ends; edges only.
    dispatch_settings dispatch;
    suspect_settings suspects;
};

struct fleet_settings_result {
    /// Usable only when `problems` is empty.
    fleet_settings settings;
    std::vector<settings_problem> problems;
};

/// Reads settings from TOML text and reports every problem with the path of its field.
fleet_settings_result check_fleet(std::string_view toml_text);
/// Reads settings from a file. An unreadable file is reported as a single problem.
fleet_settings_result check_fleet_file(const std::string& path);

}  // namespace pearbarrow::settings
