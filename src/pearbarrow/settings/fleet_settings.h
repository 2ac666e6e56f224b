/// Settings of a node of a forwarding fleet: an edge that forwards requests, or a storage member.
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

/// What a node of the fleet does.
enum class fleet_role {
    /// Takes callers' requests and forwards them.
    edge,
    /// Keeps turns on its disk.
    storage,
};

/// How an edge spreads requests over back ends. Each figure's reason stands with the option that it
/// sets (`forward/backend_pool.h`).
struct dispatch_settings {
    /// Edges and storage members tell each other the load; false: each edge knows its own only.
    bool share_load = true;
    /// Load up to which a program stays with its engine, in times of the mean load and in requests.
    double affinity_factor = 1.2;
    double affinity_slack = 3;
    /// Engines are chosen by expected time (`forward/cost_policy.cc`) instead of requests for each
    /// place. A burst of three in one of three regions: worth 0.576 without, 0.884 with it; a calm
    /// day there 0.884 and 0.871, as more connections are opened (one day each).
    bool by_cost = true;
    /// New programs are turned away while their engines are full (`forward/program_admission.h`).
    bool limits_programs = true;
    /// Engines are told how urgent each turn is (`forward/engine_priority.h`). Off: beside
    /// `limits_programs` a day with a burst of 1.5 was worth 0.66 and 0.67 with it, 0.78 without.
    bool sends_priority = false;
    /// How long back ends that vanish together are used; 0: not at all.
    base::milliseconds lapse_grace{1'800};
};

/// What a back end that has just started may get in a second from the whole fleet, in terms of the
/// rate that its service's configuration states (`slowstart/start_limits.h`).
struct slow_start_settings {
    /// In times of the rate.
    double overage = 1.0;
    /// Requests more.
    double slack = 0;
};

struct fleet_settings {
    fleet_role role = fleet_role::edge;
    base::node_id node;
    std::string zone;
    /// Region by zone, of all zones; empty: every zone is in one region without a name.
    std::map<std::string, std::string, std::less<>> regions;
    std::string log_level = "info";
    /// The machine's memory for this process. Megabytes; 0: not told, and what is held for others
    /// has no bound.
    std::uint64_t memory_mb = 0;
    /// Where callers connect; edges only.
    ip_endpoint caller;
    /// Where readiness is asked for; edges only.
    ip_endpoint ready;
    /// Where other nodes connect.
    ip_endpoint peer;
    /// Where metrics are read; absent: nowhere.
    std::optional<ip_endpoint> metrics;
    /// Peer addresses of some nodes.
    std::vector<ip_endpoint> seeds;
    /// The outside service that holds configuration, back ends and the storage view.
    ip_endpoint directory_service;
    /// Folder for turns; storage members only.
    std::string data_folder;
    /// The whole fleet starts for the first time: an empty disk is complete.
    bool first_start = false;
    /// Disks of storage members that may be lost at once; storage members only. Sets the size of
    /// replica groups (`turns/replica_groups.h`).
    std::size_t tolerated_losses = 1;
    /// Whole zones that may be lost at once; storage members only. Groups are spread so that this
    /// leaves each a majority, where the zones allow it (`turns/loss_check.h`).
    std::size_t tolerated_zones = 0;
    /// Requests that a tenant may send beyond its limit in one window of the operator's count;
    /// storage members only. Sets what a share holds beyond the burst (`tenants/quota_ledger.h`).
    std::uint64_t quota_slack = 0;
    /// The window of that count; storage members only. 0: a limit is its rate and its burst alone.
    base::milliseconds quota_window{0};
    /// Storage members only.
    slow_start_settings slow_start;
    /// Within this time a change at the directory service is to be in force on every node. Sets how
    /// often nodes look (`directory/service_watch.h`).
    base::milliseconds change_bound{2'000};
    /// Longest time from the order to stop to the end of the process.
    base::milliseconds stop_timeout{8'000};
    /// How long a back end goes on serving after it has said that it leaves, at least.
    base::milliseconds leaving_notice{2'000};
    /// Edges only.
    dispatch_settings dispatch;
};

struct fleet_settings_result {
    /// Usable only when `problems` is empty.
    fleet_settings settings;
    std::vector<settings_problem> problems;
};

/// Reads the settings from TOML text; every mistake is reported with its field.
fleet_settings_result check_fleet(std::string_view toml_text);
/// The same from a file; one that can't be read is the one problem reported.
fleet_settings_result check_fleet_file(const std::string& path);

}  // namespace pearbarrow::settings
