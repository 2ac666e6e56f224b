#include "pearbarrow/node/configuration_service.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>
#include <variant>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/wire/codec.h"
#include "pearbarrow/wire/config_messages.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds tick_period{100};
constexpr base::milliseconds fetch_timeout{2'000};

absl::Status no_store() {
    return base::make_error(absl::StatusCode::kUnavailable,
                            "this node has no way to the configuration store",
                            {.step = "config_log", .reason = "config_store_unavailable"});
}

absl::StatusOr<config::peer_answered> to_event(std::uint64_t request,
                                               const wire::config_fetch_reply& reply) {
    config::peer_answered event;
    event.request = request;
    if (!reply.snapshot.empty()) {
        const auto snapshot = config::decode_configuration(reply.snapshot);
        if (!snapshot.ok()) {
            return snapshot.status();
        }
        event.snapshot = *snapshot;
    }
    for (const wire::config_entry& entry : reply.entries) {
        auto change = config::decode_change(entry.content);
        if (!change.ok()) {
            return change.status();
        }
        event.entries.push_back({entry.version, *std::move(change)});
    }
    return event;
}

}  // namespace

configuration_service::configuration_service(node_context& context, membership_service& membership,
                                             std::unique_ptr<configuration_store> store)
    : context_(context), membership_(membership), store_(std::move(store)) {
    config::log_core_options options;
    options.self = context_.self();
    core_ = std::make_unique<config::log_core>(options, read_copy(), context_.random);
    if (store_ != nullptr) {
        store_->connect([this](const config::log_event& event) { feed(event); });
    }
}

configuration_service::~configuration_service() = default;

void configuration_service::register_methods() {
    context_.rpc.register_method(wire::config_fetch, [this](auto payload, auto responder) {
        serve_fetch(payload, std::move(responder));
    });
}

void configuration_service::start() {
    membership_.on_config_version([this](const base::node_id& peer, base::config_version version) {
        feed(config::peer_version_seen{peer, version});
    });
    membership_.on_change([this] { members_changed(); });
    if (current()->version().value() > 0) {
        act(config::config_installed{current()});
    }
    members_changed();
    ticker_ = context_.loop.every(tick_period, [this] { feed(config::log_tick{}); });
}

void configuration_service::members_changed() {
    if (store_ == nullptr) {
        return;
    }
    const auto followers = membership::platform_followers(membership_.live_members());
    const bool follows =
        std::find(followers.begin(), followers.end(), context_.self()) != followers.end();
    if (follows != follows_) {
        follows_ = follows;
        feed(config::follower_changed{follows});
    }
}

void configuration_service::propose(
    config::change change, std::function<void(absl::StatusOr<base::config_version>)> done) {
    if (store_ == nullptr) {
        context_.loop.post([done = std::move(done)] { done(no_store()); });
        return;
    }
    const std::uint64_t token = ++last_token_;
    proposals_[token] = std::move(done);
    feed(config::propose{token, std::move(change)});
}

void configuration_service::on_installed(std::function<void()> callback) {
    installed_callbacks_.push_back(std::move(callback));
}

void configuration_service::feed(const config::log_event& event) {
    for (const config::log_action& action : core_->apply(event, context_.now())) {
        carry_out(action);
    }
}

void configuration_service::carry_out(const config::log_action& action) {
    std::visit([this](const auto& item) { act(item); }, action);
}

void configuration_service::act(const config::fetch_from_peer& action) {
    const auto address = membership_.peer_address(action.peer);
    if (!address.has_value()) {
        context_.loop.post([this, request = action.request, alive = std::weak_ptr<int>(alive_)] {
            if (!alive.expired()) {
                feed(config::peer_answered{request, no_store(), nullptr, {}});
            }
        });
        return;
    }
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this,
                         request = action.request](const absl::StatusOr<std::string>& payload) {
        take_fetched(request, payload);
    };
    fetches_[action.request] =
        context_.rpc.call(action.peer, *address, wire::config_fetch,
                          wire::encode(wire::config_fetch_request{action.after}), fetch_timeout,
                          std::move(callbacks));
}

void configuration_service::take_fetched(std::uint64_t request,
                                         const absl::StatusOr<std::string>& payload) {
    const auto handle = fetches_.extract(request);
    const auto reply = payload.ok() ? wire::decode<wire::config_fetch_reply>(*payload)
                                    : absl::StatusOr<wire::config_fetch_reply>(payload.status());
    const auto event = reply.ok() ? to_event(request, *reply)
                                  : absl::StatusOr<config::peer_answered>(reply.status());
    feed(event.ok() ? *event : config::peer_answered{request, event.status(), nullptr, {}});
}

void configuration_service::act(const config::proposal_done& action) {
    const auto found = proposals_.extract(action.token);
    if (!found.empty()) {
        context_.loop.post([done = found.mapped(), result = action.result] { done(result); });
    }
}

void configuration_service::act(const config::config_installed& action) {
    base::log(base::log_level::info, "configuration_installed",
              {{"version", action.value->version().value()}});
    membership_.set_config_version(action.value->version());
    write_copy();
    for (const auto& callback : installed_callbacks_) {
        callback();
    }
}

void configuration_service::act(const config::config_diverged& action) {
    base::log(base::log_level::error, "configuration_diverged",
              {{"version", action.version.value()},
               {"own_change", action.own_change},
               {"other_change", action.other_change}});
}

void configuration_service::serve_fetch(std::string_view payload,
                                        std::shared_ptr<net::peer_responder> responder) {
    const auto request = wire::decode<wire::config_fetch_request>(payload);
    if (!request.ok()) {
        responder->fail(request.status());
        return;
    }
    const config::log_tail tail = core_->entries_after(request->after);
    wire::config_fetch_reply reply;
    reply.version = current()->version();
    if (tail.snapshot != nullptr) {
        reply.snapshot = config::encode_configuration(*tail.snapshot);
    }
    for (const config::log_entry& entry : tail.entries) {
        reply.entries.push_back({entry.version, config::encode_change(entry.content)});
    }
    responder->finish(wire::encode(reply));
}

std::string configuration_service::copy_file() const {
    const auto& folder = context_.settings.data_folder;
    return folder.has_value() ? (std::filesystem::path(*folder) / "configuration.json").string()
                              : std::string();
}

/// The copy lets a node start during an outage of the platform. It is never ahead of the log.
config::configuration_ptr configuration_service::read_copy() const {
    const std::string file = copy_file();
    std::ifstream input(file, std::ios::binary);
    if (file.empty() || !input) {
        return config::configuration::empty();
    }
    std::stringstream text;
    text << input.rdbuf();
    const auto copy = config::decode_configuration(text.str());
    if (!copy.ok()) {
        base::log(base::log_level::warning, "configuration_copy_unusable",
                  base::log_fields(copy.status()));
        return config::configuration::empty();
    }
    return *copy;
}

void configuration_service::write_copy() const {
    const std::string file = copy_file();
    if (file.empty()) {
        return;
    }
    const std::string partial = file + ".partial";
    {
        std::ofstream output(partial, std::ios::binary | std::ios::trunc);
        output << config::encode_configuration(*current());
    }
    std::error_code error;
    std::filesystem::rename(partial, file, error);
    if (error) {
        base::log(base::log_level::warning, "configuration_copy_not_written",
                  {{"file", file}, {"error", error.message()}});
    }
}

}  // namespace pearbarrow::node
