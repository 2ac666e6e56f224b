/// The configuration log on this node: the core over the store and the peer call `config_fetch`.
///
/// Two nodes a zone follow the platform's service; the others, and all during an outage, learn from
/// peers whose versions come with membership.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "pearbarrow/config/log_core.h"
#include "pearbarrow/config/validate.h"
#include "pearbarrow/node/configuration_store.h"
#include "pearbarrow/node/configuration_view.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"

namespace pearbarrow::node {

class configuration_service final : public configuration_view {
  public:
    /// `store` may be null: the node then learns from its peers only, and proposes nothing.
    configuration_service(node_context& context, membership_service& membership,
                          std::unique_ptr<configuration_store> store);
    ~configuration_service() override;

    /// Registers the peer method `config_fetch`.
    void register_methods();
    /// Reads the copy in the data folder, if any, and begins to follow.
    void start();

    config::configuration_ptr current() const override { return core_->current(); }
    bool store_reachable() const { return core_->store_reachable(); }
    base::config_version newest_known() const { return core_->newest_known(); }

    /// `done` runs once, from the event loop; results as of `config::proposal_done`.
    void propose(config::change change,
                 std::function<void(absl::StatusOr<base::config_version>)> done);
    /// Runs after each newer configuration came into force here.
    void on_installed(std::function<void()> callback);
    /// Decides anew whether this node follows the store, after a change of the members.
    void members_changed();

  private:
    void feed(const config::log_event& event);
    void carry_out(const config::log_action& action);
    /// Actions that concern the store.
    template <typename Action>
    void act(const Action& action) {
        store_->carry_out(action);
    }
    void act(const config::fetch_from_peer& action);
    void act(const config::proposal_done& action);
    void act(const config::config_installed& action);
    void act(const config::config_diverged& action);
    void serve_fetch(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void take_fetched(std::uint64_t request, const absl::StatusOr<std::string>& payload);
    std::string copy_file() const;
    config::configuration_ptr read_copy() const;
    void write_copy() const;

    node_context& context_;
    membership_service& membership_;
    std::unique_ptr<configuration_store> store_;
    std::unique_ptr<config::log_core> core_;
    std::map<std::uint64_t, std::unique_ptr<net::peer_call_handle>> fetches_;
    std::map<std::uint64_t, std::function<void(absl::StatusOr<base::config_version>)>> proposals_;
    std::uint64_t last_token_ = 0;
    bool follows_ = false;
    std::vector<std::function<void()>> installed_callbacks_;
    std::unique_ptr<net::timer_handle> ticker_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
