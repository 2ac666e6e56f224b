#include "pearbarrow/fleet/node_parts.h"

#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/fleet/traffic_names.h"

namespace pearbarrow::fleet {
namespace {

constexpr char cluster_name[] = "pearbarrow-fleet";
/// Fraction of the machine's memory that is available for buffered bytes. An idle process occupies
/// a quarter of the smallest machines (an edge up to 22 of 88 MB in a day), and the buffers of
/// connections and the fragmentation of the allocator add to the counted bytes.
constexpr double buffered_memory_fraction = 1.0 / 3;
constexpr std::size_t bytes_per_megabyte = std::size_t{1024} * 1024;

net::buffered_bytes_options buffered_options(const settings::fleet_settings& settings) {
    const auto memory = static_cast<double>(settings.memory_mb * bytes_per_megabyte);
    return {.bound = static_cast<std::size_t>(memory * buffered_memory_fraction)};
}

net::peer_rpc_options link_options(const settings::fleet_settings& settings,
                                   std::shared_ptr<net::buffered_bytes> buffered) {
    net::peer_rpc_options options;
    options.buffered = std::move(buffered);
    options.self = settings.node;
    options.cluster = cluster_name;
    options.zone = settings.zone;
    options.distance_of = distances_from(settings);
    options.listen = to_endpoint(settings.peer);
    options.connect_timeout = base::milliseconds{500};
    // Allows some round trips between zones and a pause of a tenth of a second at the peer, which
    // an exhausted CPU quota causes.
    options.first_connect_timeout = base::milliseconds{120};
    options.silence_before_probe = base::milliseconds{400};
    options.silence_before_loss = base::milliseconds{1'200};
    options.write_timeout = base::milliseconds{2'000};
    return options;
}

directory::exchange_options exchange_options(const settings::fleet_settings& settings) {
    directory::exchange_options options;
    options.self = to_endpoint(settings.peer);
    for (const settings::ip_endpoint& seed : settings.seeds) {
        options.seeds.push_back(to_endpoint(seed));
    }
    return options;
}

suspects::suspect_exchange_options suspect_options(const settings::fleet_settings& settings) {
    return {.self = to_endpoint(settings.peer),
            .table = {.max_ends = settings.suspects.max_ends,
                      .block_time = settings.suspects.block_time},
            .is_first_start = settings.first_start};
}

}  // namespace

net::endpoint to_endpoint(const settings::ip_endpoint& value) {
    return {value.address, value.port};
}

node_parts::node_parts(net::event_loop& loop, const base::clock& clock,
                       const settings::fleet_settings& settings, change_handler on_change)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      random_(base::random_source::system_seed()),
      gauges_(metrics_, clock),
      buffered_(std::make_shared<net::buffered_bytes>(buffered_options(settings))),
      rpc_(net::make_peer_rpc(loop, link_options(settings, buffered_))),
      exchange_(std::make_unique<directory::directory_exchange>(
          loop, *rpc_, random_, exchange_options(settings),
          [this, on_change = std::move(on_change)](const auto& changed) {
              gauges_.record_changes(changed);
              count_changes(changed);
              missing_parts_.update();
              on_change(changed);
          })),
      missing_parts_(loop, clock, *exchange_),
      suspects_(std::make_unique<suspects::suspect_exchange>(loop, *rpc_, clock, *exchange_,
                                                             suspect_options(settings))),
      work_log_(loop, metrics_, *rpc_,
                settings.role == settings::fleet_role::edge ? "edge" : "storage") {
    gauges_.add([this](auto&) {
        gauges_.collect_directory(*exchange_);
        missing_parts_.collect(metrics_);
        gauges_.collect_traffic(*rpc_);
        gauges_.collect_buffered_bytes(*buffered_);
        collect_suspects();
    });
}

node_parts::~node_parts() = default;

void node_parts::count_changes(const directory::directory_state::changes& changed) {
    const auto count = [this](const char* part, std::size_t entries) {
        metrics_
            .add_counter("pearbarrow_directory_changes_total",
                         "Times that a part of the directory said something new", {{"part", part}})
            .increment();
        metrics_
            .add_counter("pearbarrow_directory_entries_changed_total",
                         "Entries of the directory that changed", {{"part", part}})
            .increment(static_cast<double>(entries));
    };
    if (changed.backends) {
        count("backends", changed.step.present.size() + changed.step.gone.size());
    }
    if (changed.config) {
        count("configuration", 1);
    }
    if (changed.storage) {
        count("storage", 1);
    }
}

void node_parts::collect_suspects() {
    const suspects::suspect_table& table = suspects_->table();
    metrics_
        .add_gauge("pearbarrow_suspects",
                   "Requests under which back ends have ended, as known here")
        .set(static_cast<double>(table.size()));
    metrics_
        .add_gauge("pearbarrow_suspects_blocked",
                   "Requests that are refused since back ends ended under them")
        .set(static_cast<double>(table.blocked_count(clock_.now())));
}

void node_parts::release_requests() {
    for (const std::string& digest : settings_.suspects.released) {
        if (suspects_->excuse(digest)) {
            base::log(base::log_level::warning, "suspect_excused",
                      {{"fingerprint", digest}, {"reason", "released"}});
            suspects_->report({digest}, nullptr);
        }
    }
}

void node_parts::apply_settings(const settings::fleet_settings& next) {
    settings_.suspects.released = next.suspects.released;
    release_requests();
    settings_.seeds = next.seeds;
    settings_.directory_service = next.directory_service;
    for (const settings::ip_endpoint& seed : next.seeds) {
        exchange_->learn_seed(to_endpoint(seed));
    }
}

absl::Status node_parts::start() {
    if (auto status = rpc_->start(); !status.ok()) {
        return status;
    }
    exchange_->start();
    missing_parts_.start();
    suspects_->start();
    if (!settings_.metrics.has_value()) {
        return absl::OkStatus();
    }
    net::http_server_options options;
    options.listen = to_endpoint(*settings_.metrics);
    options.max_connections = 16;
    metrics_server_ = net::make_http_server(
        loop_, options, [this](const std::shared_ptr<net::http_exchange>& exchange) {
            exchange->respond({.status = 200,
                               .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                               .body = gauges_.text()});
        });
    return metrics_server_->start();
}

}  // namespace pearbarrow::fleet
