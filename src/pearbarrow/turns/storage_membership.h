/// Manages the set of storage members: forms it, adds members, removes dead ones and retires
/// members on request.
///
/// Members of a new fleet announce themselves. Once no more members appear, one of them divides
/// them into replica groups. From then on, each member proposes changes to an external register by
/// compare-and-set on the view's revision. Each change affects one member, so the majorities of two
/// consecutive views of a group always intersect. A member removes only members of its own
/// group, in two steps: a dead voter loses its vote (`retiring`), and leaves the view once the
/// remaining voters are settled (`write_coverage.h`).
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/turns/replica_groups.h"
#include "pearbarrow/turns/turn_replica.h"

namespace pearbarrow::turns {

/// The external register of the storage view.
class storage_register {
  public:
    virtual ~storage_register() = default;
    /// Replaces the view if its revision still equals that of `next`. The new revision reaches the
    /// node through the directory. `done` runs once; kAborted means that another change came first.
    virtual void propose(const directory::storage_view& next,
                         std::function<void(absl::Status)> done) = 0;
    /// Reports the progress of this node's retirement to the operator.
    virtual void report_retirement(bool completed, std::function<void(absl::Status)> done) = 0;
    /// Announces this member as a candidate for the first view.
    virtual void announce(const directory::storage_member& self,
                          std::function<void(absl::Status)> done) = 0;
};

struct membership_options {
    directory::storage_member self;
    base::milliseconds check_interval{500};
    /// Time without a listing reply after which a member is removed.
    base::milliseconds dead_after{6'000};
    group_options groups;
    /// The first view is formed when no further member has announced itself for this long. It must
    /// exceed the maximum interval between a node's polls of the register
    /// (`directory::pacing_options`).
    base::milliseconds formation_quiet{1'500};
    /// Additional delay for each member whose name sorts before this one's, so that only one member
    /// proposes.
    base::milliseconds formation_stagger{200};
};

class storage_membership {
  public:
    storage_membership(net::event_loop& loop, const base::clock& clock, turn_replica& replica,
                       storage_register& storage_view_register, membership_options options);
    ~storage_membership();
    storage_membership(const storage_membership&) = delete;
    storage_membership& operator=(const storage_membership&) = delete;

    void start();
    void set_view(const directory::storage_view& view);
    /// Records that the external register is reachable and contains no view yet.
    void set_register_empty() { register_empty_ = true; }
    /// Sets the members that have announced themselves, while there is no view.
    void set_candidates(std::vector<directory::storage_member> candidates);
    /// Sets whether the operator has requested the retirement of this node.
    void set_retiring(bool retiring);
    /// Returns whether a voter that does not reply may not be removed.
    bool keeps_dead_voter() const { return !kept_.value().empty(); }

  private:
    void check();
    void announce();
    void schedule_formation();
    void form_view();
    /// Returns the view that this member should propose next, if any.
    std::optional<directory::storage_view> next_view();
    /// Logs when the member starts or stops waiting to enter a group.
    void log_waiting(bool is_waiting);
    std::optional<directory::storage_view> view_without_dead_member();
    /// Returns a dead member of the group, preferably one that has lost its vote; null if there is
    /// none.
    const directory::storage_member* find_dead(const directory::storage_view& group) const;
    std::optional<directory::storage_view> view_without(const directory::storage_member& dead);
    std::optional<directory::storage_view> view_without_vote_of(
        const directory::storage_member& dead, const directory::storage_view& group);
    /// Returns the responsive voters whose changes are all stored here, including this member.
    read_members read_voters(const directory::storage_view& group) const;
    /// Logs when a dead voter begins to be kept; empty if none is.
    void log_kept(const base::node_id& dead, const read_members& read = {});
    /// Returns whether the voters of this member's group are settled. If they are not, asks the
    /// replica to settle them sooner.
    bool can_remove_voter() const;
    /// Returns the view of this member's group; empty if the view does not contain this member.
    directory::storage_view own_group() const;
    bool is_dead(const base::node_id& node) const;
    bool is_fully_replicated() const;
    void advance_retirement();
    /// Logs when the retirement begins to wait for other voters.
    void log_retirement_waits(bool waits);
    void report_running();
    void report_completed();
    void propose(directory::storage_view next);

    net::event_loop& loop_;
    const base::clock& clock_;
    turn_replica& replica_;
    storage_register& register_;
    membership_options options_;
    std::optional<directory::storage_view> view_;
    /// Dead voter that may not be removed; empty if there is none.
    base::node_id kept_;
    /// The member is waiting because entering any group would break its zone tolerance.
    bool is_waiting_to_enter_ = false;
    std::unique_ptr<net::timer_handle> timer_;
    std::vector<directory::storage_member> candidates_;
    std::unique_ptr<net::timer_handle> formation_timer_;
    bool announcing_ = false;
    bool announced_ = false;
    bool register_empty_ = false;
    bool proposing_ = false;
    /// Empty until the external register has been read; the member proposes nothing before that.
    std::optional<bool> retirement_requested_;
    enum class report { due, sent, accepted };
    report running_report_ = report::due;
    report completed_report_ = report::due;
    bool retirement_waits_ = false;
};

}  // namespace pearbarrow::turns
