#include "pearbarrow/net/peer_rpc.h"

#include "peer_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

Test(peer_rpc, calls_another_node_and_itself) {
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

Test(peer_rpc, errors_keep_their_details) {
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

Test(peer_rpc, a_method_that_is_not_there_or_drops_its_request_fails) {
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

Test(peer_rpc, a_deadline_ends_the_call_and_tells_the_server) {
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

Test(peer_rpc, a_dropped_handle_cancels_without_callbacks) {
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

Test(peer_rpc, a_call_cancelled_before_the_link_is_up_is_never_sent) {
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

Test(peer_rpc, a_lost_link_ends_both_sides_and_is_opened_again_at_the_next_call) {
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

Test(peer_rpc, a_caller_that_goes_cancels_its_requests) {
    peer_pair pair;
    call_result call(pair.loop);
    call.start(*pair.client, "server", pair.address(), hold_method, "");
    cr_assert(run_until(pair.loop, [&] { return !pair.held.empty(); }));
    pair.client.reset();
    cr_assert(run_until(pair.loop, [&] { return pair.cancelled == 1; }));
    cr_assert(!call.done());
}

Test(peer_rpc, requests_beyond_the_queue_fail_at_once) {
    auto options = options_of("client");
    options.max_queued_bytes = 1024 * 1024;
    peer_pair pair(options);
    // All in one turn of the loop, so that nothing is written in between.
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
    cr_assert(full == 10, "%d were refused", full);
    call_result later(pair.loop);
    later.start(*pair.client, "server", pair.address(), echo_method, "x");
    later.wait();
    cr_assert(later.ok(), "%s", later.text().c_str());
}

Test(peer_rpc, the_number_of_open_requests_is_bounded_on_each_side) {
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

Test(peer_rpc, messages_longer_than_a_frame_fail_without_harm_to_the_link) {
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

Test(peer_rpc, a_stopping_node_takes_no_new_requests_and_ends_those_begun) {
    peer_pair pair;
    call_result begun(pair.loop);
    begun.start(*pair.client, "server", pair.address(), hold_method, "");
    cr_assert(run_until(pair.loop, [&] { return !pair.held.empty(); }));
    pair.server->stop_accepting();
    call_result refused(pair.loop);
    refused.start(*pair.client, "server", pair.address(), echo_method, "");
    refused.wait();
    cr_assert(refused.details().reason == "node_stopping");
    cr_assert(refused.details().was_executed == base::executed::no);
    pair.held.back()->finish("done");
    begun.wait();
    cr_assert(begun.ok());
}

Test(peer_rpc, parts_arrive_in_order_and_before_the_reply) {
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

Test(peer_rpc, bytes_are_counted_by_call_and_by_the_distance_of_the_peer) {
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
    // Short enough that no frame is packed.
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
    const traffic_row asked = row_of(*pair.client);
    const traffic_row answered = row_of(*pair.server);
    cr_assert(!asked.is_answer && answered.is_answer);
    cr_assert(asked.distance == peer_distance::other_region);
    cr_assert(answered.distance == peer_distance::other_region);
    cr_assert(asked.frames == 1);
    cr_assert(answered.frames == 2, "a part and the answer");
    cr_assert(asked.bytes > text.size() && asked.bytes < text.size() + 50);
    cr_assert(answered.bytes > text.size() && answered.bytes < text.size() + 100);
}

Test(peer_rpc, a_destroyed_node_runs_no_callbacks_of_calls_that_it_refused) {
    peer_pair pair;
    call_result call(pair.loop);
    call.start(*pair.client, "server", pair.address(), echo_method,
               std::string(17 * 1024 * 1024, 'x'));
    pair.client.reset();
    run_for(pair.loop, milliseconds(10));
    cr_assert(!call.done());
}

Test(peer_rpc, a_destroyed_node_tells_its_own_requests_before_it_is_gone) {
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

/// Milliseconds until a call to a peer that takes the connection and says nothing fails.
std::int64_t time_to_give_up(event_loop& loop, peer_rpc& client, const endpoint& silent) {
    const base::system_clock_source clock;
    const base::instant began = clock.now();
    call_result call(loop);
    call.start(client, "silent", silent, echo_method, "x");
    call.wait();
    cr_assert(call.details().reason == "hello_timeout", "%s", call.text().c_str());
    return std::chrono::duration_cast<base::milliseconds>(clock.now() - began).count();
}

}  // namespace

Test(peer_rpc, the_first_attempts_at_a_silent_peer_are_short) {
    peer_rpc_options options = options_of("client");
    options.connect_timeout = base::milliseconds{3'000};
    options.first_connect_timeout = base::milliseconds{50};
    peer_pair peers(options);
    raw_server silent;
    // A busy machine makes each attempt longer, never shorter.
    cr_assert(time_to_give_up(peers.loop, *peers.client, silent.local_endpoint()) < 2'000);
    cr_assert(time_to_give_up(peers.loop, *peers.client, silent.local_endpoint()) >= 100);
    cr_assert(time_to_give_up(peers.loop, *peers.client, silent.local_endpoint()) >= 200);
}

Test(peer_rpc, without_a_shorter_first_attempt_all_are_alike) {
    peer_rpc_options options = options_of("client");
    options.connect_timeout = base::milliseconds{200};
    peer_pair peers(options);
    raw_server silent;
    cr_assert(time_to_give_up(peers.loop, *peers.client, silent.local_endpoint()) >= 200);
}
