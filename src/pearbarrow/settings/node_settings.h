/// Settings of a node: the TOML file, the flags that override it, and the validation of both.
///
/// All problems are reported at once, each with the path and line of its field. A node never starts
/// with invalid settings. docs/settings.md describes each field.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"

namespace pearbarrow::settings {

/// An IP address and a port, in the form that `net::parse_endpoint` accepts. `net` depends on this
/// folder, so its type can't be used here.
struct ip_endpoint {
    /// IPv4 or IPv6 address without brackets. "0.0.0.0" and "::" are valid only in `listen`.
    std::string address;
    /// 0 lets the kernel choose the port and is valid only in `listen`.
    std::uint16_t port = 0;

    auto operator<=>(const ip_endpoint&) const = default;
};

/// Formats an endpoint as "127.0.0.1:80" or "[::1]:80".
std::string to_string(const ip_endpoint& value);
/// Parses an IP address and a port. Returns nothing if `text` is invalid.
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

/// `[listen]`: addresses that the node listens on. Absent fields default to 127.0.0.1 and a port
/// that the kernel chooses.
struct listen_settings {
    ip_endpoint caller{"127.0.0.1", 0};
    ip_endpoint operators{"127.0.0.1", 0};
    ip_endpoint peer{"127.0.0.1", 0};
    ip_endpoint datagram{"127.0.0.1", 0};
};

/// `[advertise]`: addresses that the node publishes to other nodes, if they differ from `[listen]`.
struct advertise_settings {
    std::optional<ip_endpoint> caller;
    std::optional<ip_endpoint> operators;
    std::optional<ip_endpoint> peer;
    std::optional<ip_endpoint> datagram;
};

/// `[platform]`: services of the platform. An absent service is not used.
struct platform_settings {
    /// Members of the key-value service, tried in order. If empty, the node gets the configuration
    /// only from its peers.
    std::vector<ip_endpoint> key_value;
    std::optional<ip_endpoint> machine_list;
    std::optional<ip_endpoint> weight_store;
};

/// `[limits]`: resource limits of one node.
struct limit_settings {
    std::size_t max_connections = 4'096;
    std::size_t max_header_bytes = std::size_t{16} * 1'024;
    std::size_t max_body_bytes = std::size_t{8} * 1'024 * 1'024;
    /// Bytes queued for one slow caller. Its connection is closed above this limit.
    std::size_t max_pending_bytes = std::size_t{4} * 1'024 * 1'024;
    std::size_t max_frame_bytes = std::size_t{16} * 1'024 * 1'024;
    std::size_t max_peer_queue_bytes = std::size_t{64} * 1'024 * 1'024;
    /// Memory for the histories of recently used programs at program owners.
    std::size_t history_cache_bytes = std::size_t{64} * 1'024 * 1'024;
    /// Memory for the block cache and the write buffers of the journal storage.
    std::size_t storage_cache_bytes = std::size_t{32} * 1'024 * 1'024;
    /// In-flight requests of callers at the gateway of this node.
    std::size_t max_open_requests = 8'192;
};

/// `[tls]`: paths of PEM files. If absent, connections are not encrypted.
struct tls_settings {
    std::string certificate_chain;
    std::string private_key;
    /// Authorities that must have signed the certificate of a client. If empty, client certificates
    /// are not required.
    std::string client_authorities;
};

/// `[timing]`: intervals and timeouts in milliseconds. The defaults suit nodes in one region.
struct timing_settings {
    base::milliseconds tick{50};
    base::milliseconds probe_interval{500};
    base::milliseconds probe_timeout{200};
    base::milliseconds suspicion_timeout{2'000};
    base::milliseconds anti_entropy_interval{1'000};
    base::milliseconds config_poll_interval{1'000};
    base::milliseconds machine_list_interval{1'000};
    base::milliseconds load_report_interval{200};
    base::milliseconds request_timeout{30'000};
    base::milliseconds write_timeout{30'000};
    base::milliseconds call_timeout{120'000};
    base::milliseconds drain_timeout{60'000};
    /// The journal replicas of a node are replaced after it is dead or draining for this time.
    base::milliseconds replica_timeout{300'000};
    /// Interval between comparisons of the cache of an engine with the live programs.
    base::milliseconds cache_reconcile_interval{10'000};
};

struct node_settings {
    base::node_id node;
    std::string cluster;
    base::zone_name zone;
    base::region_name region;
    /// Number of shards that programs hash to. It must be the same on all nodes and never change
    /// during the lifetime of a cluster.
    std::uint32_t shard_count = 64;
    /// Folder for bulk data. If present, the node is a journal replica.
    std::optional<std::string> data_folder;
    /// Datagram addresses of the nodes that provide the initial list of members.
    std::vector<ip_endpoint> seeds;
    std::string log_level = "info";
    /// SHA-256 hashes of the API keys of operators, each 64 lower-case hexadecimal digits. If
    /// empty, the operator listener serves only /healthz, /readyz and /metrics.
    std::vector<std::string> operator_key_hashes;
    listen_settings listen;
    advertise_settings advertise;
    platform_settings platform;
    limit_settings limits;
    timing_settings timing;
    std::optional<tls_settings> tls;
    /// Seed of the random number generator. If absent, the operating system provides the seed.
    std::optional<std::uint64_t> random_seed;
};

/// A problem found in the settings.
struct settings_problem {
    /// Path of the field, e.g. "listen.caller" or "seeds[2]".
    std::string field;
    /// Line in the file, starting at 1. 0 if the field comes from a flag or is missing.
    std::uint32_t line = 0;
    std::string message;
};

/// Formats a problem as "file:line: field: message", without the line if it is 0.
std::string to_string(const settings_problem& problem, std::string_view file);

/// A flag that overrides one field: `--set listen.caller=127.0.0.1:8080`. Text that is not a TOML
/// value is taken as a string.
struct settings_override {
    std::string field;
    std::string value;
};

struct settings_result {
    /// Usable only when `problems` is empty.
    node_settings settings;
    std::vector<settings_problem> problems;
};

/// Reads settings from TOML text. Reports all problems at once: unknown fields, wrong types,
/// values out of range, missing fields, contradictions between fields.
settings_result check(std::string_view toml_text,
                      const std::vector<settings_override>& overrides = {});

/// Reads settings from a file. An unreadable file is reported as a single problem.
settings_result check_file(const std::string& path,
                           const std::vector<settings_override>& overrides = {});

/// Splits "field=value". Returns nothing if the field is empty or there is no '='.
std::optional<settings_override> parse_override(std::string_view text);

}  // namespace pearbarrow::settings
