/// Gossip-based membership: SWIM (Das et al. 2002) with the local health awareness of Lifeguard
/// (Dadgar et al. 2017), as a state machine without I/O.
///
/// In each period a node probes its successor in a hash ring, which detects the death of a single
/// node within a period, and one other node in random round-robin order, which detects the death of
/// many. A failed probe is repeated through other nodes before the target becomes suspect. Other
/// nodes then probe the suspect too, and their confirmations shorten the time in which it can
/// refute the suspicion. Updates are piggybacked on probes and sent in gossip datagrams. Membership
/// only provides liveness; no safety property depends on it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/membership/member.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/wire/membership_messages.h"

namespace pearbarrow::membership {

/// Switches for tests that disable a mechanism to verify that the checks detect its absence. In
/// production all are false.
struct swim_faults {
    bool no_refutation = false;
    bool no_indirect_probes = false;
    bool no_last_probe = false;
    bool no_self_awareness = false;
    bool no_reconnect = false;
    bool no_anti_entropy = false;
};

struct swim_options {
    std::string cluster;
    /// Interval between two probe rounds.
    base::milliseconds probe_period{500};
    /// Timeouts for the direct ack, and for any ack before the target becomes suspect.
    base::milliseconds direct_timeout{150};
    base::milliseconds indirect_timeout{400};
    std::size_t indirect_probes = 3;
    /// Minimum duration of a suspicion in a fleet of up to ten nodes. It grows with the logarithm
    /// of the fleet size.
    base::milliseconds suspicion_base{800};
    /// Ratio of the duration of an unconfirmed suspicion to the minimum duration.
    std::uint32_t max_suspicion_factor = 4;
    /// Number of confirmations by other nodes that reduce a suspicion to the minimum duration.
    std::uint32_t required_confirmations = 2;
    /// Interval between two gossip rounds, and the number of nodes that receive each round.
    base::milliseconds gossip_period{150};
    std::size_t gossip_fanout = 3;
    /// Each update is sent this many times the binary logarithm of the fleet size.
    double retransmit_factor = 1.5;
    /// Rate limit and burst of gossip datagrams in bytes. Probes are not limited.
    double gossip_bytes_per_second = 8'000;
    double gossip_burst_bytes = 20'000;
    /// Interval between two comparisons of the member table with that of another node.
    base::milliseconds sync_period{15'000};
    /// Interval between attempts to contact dead members, seeds and machines of the platform list.
    base::milliseconds reconnect_period{3'000};
    /// Time after which dead and left members are removed.
    base::milliseconds forget_after{30 * 60'000};
    /// A longer gap between two ticks indicates that this process was paused.
    base::milliseconds pause_threshold{400};
    /// Time after a pause during which this node accuses no other node.
    base::milliseconds pause_grace{1'000};
    /// Upper bound of the local health counter, which increases the timeouts of an unhealthy node.
    std::uint32_t max_health_penalty = 4;
    /// Time during which a leaving node announces that it leaves.
    base::milliseconds leave_period{600};
    std::size_t max_datagram_bytes = 1400;
    swim_faults faults;
};

// ---- Events ----

/// Sent about every 50 ms.
struct swim_tick {};
struct datagram_received {
    net::endpoint from;
    std::string payload;
};
/// Addresses to join through: seeds of the settings or the machine list of the platform. They are
/// only hints: a node is not considered alive before it has sent a message. Replaces the earlier
/// hints.
struct join_hints {
    std::vector<net::endpoint> endpoints;
};
/// This node changed its metadata, e.g. started to drain.
struct metadata_changed {
    member_metadata metadata;
};
/// The configuration version of this node increased.
struct config_version_changed {
    base::config_version version;
};
/// This node shuts down in an orderly way.
struct leave {};

using swim_event = std::variant<swim_tick, datagram_received, join_hints, metadata_changed,
                                config_version_changed, leave>;

// ---- Actions ----

struct send_datagram {
    net::endpoint to;
    std::string payload;
};
/// A member appeared, changed its state or metadata, or was removed.
struct member_changed {
    member current;
    /// Previous state; absent for a new member.
    std::optional<member_state> previous;
    bool forgotten = false;
};
/// A member reported a higher configuration version.
struct member_config_version {
    base::node_id id;
    base::config_version version;
};
/// Another process with the id of this node started later. This process should stop.
struct identity_taken {
    std::uint64_t other_generation = 0;
};
/// The leave announcement has been sent. The process may exit.
struct leave_finished {};

using swim_action = std::variant<send_datagram, member_changed, member_config_version,
                                 identity_taken, leave_finished>;

/// A member with local state of this node about it.
struct member_entry {
    member value;
    /// Time of the last state change on the clock of this node.
    base::instant state_changed_at;
    /// For a suspect: the nodes that accused it, and the time at which it is declared dead.
    std::vector<base::node_id> accusers;
    base::instant suspicion_started;
    base::instant suspicion_ends;
    /// Whether this node has sent the final probe before the suspicion expires.
    bool last_probe_sent = false;
    /// Hash of id and generation, which identifies the member in configuration reports.
    std::uint64_t report_hash = 0;
    std::uint64_t ring_position = 0;
};

/// Counters of this node, for metrics.
struct swim_statistics {
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t datagrams_rejected = 0;
    std::uint64_t probes = 0;
    std::uint64_t probes_failed = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
};

class swim_core {
  public:
    /// `self.generation` must be the start time of the process and `self.state` must be alive.
    swim_core(swim_options options, member self, base::random_source& random, base::instant now);

    std::vector<swim_action> apply(const swim_event& event, base::instant now);

    const member& self() const { return self_; }
    /// Returns all known members and this node, ordered by id.
    std::vector<member> members() const;
    /// Returns the alive and suspect members, and this node unless it is leaving, ordered by id.
    std::vector<member> live_members() const;
    std::optional<member> find(const base::node_id& id) const;
    /// Returns all other known members without copying them; valid until the next `apply`.
    const std::map<base::node_id, member_entry>& others() const { return entries_; }
    /// Number of alive and suspect members, including this node.
    std::size_t live_count() const;
    /// Lowest configuration version reported by any live member, including this node.
    base::config_version lowest_live_config_version() const;
    const swim_statistics& statistics() const { return statistics_; }

  private:
    using actions = std::vector<swim_action>;

    struct probe {
        base::node_id target;
        std::uint64_t generation = 0;
        std::uint64_t sequence = 0;
        base::instant sent;
        base::instant indirect_at;
        base::instant fails_at;
        bool indirect_sent = false;
    };
    /// A ping sent on behalf of another node, which receives the ack.
    struct relayed_probe {
        std::uint64_t own_sequence = 0;
        std::uint64_t requester_sequence = 0;
        net::endpoint requester;
        base::instant expires;
    };
    /// An update about a member and how often it has been sent.
    struct pending_update {
        base::node_id about;
        std::uint32_t sent = 0;
    };

    void on(const swim_tick& event, base::instant now, actions& out);
    void on(const datagram_received& event, base::instant now, actions& out);
    void on(const join_hints& event, base::instant now, actions& out);
    void on(const metadata_changed& event, base::instant now, actions& out);
    void on(const config_version_changed& event, base::instant now, actions& out);
    void on(const leave& event, base::instant now, actions& out);

    void handle_message(const net::endpoint& from, const wire::swim_datagram& message,
                        base::instant now, actions& out);
    void handle_ping(const net::endpoint& from, const wire::swim_datagram& message,
                     base::instant now, actions& out);
    void handle_ack(const wire::swim_datagram& message, base::instant now, actions& out);
    void handle_ping_request(const net::endpoint& from, const wire::swim_datagram& message,
                             base::instant now, actions& out);
    void handle_sync_digest(const net::endpoint& from, const wire::swim_datagram& message,
                            base::instant now, actions& out);

    void merge_record(const wire::member_record& record, base::instant now, actions& out);
    void merge_accusation(const wire::member_accusation& accusation, bool from_table,
                          base::instant now, actions& out);
    void apply_accusation(member_entry& entry, const wire::member_accusation& accusation,
                          base::instant now, actions& out);
    void merge_report(const wire::config_report& report, actions& out);
    void record_config_version(const base::node_id& id, base::config_version version, actions& out);
    void merge_record_of_self(const wire::member_record& record, actions& out);
    void refute(std::uint64_t generation, std::uint64_t incarnation, member_state state);
    void confirm_suspicion(member_entry& entry, const base::node_id& accuser, base::instant now);
    void set_state(member_entry& entry, member_state state, base::instant now, actions& out);
    void add_member(const member& next, base::instant now, actions& out);
    void update_member(member_entry& entry, const member& next, base::instant now, actions& out);
    void update_live_count(bool was_live, bool is_live);
    void rebuild_groups();

    bool detect_pause(base::instant now);
    void start_probe_round(base::instant now, actions& out);
    void start_probe(const member_entry& target, base::instant now, actions& out,
                     const wire::member_accusation* extra_accusation = nullptr);
    void check_probes(base::instant now, actions& out);
    void send_indirect(probe& waiting, actions& out);
    void on_probe_failed(const probe& failed, base::instant now, actions& out);
    void check_suspicions(base::instant now, actions& out);
    void on_probe_acknowledged(const probe& acknowledged, base::instant now);
    void remove_expired(base::instant now, actions& out);
    void send_gossip(base::instant now, actions& out);
    void start_sync(base::instant now, actions& out);
    void send_digests(const net::endpoint& to, bool wants_reply, actions& out);
    void reconnect(base::instant now, actions& out);
    void continue_leaving(base::instant now, actions& out);

    wire::swim_datagram make_message(wire::swim_message_kind kind, std::uint64_t sequence) const;
    void send(const net::endpoint& to, wire::swim_datagram message, bool with_updates,
              actions& out);
    void add_updates(wire::swim_datagram& message, std::size_t size);
    std::size_t add_update(const base::node_id& about, std::size_t room,
                           wire::swim_datagram& message) const;
    void add_reports(wire::swim_datagram& message, std::size_t room);
    std::vector<wire::member_accusation> accusations_of(const member_entry& entry) const;
    wire::member_accusation own_leave_announcement() const;
    void send_members(const net::endpoint& to, const std::vector<std::uint64_t>& their_digests,
                      actions& out);
    std::vector<std::uint64_t> bucket_digests() const;
    std::size_t bucket_of(const base::node_id& id) const;
    void enqueue_update(const base::node_id& about);
    void enqueue_report(std::uint64_t member_hash);
    void refill_allowance(base::instant now);

    const member_entry* ring_successor();
    const member_entry* next_in_round();
    std::vector<const member_entry*> random_sample(std::vector<const member_entry*> candidates,
                                                   std::size_t count);
    std::vector<const member_entry*> random_live(std::size_t count);
    std::vector<const member_entry*> random_alive(std::size_t count, const base::node_id& except);
    bool is_probed(const base::node_id& id) const;
    std::size_t retransmit_limit() const;
    base::microseconds min_suspicion() const;
    base::microseconds scaled_timeout(base::milliseconds timeout) const;
    void increase_health_penalty();
    void decrease_health_penalty();

    swim_options options_;
    member self_;
    std::uint64_t self_report_hash_ = 0;
    base::random_source& random_;
    std::uint32_t cluster_hash_ = 0;
    std::map<base::node_id, member_entry> entries_;
    std::map<std::uint64_t, base::node_id> by_report_hash_;
    std::vector<net::endpoint> hints_;
    std::size_t live_others_ = 0;
    /// Members by state, and the live successor of this node in the ring. Rebuilt on demand.
    bool groups_are_stale_ = true;
    std::vector<const member_entry*> live_;
    std::vector<const member_entry*> dead_;
    std::vector<base::node_id> suspects_;
    const member_entry* successor_ = nullptr;
    std::uint64_t ring_position_ = 0;

    std::vector<pending_update> pending_updates_;
    std::map<std::uint64_t, std::uint32_t> reports_;
    std::vector<probe> probes_;
    std::vector<relayed_probe> relayed_;
    std::vector<base::node_id> probe_order_;
    std::uint64_t last_sequence_ = 0;

    base::instant last_tick_;
    base::instant next_probe_;
    base::instant next_gossip_;
    base::instant next_sync_;
    base::instant next_reconnect_;
    base::instant next_cleanup_;
    base::instant no_accusation_before_;
    base::instant last_datagram_;
    double gossip_allowance_ = 0;
    base::instant allowance_at_;
    std::uint32_t health_penalty_ = 0;
    bool leaving_ = false;
    bool leave_reported_ = false;
    bool identity_reported_ = false;
    base::instant leave_ends_;
    swim_statistics statistics_;
};

}  // namespace pearbarrow::membership
