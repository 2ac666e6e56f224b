/// Priority queue of the calls that wait in a cell. Calls past the starvation bound come first; the
/// others are ordered by priority, then tenants within their share before tenants over it, then by
/// the program's order key. Every operation takes O(log n).
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/placement/program_rules.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::placement {

class class_statistics;

/// Sort key of a waiting call; the smallest key is granted first.
struct queue_key {
    /// 0 for calls past the starvation bound, 1 for all others.
    std::uint8_t band = 1;
    /// Negated priority.
    std::int32_t priority = 0;
    /// 1 when the tenant has recently used more than its share.
    std::uint8_t over_share = 0;
    double order = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const queue_key&) const = default;
};

/// A call that waits for a grant.
struct waiting_call {
    wire::placement_offer offer;
    queue_key key;
    /// Arrival time of the call, including the time it waited before this offer.
    base::instant waiting_since;
    /// None when the caller set no deadline.
    std::optional<base::instant> deadline;
    /// Engines that the rules, the model and the context length permit.
    engine_mask permitted = 0;
    /// The first call of a program that has no parent.
    bool opens_program = false;
    /// Rules of the program under the current configuration.
    program_rules rules;
    /// Statistics of the program's class; they outlive the call.
    class_statistics* statistics = nullptr;
};

class call_queue {
    struct lane_key {
        engine_mask permitted = 0;
        bool opens_program = false;

        auto operator<=>(const lane_key&) const = default;
    };

  public:
    /// Returns false when the attempt is waiting already.
    bool insert(waiting_call call);
    /// Removes and returns the call; none when it is unknown.
    std::optional<waiting_call> remove(const base::attempt_id& attempt);
    const waiting_call* find(const base::attempt_id& attempt) const;
    std::size_t size() const { return calls_.size(); }

    /// Number of calls with a smaller key, over all engines.
    std::size_t ahead_of(const queue_key& key) const { return all_.order_of_key(key); }
    /// Moves a call to a new position.
    void change_key(const base::attempt_id& attempt, queue_key key);
    void change_rules(const base::attempt_id& attempt, program_rules rules);
    /// Changes the engines that a call may use.
    void change_permitted(const base::attempt_id& attempt, engine_mask permitted);

    /// Moves calls that have waited since before `bound` to the front.
    void promote_starved(base::instant bound);
    /// Attempts whose deadline is at or before `now`.
    std::vector<base::attempt_id> expired_calls(base::instant now) const;
    std::vector<base::attempt_id> attempts() const;

    /// Iterates in queue order over the calls that may use one of the `open` engines. Each call is
    /// returned once.
    class cursor {
      public:
        cursor(const call_queue& queue, engine_mask open);
        /// The next call, or null at the end. `open` may shrink between steps.
        const waiting_call* next(engine_mask open);
        /// Skips all further calls that open a program.
        void skip_openers() { skip_openers_ = true; }

      private:
        const call_queue& queue_;
        struct position {
            lane_key lane;
            std::optional<queue_key> last;
        };
        std::vector<position> positions_;
        bool skip_openers_ = false;
    };

  private:
    template <typename Mapped>
    using ordered =
        __gnu_pbds::tree<queue_key, Mapped, std::less<queue_key>, __gnu_pbds::rb_tree_tag,
                         __gnu_pbds::tree_order_statistics_node_update>;
    /// Calls that may use the same engines. Calls that open a program have separate lanes.
    using lane = std::map<queue_key, waiting_call*>;

    void link(waiting_call& call);
    void unlink(waiting_call& call);

    absl::flat_hash_map<base::attempt_id, std::unique_ptr<waiting_call>> calls_;
    ordered<__gnu_pbds::null_type> all_;
    std::map<lane_key, lane> lanes_;
    /// Calls not yet past the starvation bound, by arrival time.
    std::set<std::pair<base::instant, std::uint64_t>> arrivals_;
    std::map<std::uint64_t, waiting_call*> by_sequence_;
    std::set<std::pair<base::instant, std::uint64_t>> deadlines_;
};

}  // namespace pearbarrow::placement
