#include <string>
#include <vector>

#include "net_fixture.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/net/datagram.h"
#include "pearbarrow/net/server_sent_events.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

Test(endpoint, formatted_endpoint_is_parsed) {
    for (const std::string text : {"127.0.0.1:0", "10.1.2.3:65535", "[::1]:8080"}) {
        const auto parsed = parse_endpoint(text);
        cr_assert(parsed.ok(), "%s", text.c_str());
        cr_assert(to_string(*parsed) == text);
    }
}

Test(endpoint, invalid_text_is_rejected) {
    const std::vector<std::string> inputs = {
        "",         ":",          "localhost:80", "1.2.3.4",   "1.2.3.4:",    "1.2.3.4:65536",
        "1.2.3:80", "1.2.3.4:-1", "1.2.3.4:8x",   "::1:80",    "[1.2.3.4]:1", "[::1]",
        "[::1:80",  "[]:80",      "1.2.3.4:+1",   " 1.2.3.4:1"};
    for (const std::string& input : inputs) {
        const auto parsed = parse_endpoint(input);
        cr_assert(parsed.status().code() == absl::StatusCode::kInvalidArgument, "%s",
                  input.c_str());
    }
    const auto zero = parse_endpoint(std::string_view("1.2.3.4\0x:80", 12));
    cr_assert(!zero.ok());
}

Test(server_sent_events, formatted_events_are_parsed_in_pieces_of_any_size) {
    const server_sent_event event{.id = "7", .event = "delta", .data = "one\n\nthree"};
    const std::string text = ": comment\r\n" + format_event(event) + "data\r\rdata:x\r\n\r\n" +
                             "retry: 5\nunknown: y\n\n" + "data: unfinished";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        std::vector<server_sent_event> seen;
        server_sent_event_parser parser(
            [&](server_sent_event parsed) { seen.push_back(std::move(parsed)); });
        for (std::size_t at = 0; at < text.size(); at += step) {
            parser.feed(std::string_view(text).substr(at, step));
        }
        cr_assert(seen.size() == 3, "%zu events in steps of %zu", seen.size(), step);
        cr_assert(seen[0].id == "7" && seen[0].event == "delta" && seen[0].data == event.data);
        cr_assert(seen[1].data.empty());
        cr_assert(seen[2].data == "x");
    }
}

Test(server_sent_events, bytes_that_end_inside_an_event_are_recognized) {
    struct stream_state {
        std::string text;
        bool is_inside;
    };
    const std::vector<stream_state> states{{"", false},
                                           {"d", true},
                                           {"data: x", true},
                                           {"data: x\n", true},
                                           {"data: x\n\n", false},
                                           {"data: x\r\r", false},
                                           {"data: x\r", true},
                                           {"data: x\r\n", true},
                                           {"data: x\r\n\r", true},
                                           {"data: x\r\n\r\n", false},
                                           {"id: 1\n", true},
                                           {"id: 1\n\n", false},
                                           {": comment", true},
                                           {": comment\n", true},
                                           {": comment\n\n", false},
                                           {"data: x\n: comment\n", true},
                                           {"weight-version: 3\n", true},
                                           {"weight-version: 3\n\n", false},
                                           {"data: x\n\nid", true}};
    for (const stream_state& state : states) {
        for (std::size_t step = 1; step <= state.text.size() + 1; ++step) {
            server_sent_event_parser parser([](const server_sent_event&) {});
            for (std::size_t at = 0; at < state.text.size(); at += step) {
                parser.feed(std::string_view(state.text).substr(at, step));
            }
            cr_assert(parser.is_inside_event() == state.is_inside, "'%s' in steps of %zu",
                      state.text.c_str(), step);
        }
    }
}

Test(server_sent_events, event_that_is_too_long_is_dropped_up_to_its_empty_line) {
    std::vector<std::string> seen;
    server_sent_event_parser parser(
        [&](const server_sent_event& event) { seen.push_back(event.data); });
    parser.feed("data: " + std::string(max_event_bytes, 'x'));
    parser.feed("y\ndata: rest\n");
    cr_assert(parser.is_inside_event());
    parser.feed("\ndata: next\n\n");
    cr_assert(!parser.is_inside_event());
    cr_assert(parser.overflowed());
    cr_assert(seen == std::vector<std::string>{"next"});
}

Test(server_sent_events, endless_event_is_dropped) {
    int seen = 0;
    server_sent_event_parser parser([&](const server_sent_event&) { ++seen; });
    const std::string part(1024 * 1024, 'x');
    for (int index = 0; index < 20; ++index) {
        parser.feed(part);
    }
    cr_assert(parser.overflowed());
    cr_assert(seen == 0);
}

Test(datagram, payload_arrives_and_oversized_one_is_dropped) {
    event_loop loop;
    std::vector<std::string> seen;
    endpoint sender;
    const auto receiver =
        make_datagram_socket(loop, loopback, [&](const endpoint& from, std::string_view payload) {
            sender = from;
            seen.emplace_back(payload);
        });
    const auto other =
        make_datagram_socket(loop, loopback, [](const endpoint&, std::string_view) {});
    cr_assert(receiver->start().ok());
    cr_assert(other->start().ok());
    other->send(receiver->local_endpoint(), std::string(max_datagram_bytes + 1, 'x'));
    other->send({"not an address", 1}, "lost");
    other->send({"127.0.0.1", 1}, "nobody there");
    other->send(receiver->local_endpoint(), std::string(max_datagram_bytes, 'y'));
    other->send(receiver->local_endpoint(), "second");
    cr_assert(run_until(loop, [&] { return seen.size() == 2; }));
    cr_assert(seen[0].size() == max_datagram_bytes);
    cr_assert(seen[1] == "second");
    cr_assert(sender == other->local_endpoint());
    cr_assert(receiver->bytes_received() == max_datagram_bytes + 6);
}

Test(datagram, address_in_use_is_reported) {
    event_loop loop;
    const auto handler = [](const endpoint&, std::string_view) {};
    const auto first = make_datagram_socket(loop, loopback, handler);
    cr_assert(first->start().ok());
    const auto second = make_datagram_socket(loop, first->local_endpoint(), handler);
    const auto status = second->start();
    cr_assert(base::details_of(status).reason == "bind_failed");
    cr_assert(base::details_of(status).peer == to_string(first->local_endpoint()));
}

Test(event_loop, destroyed_timer_does_not_run) {
    event_loop loop;
    bool ran = false;
    auto dropped = loop.after(milliseconds(1), [&] { ran = true; });
    dropped.reset();
    int repeats = 0;
    std::unique_ptr<timer_handle> repeating;
    repeating = loop.every(milliseconds(1), [&] {
        if (++repeats == 3) {
            repeating.reset();  // from inside its own task
        }
    });
    run_for(loop, milliseconds(30));
    cr_assert(!ran);
    cr_assert(repeats == 3);
}
