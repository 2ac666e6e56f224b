/// A node's settings: the TOML file, the flags that override it, and the checks on both.
///
/// Every mistake is reported at once, each with its field's path and its line; a node never starts
/// on settings that have one. docs/settings.md describes each field.
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

/// An IP number and a port, in the form that `net::parse_endpoint` takes. (`net` comes after this
/// folder, so its type can't be used here.)
struct ip_endpoint {
    /// IPv4 or IPv6 number without brackets; "0.0.0.0" and "::" only in `listen`.
    std::string address;
    /// 0 lets the kernel choose, only in `listen`.
    std::uint16_t port = 0;

    auto operator<=>(const ip_endpoint&) const = default;
};

/// "127.0.0.1:80" or "[::1]:80".
std::string to_string(const ip_endpoint& value);
/// None when `text` is not an IP number and a port.
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

/// `[listen]`: where the node listens. Absent fields default to 127.0.0.1 and a port the kernel
/// chooses.
struct listen_settings {
    ip_endpoint caller{"127.0.0.1", 0};
    ip_endpoint operators{"127.0.0.1", 0};
    ip_endpoint peer{"127.0.0.1", 0};
    ip_endpoint datagram{"127.0.0.1", 0};
};

/// `[advertise]`: the addresses told to other nodes, where they differ from those listened on.
struct advertise_settings {
    std::optional<ip_endpoint> caller;
    std::optional<ip_endpoint> operators;
    std::optional<ip_endpoint> peer;
    std::optional<ip_endpoint> datagram;
};

/// `[platform]`: the platform's services. An absent service is not used.
struct platform_settings {
    /// Members of the key-value service, tried in turn. Empty: the node learns the configuration
    /// from its peers only.
    std::vector<ip_endpoint> key_value;
    std::optional<ip_endpoint> machine_list;
    std::optional<ip_endpoint> weight_store;
};

/// `[limits]`: bounds on what one node holds.
struct limit_settings {
    std::size_t max_connections = 4'096;
    std::size_t max_header_bytes = std::size_t{16} * 1'024;
    std::size_t max_body_bytes = std::size_t{8} * 1'024 * 1'024;
    /// Bytes queued for one caller that reads slowly, above which its connection is cut.
    std::size_t max_pending_bytes = std::size_t{4} * 1'024 * 1'024;
    std::size_t max_frame_bytes = std::size_t{16} * 1'024 * 1'024;
    std::size_t max_peer_queue_bytes = std::size_t{64} * 1'024 * 1'024;
    /// Histories of recently used programs kept in memory by program owners.
    std::size_t history_cache_bytes = std::size_t{64} * 1'024 * 1'024;
    /// Block cache and write buffers of the journal's storage.
    std::size_t storage_cache_bytes = std::size_t{32} * 1'024 * 1'024;
    /// Requests of callers under way at once at this node's gateway.
    std::size_t max_open_requests = 8'192;
};

/// `[tls]`: PEM files. Absent: plain text.
struct tls_settings {
    std::string certificate_chain;
    std::string private_key;
    /// Authorities that a client's certificate must be signed by; empty: none is asked for.
    std::string client_authorities;
};

/// `[timing]`: overrides of the intervals, in milliseconds; the defaults fit a region.
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
    /// A node that has been dead or draining for longer has its journal replicas replaced.
    base::milliseconds replica_timeout{300'000};
    /// Between two comparisons of an engine's memory with the programs that live.
    base::milliseconds cache_reconcile_interval{10'000};
};

struct node_settings {
    base::node_id node;
    std::string cluster;
    base::zone_name zone;
    base::region_name region;
    /// Number of shards that programs hash to; the same on every node of a cluster, for its life.
    std::uint32_t shard_count = 64;
    /// Folder for bulk data. Present: the node is a journal replica.
    std::optional<std::string> data_folder;
    /// Datagram addresses of nodes to learn the members from.
    std::vector<ip_endpoint> seeds;
    std::string log_level = "info";
    /// SHA-256 of each operator's API key, 64 lower-case hexadecimal digits. Empty: the operators'
    /// listener answers only /healthz, /readyz and /metrics.
    std::vector<std::string> operator_key_hashes;
    listen_settings listen;
    advertise_settings advertise;
    platform_settings platform;
    limit_settings limits;
    timing_settings timing;
    std::optional<tls_settings> tls;
    /// Seed of the node's random numbers; absent: from the operating system.
    std::optional<std::uint64_t> random_seed;
};

/// One mistake in the settings.
struct settings_problem {
    /// Path of the field, e.g. "listen.caller" or "seeds[2]".
    std::string field;
    /// Line in the file, from 1; 0 when the field comes from a flag or is missing.
    std::uint32_t line = 0;
    std::string message;
};

/// "file:line: field: message", or without the line where there is none.
std::string to_string(const settings_problem& problem, std::string_view file);

/// A flag that overrides one field: `--set listen.caller=127.0.0.1:8080`. The value is a TOML
/// value; text that is none is taken as a string.
struct settings_override {
    std::string field;
    std::string value;
};

struct settings_result {
    /// Usable only when `problems` is empty.
    node_settings settings;
    std::vector<settings_problem> problems;
};

/// Reads settings from TOML text. Reports every mistake at once: unknown fields, wrong types,
/// values out of range, missing fields, contradictions between fields.
settings_result check(std::string_view toml_text,
                      const std::vector<settings_override>& overrides = {});

/// The same from a file; a file that can't be read is the one problem reported.
settings_result check_file(const std::string& path,
                           const std::vector<settings_override>& overrides = {});

/// Splits "field=value". None when there is no field.
std::optional<settings_override> parse_override(std::string_view text);

}  // namespace pearbarrow::settings
