#include "pearbarrow/fleet/node_gauges.h"

#include <unistd.h>

#include <fstream>

#include "pearbarrow/fleet/traffic_names.h"

namespace pearbarrow::fleet {
namespace {

/// Returns the resident memory of this process in bytes, or 0 if the kernel does not report it.
double resident_bytes() {
    std::ifstream file("/proc/self/statm");
    double total_pages = 0;
    double resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

double seconds_between(base::instant from, base::instant to) {
    return std::chrono::duration<double>(to - from).count();
}

}  // namespace

node_gauges::node_gauges(base::metrics_registry& registry, const base::clock& clock)
    : registry(registry),
      clock(clock),
      config_changed_at(clock.now()),
      backends_changed_at(this->config_changed_at),
      storage_changed_at(this->config_changed_at) {}

void node_gauges::record_changes(const directory::directory_state::changes& changed) {
    const base::instant now = this->clock.now();
    if (changed.config) {
        this->config_changed_at = now;
    }
    if (changed.backends) {
        this->backends_changed_at = now;
    }
    if (changed.storage) {
        this->storage_changed_at = now;
    }
}

std::string node_gauges::text() {
    this->registry.add_gauge("pearbarrow_resident_bytes", "Memory that the process holds")
        .set(resident_bytes());
    for (const collector& collect : this->collectors) {
        collect(this->registry);
    }
    return this->registry.text();
}

void node_gauges::collect_directory(const directory::directory_exchange& exchange) {
    const directory::directory_versions versions = exchange.state().versions();
    const base::instant now = this->clock.now();
    const auto set = [&](const char* part, std::uint64_t version, base::instant at) {
        this->registry
            .add_gauge("pearbarrow_directory_version", "Newest version known; 0: none",
                       {{"part", part}})
            .set(static_cast<double>(version));
        this->registry
            .add_gauge("pearbarrow_directory_unchanged_seconds",
                       "Time since the part changed on this node", {{"part", part}})
            .set(seconds_between(at, now));
    };
    set("configuration", versions.config, this->config_changed_at);
    set("backends", versions.backends, this->backends_changed_at);
    set("storage", versions.storage, this->storage_changed_at);
    this->registry.add_gauge("pearbarrow_directory_peers", "Nodes that this one has heard of")
        .set(static_cast<double>(exchange.peer_count()));
    this->registry
        .add_gauge("pearbarrow_directory_connected", "1 while a peer answers this node's questions")
        .set(exchange.is_connected() ? 1 : 0);
}

void node_gauges::collect_traffic(const net::peer_rpc& rpc) {
    this->registry
        .add_gauge("pearbarrow_peer_bytes_sent_total", "Bytes sent to other nodes since the start")
        .set(static_cast<double>(rpc.bytes_sent()));
    this->registry
        .add_gauge("pearbarrow_peer_bytes_received_total",
                   "Bytes received from other nodes since the start")
        .set(static_cast<double>(rpc.bytes_received()));
    for (const net::traffic_row& row : rpc.traffic()) {
        this->registry
            .add_gauge("pearbarrow_peer_call_bytes_sent_total",
                       "Bytes sent to other nodes since the start, by what for and how far",
                       {{"call", std::string(name_of_call(row.method))},
                        {"part", row.is_reply ? "answer" : "request"},
                        {"distance", std::string(distance_name(row.distance))}})
            .set(static_cast<double>(row.bytes));
    }
}

void node_gauges::collect_buffered_bytes(const net::buffered_bytes& buffered) {
    for (const net::buffer_kind kind : {net::buffer_kind::responses, net::buffer_kind::requests,
                                        net::buffer_kind::frames, net::buffer_kind::bodies}) {
        this->registry
            .add_gauge("pearbarrow_held_bytes", "Bytes held for others, by what they are",
                       {{"kind", std::string(net::to_string(kind))}})
            .set(static_cast<double>(buffered.of(kind)));
    }
    this->registry
        .add_gauge("pearbarrow_held_bytes_bound", "Most bytes held for others; 0: no bound")
        .set(static_cast<double>(buffered.bound()));
    this->registry
        .add_gauge("pearbarrow_held_cut_off_total",
                   "Connections cut off since the node held as many bytes as it may")
        .set(static_cast<double>(buffered.cut_off_count()));
}

void node_gauges::collect_traffic(const forward::backend_traffic& traffic) {
    for (const forward::backend_traffic::row& row : traffic.rows()) {
        const std::string distance(distance_name(row.distance));
        this->registry
            .add_gauge("pearbarrow_backend_bytes_total",
                       "Bytes of bodies to and from back ends since the start, by how far they are",
                       {{"part", "request"}, {"distance", distance}})
            .set(static_cast<double>(row.sent));
        this->registry
            .add_gauge("pearbarrow_backend_bytes_total",
                       "Bytes of bodies to and from back ends since the start, by how far they are",
                       {{"part", "answer"}, {"distance", distance}})
            .set(static_cast<double>(row.received));
    }
}

}  // namespace pearbarrow::fleet
