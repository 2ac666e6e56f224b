/// Membership by gossip: SWIM (Das et al. 2002) with Lifeguard's self-awareness (Dadgar et al.
/// 2017), as a state machine without I/O.
///
/// Each period a node probes its successor in a ring by hash, so that one node's death is noticed
/// within a period, and one other node in random round-robin order, so that the death of many is.
/// An unanswered probe is tried through other nodes, then suspicion spreads; others probe the
/// suspect too, and their confirmations shorten its time to refute. News ride on probes and on
/// gossip datagrams of their own. Membership is liveness only: no safety rests on it.
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

/// Mechanisms that tests switch off, to see their checks fail. Production leaves all on.
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
    /// Time between two rounds of probes.
    base::milliseconds probe_period{500};
    /// Wait for a direct answer, and for any answer, before the target is suspected.
    base::milliseconds direct_timeout{150};
    base::milliseconds indirect_timeout{400};
    std::size_t indirect_probes = 3;
    /// Shortest suspicion in a fleet of up to ten; grows with the logarithm of the fleet's size.
    base::milliseconds suspicion_base{800};
    /// A suspicion that nobody confirms lasts this many times the shortest.
    std::uint32_t suspicion_maximum_factor = 4;
    /// Confirmations by other nodes that bring a suspicion down to the shortest.
    std::uint32_t confirmations_wanted = 2;
    /// News go out this often, to this many nodes.
    base::milliseconds gossip_period{150};
    std::size_t gossip_fanout = 3;
    /// Each piece of news is sent this many times the binary logarithm of the fleet's size.
    double retransmit_factor = 1.5;
    /// Bytes a second for gossip datagrams (probes are outside this limit), and their burst.
    double gossip_bytes_per_second = 8'000;
    double gossip_burst_bytes = 20'000;
    /// One other node's table is compared with one's own this often.
    base::milliseconds sync_period{15'000};
    /// Members found dead, seeds and machines of the platform's list are tried this often.
    base::milliseconds reconnect_period{3'000};
    /// Dead and left members are forgotten after this time.
    base::milliseconds forget_after{30 * 60'000};
    /// A gap between two ticks longer than this means that this process was paused.
    base::milliseconds pause_threshold{400};
    /// After a pause, this node accuses nobody for this long.
    base::milliseconds pause_grace{1'000};
    /// Highest multiplier of the timeouts of a node that doubts itself.
    std::uint32_t maximum_doubt = 4;
    /// A leaving node repeats its farewell for this long.
    base::milliseconds leave_period{600};
    std::size_t max_datagram_bytes = 1400;
    swim_faults faults;
};

// ---- Events ----

/// Due about every 50 ms.
struct swim_tick {};
struct datagram_received {
    net::endpoint from;
    std::string payload;
};
/// Addresses to join through: seeds of the settings, or the platform's machine list. Hints only:
/// nobody is taken for alive who has not spoken. Replaces the earlier hints.
struct join_hints {
    std::vector<net::endpoint> endpoints;
};
/// This node changed its metadata, e.g. started to drain.
struct metadata_changed {
    member_metadata metadata;
};
/// This node's configuration version rose.
struct config_version_changed {
    base::config_version version;
};
/// This node stops in good order.
struct leave {};

using swim_event = std::variant<swim_tick, datagram_received, join_hints, metadata_changed,
                                config_version_changed, leave>;

// ---- Actions ----

struct send_datagram {
    net::endpoint to;
    std::string payload;
};
/// A member appeared, changed its state or metadata, or was forgotten.
struct member_changed {
    member current;
    /// Its state before; none when it is new.
    std::optional<member_state> previous;
    bool forgotten = false;
};
/// A member reported a configuration version higher than before.
struct member_config_version {
    base::node_id id;
    base::config_version version;
};
/// Another process runs under this node's id and started later: this one should stop.
struct identity_taken {
    std::uint64_t other_generation = 0;
};
/// The farewell has been sent: the process may exit.
struct leave_finished {};

using swim_action = std::variant<send_datagram, member_changed, member_config_version,
                                 identity_taken, leave_finished>;

/// A member with this node's notes on it.
struct member_entry {
    member value;
    /// When its state last changed, by this node's clock.
    base::instant since;
    /// While suspect: who accused it, and when it is declared dead.
    std::vector<base::node_id> accusers;
    base::instant suspicion_started;
    base::instant suspicion_ends;
    /// This node has probed the suspect once more, at the end of its time.
    bool last_probe_sent = false;
    /// Hash of id and generation, which names it in configuration reports.
    std::uint64_t report_hash = 0;
    std::uint64_t ring_position = 0;
};

/// What this node knows about itself and its traffic; for metrics.
struct swim_statistics {
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t datagrams_refused = 0;
    std::uint64_t probes = 0;
    std::uint64_t probes_failed = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
};

class swim_core {
  public:
    /// `self.generation` must be the process's start time; `self.state` alive.
    swim_core(swim_options options, member self, base::random_source& random, base::instant now);

    std::vector<swim_action> apply(const swim_event& event, base::instant now);

    const member& self() const { return self_; }
    /// All known members and this node, ordered by id.
    std::vector<member> members() const;
    /// Those alive or suspect, and this node unless it is leaving; ordered by id.
    std::vector<member> live_members() const;
    std::optional<member> find(const base::node_id& id) const;
    /// All other known members, without copies; valid until the next `apply`.
    const std::map<base::node_id, member_entry>& others() const { return entries_; }
    /// Members alive or suspect, this node included.
    std::size_t live_count() const;
    /// Lowest configuration version that any live member has reported; this node's included.
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
    /// A ping sent for another node, whose answer goes back to it.
    struct relayed_probe {
        std::uint64_t own_sequence = 0;
        std::uint64_t asker_sequence = 0;
        net::endpoint asker;
        base::instant expires;
    };
    /// A piece of news and how often it has been sent.
    struct news {
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
    void accuse(member_entry& entry, const wire::member_accusation& accusation, base::instant now,
                actions& out);
    void merge_report(const wire::config_report& report, actions& out);
    void note_config_version(const base::node_id& id, base::config_version version, actions& out);
    void merge_record_of_self(const wire::member_record& record, actions& out);
    void defend_self(std::uint64_t generation, std::uint64_t incarnation, member_state state);
    void confirm_suspicion(member_entry& entry, const base::node_id& accuser, base::instant now);
    void set_state(member_entry& entry, member_state state, base::instant now, actions& out);
    void add_member(const member& next, base::instant now, actions& out);
    void adopt(member_entry& entry, const member& next, base::instant now, actions& out);
    void count_change(bool was_live, bool is_live);
    void regroup();

    bool notice_pause(base::instant now);
    void start_probe_round(base::instant now, actions& out);
    void start_probe(const member_entry& target, base::instant now, actions& out,
                     const wire::member_accusation* told = nullptr);
    void check_probes(base::instant now, actions& out);
    void send_indirect(probe& waiting, actions& out);
    void fail_probe(const probe& failed, base::instant now, actions& out);
    void check_suspicions(base::instant now, actions& out);
    void note_answer_of(const probe& answered, base::instant now);
    void forget_old(base::instant now, actions& out);
    void send_gossip(base::instant now, actions& out);
    void start_sync(base::instant now, actions& out);
    void send_digests(const net::endpoint& to, bool wants_answer, actions& out);
    void reconnect(base::instant now, actions& out);
    void continue_leaving(base::instant now, actions& out);

    wire::swim_datagram make_message(wire::swim_message_kind kind, std::uint64_t sequence) const;
    void send(const net::endpoint& to, wire::swim_datagram message, bool with_news, actions& out);
    void add_news(wire::swim_datagram& message, std::size_t size);
    std::size_t add_news_about(const base::node_id& about, std::size_t room,
                               wire::swim_datagram& message) const;
    void add_reports(wire::swim_datagram& message, std::size_t room);
    std::vector<wire::member_accusation> accusations_of(const member_entry& entry) const;
    wire::member_accusation own_farewell() const;
    void send_members(const net::endpoint& to, const std::vector<std::uint64_t>& theirs,
                      actions& out);
    std::vector<std::uint64_t> bucket_digests() const;
    std::size_t bucket_of(const base::node_id& id) const;
    void spread(const base::node_id& about);
    void spread_report(std::uint64_t member_hash);
    void refill_allowance(base::instant now);

    const member_entry* ring_successor();
    const member_entry* next_in_round();
    std::vector<const member_entry*> random_of(std::vector<const member_entry*> candidates,
                                               std::size_t count);
    std::vector<const member_entry*> random_live(std::size_t count);
    std::vector<const member_entry*> random_alive(std::size_t count, const base::node_id& except);
    bool is_probed(const base::node_id& id) const;
    std::size_t retransmit_limit() const;
    base::microseconds shortest_suspicion() const;
    base::microseconds scaled(base::milliseconds timeout) const;
    void doubt_self_more();
    void doubt_self_less();

    swim_options options_;
    member self_;
    std::uint64_t self_report_hash_ = 0;
    base::random_source& random_;
    std::uint32_t cluster_hash_ = 0;
    std::map<base::node_id, member_entry> entries_;
    std::map<std::uint64_t, base::node_id> by_report_hash_;
    std::vector<net::endpoint> hints_;
    std::size_t live_others_ = 0;
    /// Members by state, and the live one that follows this node in the ring; made anew when
    /// needed.
    bool groups_are_stale_ = true;
    std::vector<const member_entry*> live_;
    std::vector<const member_entry*> dead_;
    std::vector<base::node_id> suspects_;
    const member_entry* successor_ = nullptr;
    std::uint64_t ring_position_ = 0;

    std::vector<news> news_;
    std::map<std::uint64_t, std::uint32_t> reports_;
    std::vector<probe> probes_;
    std::vector<relayed_probe> relayed_;
    std::vector<base::node_id> round_;
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
    std::uint32_t doubt_ = 0;
    bool leaving_ = false;
    bool leave_reported_ = false;
    bool identity_reported_ = false;
    base::instant leave_ends_;
    swim_statistics statistics_;
};

}  // namespace pearbarrow::membership
