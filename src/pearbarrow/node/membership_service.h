/// Membership of the fleet: the SWIM core over datagrams, with the settings' seeds and the
/// platform's machine list as hints.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/membership/member.h"
#include "pearbarrow/membership/swim.h"
#include "pearbarrow/net/datagram.h"
#include "pearbarrow/node/node_context.h"

namespace pearbarrow::node {

class membership_service {
  public:
    explicit membership_service(node_context& context);
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// Opens the datagram socket. Call before `start`, which needs its port.
    absl::Status open();
    net::endpoint datagram_endpoint() const;
    /// Begins probing, with this node described by `self` (generation: start of the process).
    void start(membership::member_metadata self);

    /// Members that are alive or suspected, this node included unless it has left; ordered by id.
    const std::vector<membership::member>& live_members() const { return live_; }
    /// All known members, dead ones too.
    std::vector<membership::member> members() const;
    std::optional<membership::member> find(const base::node_id& node) const;
    std::optional<net::endpoint> peer_address(const base::node_id& node) const;
    /// Lowest configuration version that a live member has reported.
    base::config_version lowest_config_version() const;
    bool draining() const;
    membership::swim_statistics statistics() const;

    /// Runs after each change of the members.
    void on_change(std::function<void()> callback);
    /// Runs when a member reports a higher configuration version.
    void on_config_version(
        std::function<void(const base::node_id&, base::config_version)> callback);
    /// Runs when a younger process has taken this node's name.
    void on_identity_taken(std::function<void()> callback);

    void set_join_hints(std::vector<net::endpoint> machine_list);
    void set_config_version(base::config_version version);
    /// This node takes no new work and hands over what it has, or takes that back.
    void set_draining(bool draining);
    /// Says farewell; `done` runs once it has been sent.
    void leave(std::function<void()> done);

  private:
    void feed(const membership::swim_event& event);
    void carry_out(const membership::swim_action& action);
    void refresh();

    node_context& context_;
    std::unique_ptr<net::datagram_socket> socket_;
    std::unique_ptr<membership::swim_core> core_;
    std::unique_ptr<net::timer_handle> ticker_;
    std::vector<membership::member> live_;
    std::vector<std::function<void()>> change_callbacks_;
    std::function<void(const base::node_id&, base::config_version)> config_callback_;
    std::function<void()> identity_callback_;
    std::function<void()> left_callback_;
};

}  // namespace pearbarrow::node
