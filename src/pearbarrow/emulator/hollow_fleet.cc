#include "pearbarrow/emulator/hollow_fleet.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/emulator/http_answers.h"

namespace pearbarrow::emulator {

namespace {

using nlohmann::json;

/// The nodes that a command names.
struct node_choice {
    std::vector<std::string> nodes;
    std::string zone;

    bool holds(const settings::node_settings& plan) const {
        return (!zone.empty() && plan.zone.value() == zone) ||
               std::find(nodes.begin(), nodes.end(), plan.node.value()) != nodes.end();
    }
};

absl::StatusOr<node_choice> parse_choice(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return absl::InvalidArgumentError("a JSON object is expected");
    }
    try {
        return node_choice{parsed.value("nodes", std::vector<std::string>()),
                           parsed.value("zone", std::string())};
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

absl::StatusOr<std::vector<settings::ip_endpoint>> parse_addresses(
    const std::vector<std::string>& texts) {
    std::vector<settings::ip_endpoint> addresses;
    for (const std::string& text : texts) {
        const auto address = settings::parse_ip_endpoint(text);
        if (!address.has_value()) {
            return base::make_error(absl::StatusCode::kInvalidArgument,
                                    fmt::format("'{}' is not an IP number and a port", text),
                                    {.step = "hollow_options", .reason = "bad_address"});
        }
        addresses.push_back(*address);
    }
    return addresses;
}

void add(hollow_traffic& sum, const hollow_traffic& part) {
    sum.datagram_bytes_sent += part.datagram_bytes_sent;
    sum.datagram_bytes_received += part.datagram_bytes_received;
    sum.peer_bytes_sent += part.peer_bytes_sent;
    sum.peer_bytes_received += part.peer_bytes_received;
    sum.routing_computations += part.routing_computations;
    sum.routing_microseconds += part.routing_microseconds;
    sum.pauses += part.pauses;
}

json to_json(const hollow_traffic& value) {
    return {{"datagram_bytes_sent", value.datagram_bytes_sent},
            {"datagram_bytes_received", value.datagram_bytes_received},
            {"peer_bytes_sent", value.peer_bytes_sent},
            {"peer_bytes_received", value.peer_bytes_received},
            {"routing_computations", value.routing_computations},
            {"routing_microseconds", value.routing_microseconds},
            {"pauses", value.pauses}};
}

}  // namespace

hollow_fleet::hollow_fleet(net::event_loop& loop, const base::clock& clock, hollow_options options)
    : loop_(loop), clock_(clock), options_(std::move(options)), engines_(loop) {}

hollow_fleet::~hollow_fleet() = default;

absl::Status hollow_fleet::start() {
    if (absl::Status status = prepare(); !status.ok()) {
        return status;
    }
    if (absl::Status status = engines_.start(options_.engines, options_.engine_model);
        !status.ok()) {
        return status;
    }
    if (!plans_.empty()) {
        start_timer_ = loop_.every(options_.start_gap, [this] { start_next(); });
    }
    return absl::OkStatus();
}

absl::Status hollow_fleet::prepare() {
    const auto seeds = parse_addresses(options_.seeds);
    const auto key_value = parse_addresses(options_.key_value);
    for (const absl::Status& status : {seeds.status(), key_value.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    if (options_.zones.empty()) {
        return base::make_error(absl::StatusCode::kInvalidArgument, "a zone is needed",
                                {.step = "hollow_options", .reason = "no_zone"});
    }
    for (std::uint32_t offset = 0; offset < options_.nodes; ++offset) {
        const std::uint32_t index = options_.first_index + offset;
        settings::node_settings plan;
        plan.node = base::node_id(fmt::format("{}{}", options_.prefix, index));
        plan.cluster = options_.cluster;
        plan.zone = base::zone_name(options_.zones[index % options_.zones.size()]);
        plan.region = base::region_name(options_.region);
        plan.shard_count = options_.shard_count;
        plan.seeds = *seeds;
        plan.platform.key_value = *key_value;
        plan.random_seed = options_.random_seed * 1'000'003 + index;
        plans_.push_back(std::move(plan));
    }
    return absl::OkStatus();
}

void hollow_fleet::start_next() {
    if (next_plan_ == plans_.size()) {
        start_timer_.reset();
        return;
    }
    const settings::node_settings& plan = plans_[next_plan_++];
    if (absl::Status status = start_node(plan); !status.ok()) {
        base::log(base::log_level::error, "hollow_node_failed", base::log_fields(status));
    }
}

absl::Status hollow_fleet::start_node(settings::node_settings settings) {
    if (settings.seeds.empty() && !nodes_.empty()) {
        const net::endpoint first = nodes_.begin()->second->datagram_endpoint();
        settings.seeds.push_back({first.address, first.port});
    }
    auto node = std::make_unique<hollow_node>(loop_, clock_, record_, settings);
    absl::Status status = node->start();
    if (status.ok()) {
        nodes_[settings.node] = std::move(node);
    }
    return status;
}

json hollow_fleet::stats() const {
    hollow_traffic sum = traffic_of_silenced_;
    std::vector<std::size_t> live;
    std::vector<std::uint64_t> versions;
    std::uint64_t most_bytes = 0;
    for (const auto& [id, node] : nodes_) {
        const hollow_traffic traffic = node->traffic();
        add(sum, traffic);
        most_bytes = std::max(most_bytes, traffic.datagram_bytes_sent + traffic.peer_bytes_sent);
        live.push_back(node->live_members());
        versions.push_back(node->config_version().value());
    }
    json result = {{"nodes", nodes_.size()},
                   {"planned", plans_.size()},
                   {"unix_microseconds", clock_.unix_microseconds()},
                   {"traffic", to_json(sum)},
                   {"most_bytes_sent", most_bytes},
                   {"engine_requests", engines_.requests()}};
    if (!nodes_.empty()) {
        const auto [fewest, most] = std::minmax_element(live.begin(), live.end());
        const auto [lowest, highest] = std::minmax_element(versions.begin(), versions.end());
        result["datagram"] = net::to_string(nodes_.begin()->second->datagram_endpoint());
        result["live_members"] = {{"fewest", *fewest}, {"most", *most}};
        result["config_version"] = {{"lowest", *lowest}, {"highest", *highest}};
    }
    result.update(record_.to_json());
    return result;
}

void hollow_fleet::change(net::http_exchange& exchange, bool silence) {
    const auto choice = parse_choice(exchange.request().body);
    if (!choice.ok()) {
        respond_bad_request(exchange, std::string(choice.status().message()));
        return;
    }
    json changed = json::array();
    const std::int64_t began = clock_.unix_microseconds();
    for (const settings::node_settings& plan : plans_) {
        if (!choice->holds(plan) || nodes_.contains(plan.node) != silence) {
            continue;
        }
        if (silence) {
            add(traffic_of_silenced_, nodes_.at(plan.node)->traffic());
            nodes_.erase(plan.node);
        } else if (const absl::Status status = start_node(plan); !status.ok()) {
            base::log(base::log_level::error, "hollow_node_failed", base::log_fields(status));
            continue;
        }
        changed.push_back(plan.node.value());
    }
    respond_json(exchange, {{"unix_microseconds", began}, {"nodes", std::move(changed)}});
}

void hollow_fleet::handle(const std::shared_ptr<net::http_exchange>& exchange) {
    const std::string_view path = exchange->request().path();
    const bool posted = exchange->request().method == "POST";
    if (path == "/stats" && !posted) {
        respond_json(*exchange, stats());
    } else if (path == "/engines" && !posted) {
        respond_json(*exchange, engines_.to_json());
    } else if ((path == "/silence" || path == "/revive") && posted) {
        change(*exchange, path == "/silence");
    } else if (path == "/forget" && posted) {
        record_.forget_departures();
        respond_json(*exchange, json::object());
    } else {
        respond_unknown_path(*exchange);
    }
}

}  // namespace pearbarrow::emulator
