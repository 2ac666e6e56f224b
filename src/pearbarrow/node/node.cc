#include "pearbarrow/node/node.h"

#include <algorithm>
#include <filesystem>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/node/local_configuration_store.h"
#include "pearbarrow/node/platform_configuration_store.h"
#include "pearbarrow/node/shard_hash.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds ready_check_period{20};
constexpr base::milliseconds stop_check_period{20};
/// A stopping node offers what it still owns again after this time.
constexpr base::milliseconds offer_period{250};
/// Draws of a program id until one falls into a shard of the node's region.
constexpr int most_id_draws = 1'000;
/// Limit for the log lines about responses of one listener that are given up.
constexpr std::size_t max_undelivered_lines = 100;
/// Time reserved for the delivery of the last error responses.
constexpr base::milliseconds max_last_response_time{200};

base::milliseconds last_response_time(base::milliseconds drain_timeout) {
    return std::min(max_last_response_time, drain_timeout / 20);
}

void log_response(const net::undelivered_response& response) {
    base::log(base::log_level::warning, "response_undelivered",
              {{"peer", response.peer},
               {"stage", net::to_string(response.stage)},
               {"bytes", response.bytes},
               {"reason", response.reason.empty() ? "closed" : response.reason}});
}

net::endpoint to_endpoint(const settings::ip_endpoint& value) {
    return {value.address, value.port};
}

/// The advertised address; where only its port is open, the one listened on.
net::endpoint advertised(const std::optional<settings::ip_endpoint>& override_address,
                         const net::endpoint& listening) {
    if (!override_address.has_value()) {
        return listening;
    }
    net::endpoint result = to_endpoint(*override_address);
    if (result.port == 0) {
        result.port = listening.port;
    }
    return result;
}

std::unique_ptr<net::peer_rpc> make_rpc(net::event_loop& loop,
                                        const settings::node_settings& settings) {
    net::peer_rpc_options options;
    options.self = settings.node;
    options.cluster = settings.cluster;
    options.listen = to_endpoint(settings.listen.peer);
    options.max_frame_bytes = settings.limits.max_frame_bytes;
    options.max_queued_bytes = settings.limits.max_peer_queue_bytes;
    return net::make_peer_rpc(loop, options);
}

std::uint64_t seed_of(const settings::node_settings& settings) {
    return settings.random_seed.value_or(base::random_source::system_seed());
}

}  // namespace

node::node(net::event_loop& loop, const base::clock& clock, const settings::node_settings& settings,
           node_callbacks callbacks)
    : random_(seed_of(settings)),
      http_(net::make_http_client(loop)),
      rpc_(make_rpc(loop, settings)),
      context_{loop, clock, random_, *rpc_, *http_, metrics_, settings},
      callbacks_(std::move(callbacks)),
      replicas_(context_),
      membership_(context_),
      health_(clock),
      prober_(context_, membership_, health_),
      backends_(context_) {}

node::~node() = default;

absl::Status node::start() {
    if (absl::Status status = open_storage(); !status.ok()) {
        return status;
    }
    absl::Status store_status;
    std::unique_ptr<configuration_store> store = make_store(store_status);
    if (!store_status.ok()) {
        return store_status;
    }
    configuration_ =
        std::make_unique<configuration_service>(context_, membership_, std::move(store));
    dispatchers_ = std::make_unique<dispatcher_service>(context_, membership_, *configuration_,
                                                        backends_, health_, prober_);
    dispatcher_client_ =
        std::make_unique<dispatcher_client>(context_, membership_, *configuration_, health_);
    router_ = std::make_unique<peer_router>(context_, membership_, *configuration_, health_);
    quotas_ = std::make_unique<quota_service>(context_, membership_, *configuration_, health_);
    shard_services_ = std::make_unique<shard_services>(
        shard_services{context_, membership_, *configuration_, backends_, *dispatcher_client_,
                       *router_, *quotas_});
    ownership_ = std::make_unique<ownership_director>(*shard_services_, health_, prober_);
    operator_service_ =
        std::make_unique<operator_service>(context_, membership_, *configuration_, *ownership_,
                                           *router_, [this] { return not_ready_reason(); });
    register_methods();
    if (absl::Status status = open_listeners(); !status.ok()) {
        return status;
    }
    connect_parts();
    start_parts();
    return absl::OkStatus();
}

absl::Status node::open_storage() {
    const auto& folder = context_.settings.data_folder;
    if (folder.has_value()) {
        std::error_code error;
        std::filesystem::create_directories(*folder, error);
        if (error) {
            return base::make_error(
                absl::StatusCode::kUnavailable, error.message(),
                {.step = "open_data_folder", .peer = *folder, .reason = "data_folder_unusable"});
        }
    }
    return replicas_.open();
}

std::unique_ptr<configuration_store> node::make_store(absl::Status& status) {
    const settings::node_settings& settings = context_.settings;
    if (!settings.platform.key_value.empty()) {
        return std::make_unique<platform_configuration_store>(context_);
    }
    if (!settings.data_folder.has_value() || !settings.seeds.empty()) {
        return nullptr;
    }
    auto store = std::make_unique<local_configuration_store>(
        context_,
        (std::filesystem::path(*settings.data_folder) / "configuration-log.jsonl").string());
    status = store->open();
    return store;
}

void node::register_methods() {
    configuration_->register_methods();
    dispatchers_->register_methods();
    ownership_->register_methods();
    operator_service_->register_methods();
    quotas_->register_methods();
}

net::http_server_options node::listener_options(const settings::ip_endpoint& listen) const {
    const settings::node_settings& settings = context_.settings;
    net::http_server_options options;
    options.listen = to_endpoint(listen);
    options.on_undelivered = log_response;
    options.max_header_bytes = settings.limits.max_header_bytes;
    options.max_body_bytes = settings.limits.max_body_bytes;
    options.max_connections = settings.limits.max_connections;
    options.max_pending_bytes = settings.limits.max_pending_bytes * 2;
    options.request_timeout = settings.timing.request_timeout;
    options.write_timeout = settings.timing.write_timeout;
    if (settings.tls.has_value()) {
        options.tls = net::tls_files{settings.tls->certificate_chain, settings.tls->private_key,
                                     settings.tls->client_authorities};
    }
    return options;
}

net::http_server_options node::caller_options() const {
    net::http_server_options options = listener_options(context_.settings.listen.caller);
    options.descriptors = net::descriptor_limit::of_process();
    options.on_connection_rejected = [this](std::string_view reason) {
        context_.metrics
            .add_counter("pearbarrow_connections_rejected_total",
                         "Connections of callers that were rejected",
                         {{"reason", std::string(reason)}})
            .increment();
    };
    return options;
}

absl::Status node::open_listeners() {
    const settings::node_settings& settings = context_.settings;
    tenants_ = std::make_unique<gateway::configuration_directory>(
        [this] { return configuration_->current(); });
    gateway_ = std::make_unique<gateway::caller_gateway>(*router_, *tenants_, context_.clock,
                                                         gateway_options());
    operator_api_ = std::make_unique<operators::operator_api>(context_.loop, *operator_service_,
                                                              context_.clock, operator_options());
    caller_server_ = net::make_http_server(context_.loop, caller_options(), gateway_->handler());
    operator_server_ = net::make_http_server(
        context_.loop, listener_options(settings.listen.operators), operator_api_->handler());
    for (const auto& open :
         {std::function<absl::Status()>([this] { return rpc_->start(); }),
          std::function<absl::Status()>([this] { return membership_.open(); }),
          std::function<absl::Status()>([this] { return caller_server_->start(); }),
          std::function<absl::Status()>([this] { return operator_server_->start(); })}) {
        if (absl::Status status = open(); !status.ok()) {
            return status;
        }
    }
    addresses_.caller = caller_server_->local_endpoint();
    addresses_.operators = operator_server_->local_endpoint();
    addresses_.peer = rpc_->local_endpoint();
    addresses_.datagram = membership_.datagram_endpoint();
    if (callbacks_.on_listening) {
        callbacks_.on_listening(addresses_);
    }
    return absl::OkStatus();
}

membership::member_metadata node::describe_self() const {
    const settings::node_settings& settings = context_.settings;
    membership::member_metadata self;
    self.zone = settings.zone;
    self.region = settings.region;
    self.datagram = advertised(settings.advertise.datagram, addresses_.datagram);
    self.peer = advertised(settings.advertise.peer, addresses_.peer);
    self.caller = advertised(settings.advertise.caller, addresses_.caller);
    self.operators = advertised(settings.advertise.operators, addresses_.operators);
    self.has_disk = replicas_.has_store();
    return self;
}

void node::connect_parts() {
    bootstrap_ = std::make_unique<shard_map_bootstrap>(context_, membership_, *configuration_);
    caches_ = std::make_unique<cache_reconciliation>(context_, membership_, *configuration_,
                                                     backends_, *ownership_, health_);
    repair_ = std::make_unique<replica_repair>(context_, membership_, *configuration_, *ownership_);
    machines_ = std::make_unique<machine_list_follower>(
        context_, [this](const auto& machines) { take_machine_list(machines); });
    node_metrics_ = std::make_unique<node_metrics>(context_, membership_, *configuration_,
                                                   *ownership_, *dispatchers_, *router_);
    configuration_->on_installed([this] {
        backends_.configure(*configuration_->current());
        dispatchers_->update();
        dispatcher_client_->update();
        ownership_->configuration_changed();
    });
    membership_.on_change([this] {
        bootstrap_->members_changed();
        dispatchers_->update();
        dispatcher_client_->update();
        ownership_->update();
        router_->update();
        quotas_->update();
    });
    membership_.on_identity_taken([this] { stop(); });
}

void node::start_parts() {
    membership_.start(describe_self());
    dispatchers_->start();
    ownership_->start();
    quotas_->start([this] {
        program::quota_use_map sum;
        for (const auto& [shard, host] : ownership_->hosts()) {
            host->add_quota_use(sum);
        }
        return sum;
    });
    configuration_->start();
    bootstrap_->start();
    repair_->start();
    caches_->start();
    machines_->start();
    ready_timer_ = context_.loop.every(ready_check_period, [this] { check_ready(); });
}

gateway::gateway_options node::gateway_options() {
    const settings::node_settings& settings = context_.settings;
    gateway::gateway_options options;
    options.node = context_.self();
    options.draw_program_id = [this] { return draw_program_id(); };
    options.in_own_region = [this](const base::program_id& id) { return in_own_region(id); };
    options.draw_request_id = [this] { return base::request_id(random_.hex_id()); };
    options.max_open_requests = settings.limits.max_open_requests;
    options.max_pending_bytes = settings.limits.max_pending_bytes;
    options.request_timeout = settings.timing.request_timeout;
    options.call_timeout = settings.timing.call_timeout;
    options.stopping = [this] { return refusing_; };
    options.metrics = &metrics_;
    return options;
}

operators::operator_api_options node::operator_options() {
    operators::operator_api_options options;
    options.node = context_.self();
    options.key_hashes = context_.settings.operator_key_hashes;
    options.metrics = &metrics_;
    options.before_metrics = [this] { node_metrics_->refresh(); };
    return options;
}

bool node::in_own_region(const base::program_id& program) const {
    const config::configuration_ptr configuration = configuration_->current();
    const auto* assignment = configuration->shard(shard_of(program, context_.settings.shard_count));
    return assignment != nullptr && assignment->region == context_.settings.region;
}

base::program_id node::draw_program_id() {
    base::program_id id(random_.hex_id());
    for (int draw = 1; draw < most_id_draws && !in_own_region(id); ++draw) {
        id = base::program_id(random_.hex_id());
    }
    return id;
}

void node::take_machine_list(const std::vector<platform::machine>& machines) {
    std::vector<net::endpoint> hints;
    std::vector<base::backend_id> leaving;
    const config::configuration_ptr configuration = configuration_->current();
    for (const platform::machine& machine : machines) {
        if (machine.state == platform::machine_state::leaving) {
            leaving.emplace_back(machine.node);
        } else if (configuration->find(config::object_kind::engine, machine.node) == nullptr &&
                   configuration->find(config::object_kind::tool_service, machine.node) ==
                       nullptr) {
            hints.push_back(machine.address);
        }
    }
    membership_.set_join_hints(std::move(hints));
    dispatchers_->set_leaving(std::move(leaving));
}

std::string node::not_ready_reason() const {
    if (stopping_) {
        return "node_stopping";
    }
    if (membership_.draining()) {
        return "draining";
    }
    if (configuration_->current()->version().value() == 0) {
        return "no_configuration";
    }
    if (configuration_->current()->find_spec<config::shard_map_spec>("default") == nullptr) {
        return "no_shard_map";
    }
    return ownership_->settled() ? "" : "shards_recovering";
}

void node::check_ready() {
    if (!ready_announced_ && not_ready_reason().empty()) {
        ready_announced_ = true;
        base::log(base::log_level::info, "ready");
        if (callbacks_.on_ready) {
            callbacks_.on_ready(addresses_);
        }
    }
}

void node::stop() {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_started_ = context_.now();
    last_offer_ = stop_started_;
    base::log(base::log_level::info, "stopping");
    membership_.set_draining(true);
    if (!has_successor()) {
        refuse_requests();
    }
    ownership_->hand_over();
    stop_timer_ = context_.loop.every(stop_check_period, [this] { check_stopped(); });
}

bool node::has_successor() const {
    const auto& members = membership_.live_members();
    return std::any_of(members.begin(), members.end(), [this](const membership::member& each) {
        return each.id != context_.self() && each.accepts_work() &&
               each.metadata.region == context_.settings.region;
    });
}

void node::check_stopped() {
    const base::instant now = context_.now();
    const base::milliseconds timeout = context_.settings.timing.drain_timeout;
    const base::microseconds elapsed = now - stop_started_;
    const bool out_of_time = elapsed > timeout - last_response_time(timeout);
    if (!ownership_->idle() && !out_of_time) {
        if (now - last_offer_ > offer_period) {
            last_offer_ = now;
            ownership_->hand_over();
        }
        return;
    }
    refuse_requests();
    if (out_of_time && !std::exchange(has_given_up_, true)) {
        give_up();
    }
    if (!deliver_responses() && elapsed <= timeout) {
        return;
    }
    stop_timer_->cancel();
    say_farewell();
}

void node::refuse_requests() {
    // The listener stays open while requests are processed: callers get a response instead of a
    // refused connection.
    if (!std::exchange(refusing_, true)) {
        caller_server_->disable_keep_alive();
        operator_server_->disable_keep_alive();
    }
}

bool node::deliver_responses() {
    if (!delivering_) {
        if (caller_server_->open_exchanges() > 0 || router_->open_requests() > 0) {
            return false;
        }
        delivering_ = true;
        caller_server_->stop_accepting();
    }
    if (!caller_server_->is_drained()) {
        return false;
    }
    // Operators' requests use peer calls and membership, so they end before the farewell.
    if (!std::exchange(operators_stopping_, true)) {
        operator_server_->stop_accepting();
    }
    return operator_server_->is_drained();
}

void node::give_up() {
    base::log(base::log_level::warning, "drain_timeout",
              {{"responses",
                caller_server_->undelivered().size() + operator_server_->undelivered().size()},
               {"open_requests", caller_server_->open_exchanges()},
               {"router_requests", router_->open_requests()}});
    router_->give_up();
    delivering_ = true;
    operators_stopping_ = true;
    for (net::http_server* server : {caller_server_.get(), operator_server_.get()}) {
        server->stop_accepting();
        server->reject_arriving("node_stopping", "the node stops");
    }
}

void node::say_farewell() {
    rpc_->stop_accepting();
    membership_.leave([this] {
        log_undelivered();
        base::log(base::log_level::info, "stopped");
        callbacks_.on_stopped();
    });
}

void node::log_undelivered() const {
    for (const net::http_server* server : {caller_server_.get(), operator_server_.get()}) {
        std::vector<net::undelivered_response> given_up = server->undelivered();
        given_up.resize(std::min(given_up.size(), max_undelivered_lines));
        for (net::undelivered_response& response : given_up) {
            response.reason = "node_stopped";
            log_response(response);
        }
    }
}

void node::reload() {
    for (net::http_server* server : {caller_server_.get(), operator_server_.get()}) {
        const absl::Status status = server->reload_tls();
        if (!status.ok()) {
            base::log(base::log_level::error, "tls_reload_failed", base::log_fields(status));
        }
    }
}

}  // namespace pearbarrow::node
