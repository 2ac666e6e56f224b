/// The owner's end of one shard's journal: the leader core over peer calls.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/journal/leader.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"

namespace pearbarrow::node {

/// What becomes of the leadership. All run from the event loop, maybe inside a call.
struct journal_link_callbacks {
    std::function<void(const journal::recovered&)> on_recovered;
    std::function<void(const journal::appended&)> on_appended;
    std::function<void(const journal::append_refused&)> on_append_refused;
    std::function<void(base::log_index through)> on_committed;
    std::function<void(const journal::fenced&)> on_fenced;
    std::function<void(bool available)> on_availability;
    std::function<void(const journal::retained_read&)> on_retained;
    std::function<void(std::uint64_t token)> on_confirmed;
};

class journal_link {
  public:
    journal_link(node_context& context, membership_service& membership, base::shard_id shard,
                 journal_link_callbacks callbacks);
    ~journal_link();
    journal_link(const journal_link&) = delete;
    journal_link& operator=(const journal_link&) = delete;

    /// Feeds an event and carries the leader's actions out.
    void feed(const journal::leader_event& event);
    const journal::leader_core& leader() const { return leader_; }
    /// Runs `then` once a majority has confirmed that this node still leads; never, if it does not.
    void when_confirmed(std::function<void()> then);
    /// The highest epoch that this reign has established; 0 before the first.
    std::uint64_t established_epoch() const { return established_epoch_; }
    /// Learners of this reign that have caught up.
    const std::set<wire::journal_member>& caught_up() const { return caught_up_; }

  private:
    void carry_out(const journal::leader_action& action);
    /// Forgets what was true of the reign that has ended.
    void end_reign();
    void send(const journal::send_request& action);
    void take_reply(std::uint64_t request_id, const absl::StatusOr<std::string>& payload);

    node_context& context_;
    membership_service& membership_;
    journal::leader_core leader_;
    journal_link_callbacks callbacks_;
    std::uint64_t last_question_ = 0;
    std::map<std::uint64_t, std::function<void()>> questions_;
    std::uint64_t established_epoch_ = 0;
    std::set<wire::journal_member> caught_up_;
    std::map<std::uint64_t, std::unique_ptr<net::peer_call_handle>> calls_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
