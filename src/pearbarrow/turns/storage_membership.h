/// Decides how the set of storage members changes: forms it, joins, takes out the dead, and
/// retires.
///
/// Members of a new fleet announce themselves; once no more come, one of them divides all into
/// replica groups. From then on each member proposes changes to a register outside (compare-and-set
/// on the view's revision), one member at a time, so that majorities of two views of a group that
/// follow each other always meet. A member judges only those of its own group.
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

/// The outside register of the storage view.
class storage_register {
  public:
    virtual ~storage_register() = default;
    /// Replaces the view if its revision is still that of `next`. A new revision reaches the node
    /// through the directory. `done` runs once; kAborted: another change came first.
    virtual void propose(const directory::storage_view& next,
                         std::function<void(absl::Status)> done) = 0;
    /// Tells the operator how far the emptying of this node has come.
    virtual void report_retirement(bool completed, std::function<void(absl::Status)> done) = 0;
    /// Tells the others that this member wants to be in the first view.
    virtual void announce(const directory::storage_member& self,
                          std::function<void(absl::Status)> done) = 0;
};

struct membership_options {
    directory::storage_member self;
    base::milliseconds check_interval{500};
    /// A member that has said nothing for this long is taken out.
    base::milliseconds dead_after{6'000};
    group_options groups;
    /// The first view is formed once no further member has announced itself for this long: longer
    /// than a node may rest between two looks at the register (`directory::pacing_options`).
    base::milliseconds formation_quiet{1'500};
    /// More of it for each member whose name is before this one's, so that one proposes, not all.
    base::milliseconds formation_stagger{200};
};

class storage_membership {
  public:
    storage_membership(net::event_loop& loop, const base::clock& clock, turn_replica& replica,
                       storage_register& outside, membership_options options);
    ~storage_membership();
    storage_membership(const storage_membership&) = delete;
    storage_membership& operator=(const storage_membership&) = delete;

    void start();
    void set_view(const directory::storage_view& view);
    /// The outside register can be reached, and holds no view yet.
    void set_register_empty() { register_empty_ = true; }
    /// All that have announced themselves, while there is no view.
    void set_candidates(std::vector<directory::storage_member> candidates);
    /// The operator has asked for this node to be emptied, or no longer does.
    void set_retiring(bool retiring);

  private:
    void check();
    void announce();
    void form_later();
    void form_view();
    /// The next view that this member wants, if any.
    std::optional<directory::storage_view> wanted_view();
    /// Says once that the member waits, or that it waits no longer.
    void note_waiting(bool waits);
    std::optional<directory::storage_view> without_dead() const;
    /// Whether the voters of this member's group are settled; hurries them otherwise.
    bool may_lose_a_voter() const;
    /// The members of this one's group; none when the view does not name it.
    directory::storage_view own_group() const;
    bool is_dead(const base::node_id& node) const;
    bool others_have_everything() const;
    void advance_retirement();
    void report_running();
    void report_completed();
    void propose(directory::storage_view next);

    net::event_loop& loop_;
    const base::clock& clock_;
    turn_replica& replica_;
    storage_register& outside_;
    membership_options options_;
    std::optional<directory::storage_view> view_;
    /// It would enter a group that then bears no lost zone.
    bool waits_to_enter_ = false;
    std::unique_ptr<net::timer_handle> timer_;
    std::vector<directory::storage_member> candidates_;
    std::unique_ptr<net::timer_handle> formation_timer_;
    bool announcing_ = false;
    bool announced_ = false;
    bool register_empty_ = false;
    bool proposing_ = false;
    /// Unknown until the outside register has been read: a member proposes nothing before.
    std::optional<bool> retirement_asked_;
    enum class report { due, sent, taken };
    report running_report_ = report::due;
    report completed_report_ = report::due;
};

}  // namespace pearbarrow::turns
