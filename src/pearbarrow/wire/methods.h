/// Numbers of the methods that nodes call on each other. A number is never reused.
///
/// The names differ from those of the message types, since both are in this namespace.
#pragma once

#include <cstdint>

namespace pearbarrow::wire {

/// Number of a method in a request frame.
using method_number = std::uint16_t;

/// Journal replica, called by shard owners.
inline constexpr method_number journal_prepare = 10;
inline constexpr method_number journal_append = 11;
inline constexpr method_number journal_read = 12;
inline constexpr method_number journal_snapshot = 13;
inline constexpr method_number journal_read_retained = 14;
inline constexpr method_number journal_install = 15;
inline constexpr method_number journal_status = 16;
/// Discards a corrupt replica, called by the repair of the shard's owner.
inline constexpr method_number journal_reset = 17;

/// Program owner, called by gateways and by owners of parent and child programs.
inline constexpr method_number route_program_request = 20;

/// Dispatcher of a cell, called by program owners.
inline constexpr method_number place_offer = 30;
inline constexpr method_number place_finished = 31;
inline constexpr method_number place_explain = 32;
inline constexpr method_number place_withdraw = 33;
inline constexpr method_number place_register = 34;

/// Home of a limit, called by program owners.
inline constexpr method_number quota_claim = 70;

/// Configuration log, called by every node.
inline constexpr method_number config_fetch = 40;

/// Transfer of shards for a planned stop.
inline constexpr method_number ownership_offer = 50;
inline constexpr method_number ownership_locate = 51;
/// Queries which of a set of programs have ended, sent to a shard's owner.
inline constexpr method_number programs_ended = 52;

/// An operator's command to a node, relayed by the node that received it.
inline constexpr method_number node_drain = 60;

/// Long poll for changes of routes, back ends and storage members that the caller does not have.
inline constexpr method_number directory_watch = 80;
/// Parts of the list of back ends, fetched from a peer whose list differs.
inline constexpr method_number directory_parts = 81;
/// A poll of the directory service through a peer, called by a node that the service rejects.
inline constexpr method_number directory_poll = 82;

/// Storage of turns, called by edges and by other storage members.
inline constexpr method_number turn_reserve = 90;
inline constexpr method_number turn_read = 91;
inline constexpr method_number turn_finish = 92;
inline constexpr method_number turn_list = 93;
inline constexpr method_number turn_fetch = 94;
inline constexpr method_number turn_usage = 95;
/// One of the preceding calls, relayed by a node that can reach the member.
inline constexpr method_number turn_relay = 96;
/// The load reports of nodes, pulled by storage members of other replica groups.
inline constexpr method_number load_pull = 97;

/// Grant of one request under a tenant's limit, by the storage members that enforce it.
inline constexpr method_number tenant_quota = 100;
/// Permit for one request to a back end that has just started, granted in the same way.
inline constexpr method_number start_permit = 101;

/// Ends of back ends under requests, sent to all nodes.
inline constexpr method_number suspect_report = 110;
/// All suspects that a peer knows, called by a node that starts.
inline constexpr method_number suspect_fetch = 111;

}  // namespace pearbarrow::wire
