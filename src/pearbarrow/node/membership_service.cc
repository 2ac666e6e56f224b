#include "pearbarrow/node/membership_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "pearbarrow/base/log.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds tick_period{50};

net::endpoint to_endpoint(const settings::ip_endpoint& value) {
    return {value.address, value.port};
}

}  // namespace

membership_service::membership_service(node_context& context) : context_(context) {}
membership_service::~membership_service() = default;

absl::Status membership_service::open() {
    socket_ = net::make_datagram_socket(
        context_.loop, to_endpoint(context_.settings.listen.datagram),
        [this](const net::endpoint& from, std::string_view payload) {
            if (core_ != nullptr) {
                feed(membership::datagram_received{from, std::string(payload)});
            }
        });
    return socket_->start();
}

net::endpoint membership_service::datagram_endpoint() const {
    return socket_->local_endpoint();
}

void membership_service::start(membership::member_metadata self) {
    membership::swim_options options;
    options.cluster = context_.settings.cluster;
    options.probe_period = context_.settings.timing.probe_interval;
    options.direct_timeout = context_.settings.timing.probe_timeout;
    options.indirect_timeout = options.direct_timeout * 2;
    // A suspicion that others confirm is shorter than the setting, one that nobody does longer.
    options.suspicion_base = context_.settings.timing.suspicion_timeout * 2 / 5;
    membership::member member;
    member.id = context_.self();
    member.generation = static_cast<std::uint64_t>(context_.clock.unix_microseconds());
    member.metadata = std::move(self);
    core_ = std::make_unique<membership::swim_core>(options, std::move(member), context_.random,
                                                    context_.now());
    refresh();
    set_join_hints({});
    ticker_ = context_.loop.every(tick_period, [this] { feed(membership::swim_tick{}); });
}

std::vector<membership::member> membership_service::members() const {
    return core_->members();
}

std::optional<membership::member> membership_service::find(const base::node_id& node) const {
    return core_->find(node);
}

std::optional<net::endpoint> membership_service::peer_address(const base::node_id& node) const {
    const auto found = core_->find(node);
    if (!found.has_value()) {
        return std::nullopt;
    }
    return found->metadata.peer;
}

base::config_version membership_service::lowest_config_version() const {
    return core_->lowest_live_config_version();
}

bool membership_service::draining() const {
    return core_->self().metadata.draining;
}

membership::swim_statistics membership_service::statistics() const {
    return core_->statistics();
}

void membership_service::on_change(std::function<void()> callback) {
    change_callbacks_.push_back(std::move(callback));
}

void membership_service::on_config_version(
    std::function<void(const base::node_id&, base::config_version)> callback) {
    config_callback_ = std::move(callback);
}

void membership_service::on_identity_taken(std::function<void()> callback) {
    identity_callback_ = std::move(callback);
}

void membership_service::set_join_hints(std::vector<net::endpoint> machine_list) {
    for (const settings::ip_endpoint& seed : context_.settings.seeds) {
        machine_list.push_back(to_endpoint(seed));
    }
    feed(membership::join_hints{std::move(machine_list)});
}

void membership_service::set_config_version(base::config_version version) {
    feed(membership::config_version_changed{version});
}

void membership_service::set_draining(bool draining) {
    membership::member_metadata metadata = core_->self().metadata;
    if (metadata.draining == draining) {
        return;
    }
    metadata.draining = draining;
    feed(membership::metadata_changed{std::move(metadata)});
    refresh();
    for (const auto& callback : change_callbacks_) {
        callback();
    }
}

void membership_service::leave(std::function<void()> done) {
    left_callback_ = std::move(done);
    feed(membership::leave{});
}

void membership_service::feed(const membership::swim_event& event) {
    const auto actions = core_->apply(event, context_.now());
    const bool changed = std::any_of(actions.begin(), actions.end(), [](const auto& action) {
        return std::holds_alternative<membership::member_changed>(action);
    });
    if (changed) {
        refresh();
    }
    for (const auto& action : actions) {
        carry_out(action);
    }
    if (changed) {
        for (const auto& callback : change_callbacks_) {
            callback();
        }
    }
}

void membership_service::carry_out(const membership::swim_action& action) {
    if (const auto* send = std::get_if<membership::send_datagram>(&action)) {
        socket_->send(send->to, send->payload);
    } else if (const auto* changed = std::get_if<membership::member_changed>(&action)) {
        base::log(base::log_level::info, "member_changed",
                  {{"member", changed->current.id.value()},
                   {"state", std::string(membership::to_string(changed->current.state))},
                   {"draining", changed->current.metadata.draining},
                   {"forgotten", changed->forgotten}});
    } else if (const auto* version = std::get_if<membership::member_config_version>(&action)) {
        if (config_callback_) {
            config_callback_(version->id, version->version);
        }
    } else if (std::holds_alternative<membership::identity_taken>(action)) {
        base::log(base::log_level::error, "identity_taken");
        if (identity_callback_) {
            identity_callback_();
        }
    } else if (std::holds_alternative<membership::leave_finished>(action)) {
        if (left_callback_) {
            std::exchange(left_callback_, nullptr)();
        }
    }
}

void membership_service::refresh() {
    live_ = core_->live_members();
}

}  // namespace pearbarrow::node
