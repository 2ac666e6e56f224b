#include "pearbarrow/net/peer_rpc.h"

#include "peer_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

Test(peer_rpc, remote_and_local_calls_succeed) {
    peer_pair pair;
    for (const std::string node : {"server", "client"}) {
        call_result call(pair.loop);
        call.start(*pair.client, node, pair.address(), echo_method, "text");
        call.wait();
        cr_assert(call.ok(), "%s", call.text().c_str());
        cr_assert(call.result->value() == "text");
        cr_assert(call.parts == std::vector<std::string>{"part of client"});
    }
}

Test(peer_rpc, error_details_reach_the_caller) {
    peer_pair pair;
    for (const std::string node : {"server", "client"}) {
        call_result call(pair.loop);
        call.start(*pair.client, node, pair.address(), fail_method, "");
        call.wait();
        cr_assert(call.result->status().code() == absl::StatusCode::kAborted);
        const auto details = call.details();
        cr_assert(details.step == "append" && details.peer == "disk");
        cr_assert(details.reason == "fenced");
        cr_assert(details.was_executed == base::executed::yes);
        cr_assert(details.retry_after == milliseconds(250));
    }
}

Test(peer_rpc, call_fails_without_method_or_reply) {
    peer_pair pair;
    for (const std::string node : {"server", "client"}) {
        call_result missing(pair.loop);
        missing.start(*pair.client, node, pair.address(), 999, "");
        missing.wait();
        cr_assert(missing.result->status().code() == absl::StatusCode::kUnimplemented);
        call_result dropped(pair.loop);
        dropped.start(*pair.client, node, pair.address(), drop_method, "");
        dropped.wait();
        cr_assert(dropped.result->status().code() == absl::StatusCode::kInternal);
        cr_assert(dropped.details().reason == "unanswered");
        cr_assert(dropped.details().was_executed == base::executed::unknown);
    }
}

Test(peer_rpc, expired_deadline_ends_the_call_and_notifies_the_server) {
    peer_pair pair;
    for (const std::string node : {"server", "client"}) {
        call_result call(pair.loop);
        call.start(*pair.client, node, pair.address(), hold_method, "", milliseconds(50));
        call.wait();
        cr_assert(call.result->status().code() == absl::StatusCode::kDeadlineExceeded);
        cr_assert(call.details().reason == "deadline_exceeded");
        cr_assert(call.details().was_executed == base::executed::unknown);
        cr_assert(run_until(pair.loop, [&] { return pair.cancelled == 1; }));
        cr_assert(pair.held.back()->timeout() == milliseconds(50));
        pair.cancelled = 0;
        pair.held.back()->finish("late");  // ignored
        run_for(pair.loop, milliseconds(10));
    }
}

Test(peer_rpc, destroyed_handle_cancels_without_callbacks) {
    peer_pair pair;
    for (const std::string node : {"server", "client"}) {
        call_result call(pair.loop);
        call.start(*pair.client, node, pair.address(), hold_method, "");
        cr_assert(run_until(pair.loop, [&] { return !pair.held.empty(); }));
        call.handle.reset();
        cr_assert(run_until(pair.loop, [&] { return pair.cancelled == 1; }));
        cr_assert(!call.done());
        pair.cancelled = 0;
        pair.held.clear();
    }
}

Test(peer_rpc, call_cancelled_during_connect_is_not_sent) {
    peer_pair pair;
    call_result call(pair.loop);
    call.start(*pair.client, "server", pair.address(), hold_method, "");
    call.handle.reset();
    call_result second(pair.loop);
    second.start(*pair.client, "server", pair.address(), echo_method, "x");
    second.wait();
    cr_assert(second.ok());
    cr_assert(pair.held.empty());
}

Test(peer_rpc, lost_link_ends_its_calls_and_is_reopened) {
    peer_pair pair;
    call_result held(pair.loop);
    held.start(*pair.client, "server", pair.address(), hold_method, "");
    cr_assert(run_until(pair.loop, [&] { return !pair.held.empty(); }));
    const endpoint address = pair.address();
    pair.held.back()->on_cancelled([&] { ++pair.cancelled; });
    pair.server.reset();
    held.wait();
    cr_assert(held.details().reason == "connection_lost");
    cr_assert(held.details().peer == "server");
    cr_assert(held.details().was_executed == base::executed::unknown);
    cr_assert(pair.cancelled == 1);

    call_result refused(pair.loop);
    refused.start(*pair.client, "server", address, echo_method, "");
    refused.wait();
    cr_assert(refused.details().reason == "connect_failed");
    cr_assert(refused.details().was_executed == base::executed::no);

    pair.restart_server(address);
    call_result again(pair.loop);
    again.start(*pair.client, "server", address, echo_method, "back");
    again.wait();
    cr_assert(again.ok(), "%s", again.text().c_str());
}

Test(peer_rpc, destroyed_caller_cancels_its_requests) {
    peer_pair pair;
    call_result call(pair.loop);
    call.start(*pair.client, "server", pair.address(), hold_method, "");
    cr_assert(run_until(pair.loop, [&] { return !pair.held.empty(); }));
    pair.client.reset();
    cr_assert(run_until(pair.loop, [&] { return pair.cancelled == 1; }));
    cr_assert(!call.done());
}

Test(peer_rpc, requests_over_the_queue_limit_fail_immediately) {
    auto options = options_of("client");
    options.max_queued_bytes = 1024 * 1024;
    peer_pair pair(options);
    // All calls start in one event loop iteration, so that nothing is written in between.
    std::vector<std::unique_ptr<call_result>> calls;
    for (int index = 0; index < 20; ++index) {
        calls.push_back(std::make_unique<call_result>(pair.loop));
        calls.back()->start(*pair.client, "server", pair.address(), echo_method,
                            std::string(100 * 1024, 'x'));
    }
    int full = 0;
    for (const auto& call : calls) {
        call->wait();
        if (!call->ok()) {
            cr_assert(call->details().reason == "peer_queue_full");
            cr_assert(call->details().was_executed == base::executed::no);
            ++full;
        }
    }
    cr_assert(full == 10, "%d requests were rejected", full);
    call_result later(pair.loop);
    later.start(*pair.client, "server", pair.address(), echo_method, "x");
    later.wait();
    cr_assert(later.ok(), "%s", later.text().c_str());
}

Test(peer_rpc, requests_in_flight_are_bounded_on_each_side) {
    auto options = options_of("client");
    options.max_open_requests = 2;
    peer_pair pair(options);
    for (const std::string node : {"server", "client"}) {
        call_result first(pair.loop);
        call_result second(pair.loop);
        call_result third(pair.loop);
        first.start(*pair.client, node, pair.address(), hold_method, "");
        second.start(*pair.client, node, pair.address(), hold_method, "");
        third.start(*pair.client, node, pair.address(), hold_method, "");
        third.wait();
        cr_assert(third.details().reason == "peer_queue_full");
    }
    auto server_options = options_of("small");
    server_options.max_open_requests = 1;
    const auto small = make_peer_rpc(pair.loop, server_options);
    pair.register_methods(*small);
    cr_assert(small->start().ok());
    call_result first(pair.loop);
    call_result second(pair.loop);
    first.start(*pair.client, "small", small->local_endpoint(), hold_method, "");
    second.start(*pair.client, "small", small->local_endpoint(), hold_method, "");
    second.wait();
    cr_assert(second.details().reason == "peer_queue_full");
    cr_assert(second.details().was_executed == base::executed::no);
}

Test(peer_rpc, oversized_message_fails_without_closing_the_link) {
    auto options = options_of("client");
    options.max_frame_bytes = 64 * 1024;
    auto server_options = options;
    server_options.self = base::node_id("server");
    peer_pair pair(options, server_options);
    call_result request(pair.loop);
    request.start(*pair.client, "server", pair.address(), echo_method, std::string(70'000, 'x'));
    request.wait();
    cr_assert(request.details().reason == "frame_too_large");
    cr_assert(request.details().was_executed == base::executed::no);
    call_result answer(pair.loop);
    answer.start(*pair.client, "server", pair.address(), grow_method, "");
    answer.wait();
    cr_assert(answer.details().reason == "frame_too_large");
    call_result largest(pair.loop);
    const std::string payload(options.max_frame_bytes - 64, 'x');
    largest.start(*pair.client, "server", pair.address(), echo_method, payload);
    largest.wait();
    cr_assert(largest.ok(), "%s", largest.text().c_str());
    cr_assert(largest.result->value() == payload);
}

Test(peer_rpc, stopping_node_rejects_new_requests_and_finishes_others) {
    peer_pair pair;
    call_result in_flight(pair.loop);
    in_flight.start(*pair.client, "server", pair.address(), hold_method, "");
    cr_assert(run_until(pair.loop, [&] { return !pair.held.empty(); }));
    pair.server->stop_accepting();
    call_result refused(pair.loop);
    refused.start(*pair.client, "server", pair.address(), echo_method, "");
    refused.wait();
    cr_assert(refused.details().reason == "node_stopping");
    cr_assert(refused.details().was_executed == base::executed::no);
    pair.held.back()->finish("done");
    in_flight.wait();
    cr_assert(in_flight.ok());
}

Test(peer_rpc, backlog_counts_requests_until_their_final_reply) {
    peer_pair pair;
    cr_assert(pair.server->backlog().is_empty());
    call_result first(pair.loop);
    call_result second(pair.loop);
    first.start(*pair.client, "server", pair.address(), hold_method, "");
    second.start(*pair.client, "server", pair.address(), hold_method, "");
    cr_assert(run_until(pair.loop, [&] { return pair.held.size() == 2; }));
    cr_assert(pair.server->backlog().open_requests == 2);
    cr_assert(pair.client->backlog().is_empty());
    pair.held.front()->finish("done");
    cr_assert(pair.server->backlog().open_requests == 1);
    second.handle->cancel();
    first.wait();
    cr_assert(run_until(pair.loop, [&] { return pair.server->backlog().is_empty(); }));
    cr_assert(pair.cancelled == 1);
}

Test(peer_rpc, long_poll_is_not_in_the_backlog) {
    peer_pair pair;
    call_result poll(pair.loop);
    poll.start(*pair.client, "server", pair.address(), hold_method, "");
    cr_assert(run_until(pair.loop, [&] { return !pair.held.empty(); }));
    pair.held.back()->mark_as_long_poll();
    cr_assert(pair.server->backlog().is_empty());
    pair.held.back()->finish("news");
    poll.wait();
    cr_assert(poll.ok());
}

Test(peer_rpc, backlog_contains_replies_that_a_paused_peer_has_not_taken) {
    peer_pair pair;
    event_loop paused_loop;
    const auto paused = make_peer_rpc(paused_loop, options_of("paused"));
    call_result call(paused_loop);
    call.start(*paused, "server", pair.address(), hold_method, "");
    for (int round = 0; round < 2'000 && pair.held.empty(); ++round) {
        run_for(paused_loop, std::chrono::milliseconds(1));
        run_for(pair.loop, std::chrono::milliseconds(1));
    }
    cr_assert(!pair.held.empty());
    // More than the buffers of the kernel hold.
    const std::string payload(15'000'000, 'x');
    pair.held.back()->send_part(payload);
    pair.held.back()->finish(payload);
    run_for(pair.loop, std::chrono::milliseconds(50));
    cr_assert(pair.server->backlog().open_requests == 0);
    cr_assert(pair.server->backlog().queued_bytes > 0);
    cr_assert(!pair.server->backlog().is_empty());
    for (int round = 0; round < 20'000 && !call.done(); ++round) {
        run_for(paused_loop, std::chrono::milliseconds(1));
        run_for(pair.loop, std::chrono::milliseconds(1));
    }
    cr_assert(call.done() && call.ok());
    cr_assert(pair.server->backlog().is_empty());
}

Test(peer_rpc, parts_arrive_in_order_before_the_final_reply) {
    peer_pair pair;
    for (const std::string node : {"server", "client"}) {
        call_result call(pair.loop);
        call.start(*pair.client, node, pair.address(), count_method, "");
        call.wait();
        cr_assert(call.ok());
        cr_assert(call.parts.size() == 1000);
        for (std::size_t index = 0; index < call.parts.size(); ++index) {
            cr_assert(call.parts[index] == std::to_string(index));
        }
    }
    cr_assert(pair.client->bytes_received() > 1000);
    cr_assert(pair.client->bytes_received() <= pair.server->bytes_sent());
}

Test(peer_rpc, traffic_is_counted_by_method_and_distance) {
    const auto in_zone = [](const std::string& node, const std::string& zone) {
        peer_rpc_options options = options_of(node);
        options.zone = zone;
        options.distance_of = [zone](std::string_view other) {
            return other == zone ? peer_distance::own_zone : peer_distance::other_region;
        };
        return options;
    };
    peer_pair pair(in_zone("client", "a"), in_zone("server", "b"));
    call_result call(pair.loop);
    // The text is too short for compression.
    const std::string text(100, 'x');
    call.start(*pair.client, "server", pair.address(), echo_method, text);
    call.wait();
    cr_assert(call.ok());
    const auto row_of = [](const peer_rpc& rpc) {
        for (const traffic_row& row : rpc.traffic()) {
            if (row.method == echo_method) {
                return row;
            }
        }
        return traffic_row{};
    };
    const traffic_row request_row = row_of(*pair.client);
    const traffic_row reply_row = row_of(*pair.server);
    cr_assert(!request_row.is_reply && reply_row.is_reply);
    cr_assert(request_row.distance == peer_distance::other_region);
    cr_assert(reply_row.distance == peer_distance::other_region);
    cr_assert(request_row.frames == 1);
    cr_assert(reply_row.frames == 2, "a part and the final reply");
    cr_assert(request_row.bytes > text.size() && request_row.bytes < text.size() + 50);
    cr_assert(reply_row.bytes > text.size() && reply_row.bytes < text.size() + 100);
}

Test(peer_rpc, destroyed_node_runs_no_callbacks_of_rejected_calls) {
    peer_pair pair;
    call_result call(pair.loop);
    call.start(*pair.client, "server", pair.address(), echo_method,
               std::string(17 * 1024 * 1024, 'x'));
    pair.client.reset();
    run_for(pair.loop, milliseconds(10));
    cr_assert(!call.done());
}

Test(peer_rpc, destroyed_node_cancels_its_local_requests) {
    peer_pair pair;
    call_result call(pair.loop);
    call.start(*pair.client, "client", pair.address(), hold_method, "");
    cr_assert(run_until(pair.loop, [&] { return pair.held.size() == 1; }));
    pair.client.reset();
    cr_assert(pair.cancelled == 1);
    pair.held.back()->finish("ignored");
    run_for(pair.loop, milliseconds(10));
    cr_assert(!call.done());
}

namespace {

/// Returns the milliseconds until a call fails whose peer accepts the connection and sends nothing.
std::int64_t milliseconds_until_failure(event_loop& loop, peer_rpc& client,
                                        const endpoint& silent) {
    const base::system_clock_source clock;
    const base::instant started_at = clock.now();
    call_result call(loop);
    call.start(client, "silent", silent, echo_method, "x");
    call.wait();
    cr_assert(call.details().reason == "hello_timeout", "%s", call.text().c_str());
    return std::chrono::duration_cast<base::milliseconds>(clock.now() - started_at).count();
}

}  // namespace

Test(peer_rpc, first_connect_timeouts_to_unresponsive_peer_are_short) {
    peer_rpc_options options = options_of("client");
    options.connect_timeout = base::milliseconds{3'000};
    options.first_connect_timeout = base::milliseconds{50};
    peer_pair peers(options);
    raw_server silent;
    // A busy machine can only lengthen an attempt.
    cr_assert(milliseconds_until_failure(peers.loop, *peers.client, silent.local_endpoint()) <
              2'000);
    cr_assert(milliseconds_until_failure(peers.loop, *peers.client, silent.local_endpoint()) >=
              100);
    cr_assert(milliseconds_until_failure(peers.loop, *peers.client, silent.local_endpoint()) >=
              200);
}

Test(peer_rpc, connect_timeout_is_constant_without_first_connect_timeout) {
    peer_rpc_options options = options_of("client");
    options.connect_timeout = base::milliseconds{200};
    peer_pair peers(options);
    raw_server silent;
    cr_assert(milliseconds_until_failure(peers.loop, *peers.client, silent.local_endpoint()) >=
              200);
}
