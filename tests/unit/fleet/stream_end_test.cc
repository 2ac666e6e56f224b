// Tests which ends of a back end's response reach the caller as the end of a whole one.
#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;

using emulator::stream_cut;
using emulator::stream_end;
using net::body_framing;

namespace {

const net::http_headers stream_headers{{"Pearbarrow-Program-Id", "program"},
                                       {"Pearbarrow-Deadline-Ms", "2500"},
                                       {"Pearbarrow-Token-Usage", "100,50"}};

struct ready_fleet : fleet_fixture {
    ready_fleet() : fleet_fixture(3, 1) { this->make_ready(); }

    client_response stream(const net::http_headers& headers = stream_headers) {
        return this->call(0, "/stream/x", "s" + std::to_string(++this->last_id), headers, "input");
    }

    int last_id = 0;
};

std::string name_of(const std::string& line_end) {
    return line_end == "\n" ? "LF" : (line_end == "\r" ? "CR" : "CRLF");
}

/// Breaks the stream off after each of its bytes.
void break_off_at_each_byte(body_framing framing, const std::string& line_end) {
    ready_fleet fleet;
    fleet.model->set_framing(framing);
    fleet.model->set_line_end(line_end);
    const std::string text = fleet.model->stream_text();
    const std::string event_end = line_end + line_end;
    for (std::size_t bytes = 1; bytes < text.size(); ++bytes) {
        fleet.model->set_cut(stream_cut{bytes, stream_end::finish});
        const auto response = fleet.stream();
        const std::string sent = text.substr(0, bytes);
        const bool is_between_events =
            sent.size() >= event_end.size() &&
            sent.compare(sent.size() - event_end.size(), event_end.size(), event_end) == 0;
        cr_assert(response.status == 200, "%d %s", response.status, response.body.c_str());
        cr_assert(response.whole == is_between_events, "%s, %s, %zu of %zu bytes: %s",
                  std::string(net::to_string(framing)).c_str(), name_of(line_end).c_str(), bytes,
                  text.size(), response.whole ? "framed as complete" : "broken off");
    }
}

}  // namespace

Test(stream_end, stream_that_ends_inside_an_event_is_not_framed_as_complete) {
    for (const std::string line_end : {"\n", "\r", "\r\n"}) {
        break_off_at_each_byte(body_framing::until_close, line_end);
    }
}

Test(stream_end, framed_stream_that_ends_inside_an_event_is_not_framed_as_complete) {
    for (const body_framing framing : {body_framing::chunks, body_framing::length}) {
        break_off_at_each_byte(framing, "\n");
    }
}

Test(stream_end, turn_that_ends_inside_an_event_is_not_stored) {
    ready_fleet fleet;
    cr_assert(fleet.turn(0, "a", "", "one").whole);
    fleet.model->set_framing(body_framing::until_close);
    const std::string text = fleet.model->stream_text();
    const std::size_t event_bytes = text.size() / 3;
    for (std::size_t bytes = 1; bytes < text.size(); bytes += 5) {
        if (bytes % event_bytes == 0) {
            continue;
        }
        const std::string number = std::to_string(bytes);
        fleet.model->set_cut(stream_cut{bytes, stream_end::finish});
        cr_assert(!fleet.turn(0, "b" + number, "a", "two").whole);
        fleet.model->set_cut(std::nullopt);
        cr_assert(fleet.turn(0, "c" + number, "b" + number, "three").status == 404);
    }
    cr_assert(fleet.turn(0, "d", "a", "two").whole);
    // The back end gets each input of the chain and the data of each event of its output.
    cr_assert(fleet.turn(0, "e", "d", "three").whole);
    const std::string output = "i-model-1\ni-model-2\ni-model-3\n";
    cr_assert(fleet.model->runs().back().body == "one" + output + "two" + output + "three", "%s",
              fleet.model->runs().back().body.c_str());
}

Test(stream_end, complete_stream_without_a_length_stays_complete) {
    for (const std::string line_end : {"\n", "\r", "\r\n"}) {
        for (const std::string first_line : {"", ": comment", "weight-version: 3"}) {
            ready_fleet fleet;
            fleet.model->set_framing(body_framing::until_close);
            fleet.model->set_line_end(line_end);
            fleet.model->set_first_line(first_line);
            for (int index = 0; index < 5; ++index) {
                const auto response = fleet.stream();
                cr_assert(response.whole && response.body == fleet.model->stream_text(), "%s",
                          response.body.c_str());
            }
            cr_assert(fleet.model->runs().size() == 5);
        }
    }
}

Test(stream_end, stream_that_ends_inside_an_event_counts_as_a_broken_attempt) {
    ready_fleet fleet;
    fleet.model->set_framing(body_framing::until_close);
    fleet.model->set_cut(stream_cut{30, stream_end::finish});
    cr_assert(!fleet.stream().whole);
    fleet.model->set_cut(std::nullopt);
    const std::string metrics = fleet.edges[0]->node.parts().metrics().text();
    cr_assert(metrics.find("pearbarrow_forward_attempts_total{result=\"broken\"} 1") !=
              std::string::npos);
    cr_assert(metrics.find("result=\"served\"") == std::string::npos);
    cr_assert(metrics.find("pearbarrow_forward_response_ends_total{connection=\"closed\","
                           "framing=\"until_close\",verdict=\"event_incomplete\"} 1") !=
                  std::string::npos,
              "%s", metrics.c_str());
}

Test(stream_end, stream_resumed_after_its_last_whole_event_is_complete) {
    ready_fleet fleet;
    fleet.model->set_framing(body_framing::until_close);
    const std::string text = fleet.model->stream_text();
    const std::size_t event_bytes = text.size() / 3;
    for (std::size_t bytes = event_bytes; bytes < 2 * event_bytes; ++bytes) {
        fleet.model->set_cut(stream_cut{bytes, stream_end::reset});
        const auto begun = fleet.stream();
        cr_assert(!begun.whole && begun.body == text.substr(0, bytes), "%s", begun.body.c_str());
        fleet.model->set_cut(std::nullopt);
        net::http_headers headers = stream_headers;
        headers.add("Resumes", "s" + std::to_string(fleet.last_id));
        headers.add("Last-Event-Id", "1");
        const auto rest = fleet.stream(headers);
        cr_assert(rest.whole);
        cr_assert(begun.body.substr(0, event_bytes) + rest.body == text);
    }
}

Test(stream_end, body_without_a_length_that_is_reset_is_never_a_success) {
    ready_fleet fleet;
    fleet.tool->set_framing(body_framing::until_close);
    cr_assert(fleet.call(0, "/plain/x", "a").body == "answer of i-tool");
    fleet.tool->set_cut(stream_cut{6, stream_end::reset});
    const auto once = fleet.call(0, "/once/x", "b");
    cr_assert(once.status == 502, "%d %s", once.status, once.body.c_str());
    // The only back end is excluded from the second attempt.
    const auto repeatable = fleet.call(0, "/plain/x", "c");
    cr_assert(repeatable.status == 503, "%d %s", repeatable.status, repeatable.body.c_str());
    auto& other = fleet.add_runner("tool", "i-other");
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled(); }));
    for (int index = 0; index < 8; ++index) {
        const auto response = fleet.call(0, "/plain/x", "d" + std::to_string(index));
        cr_assert(response.status == 200 && response.body == "answer of i-other", "%d %s",
                  response.status, response.body.c_str());
    }
    cr_assert(other.runs().size() == 8);
}

Test(stream_end, caller_without_chunks_can_tell_a_stream_that_was_broken_off) {
    ready_fleet fleet;
    for (const stream_end end : {stream_end::finish, stream_end::reset}) {
        for (const std::size_t bytes : {std::size_t{30}, fleet.model->stream_text().size()}) {
            const bool is_cut = bytes == 30;
            fleet.model->set_framing(body_framing::until_close);
            fleet.model->set_cut(is_cut ? std::optional(stream_cut{bytes, end}) : std::nullopt);
            net::testing::raw_client caller(
                pearbarrow::fleet::to_endpoint(fleet.edge_settings[0].caller));
            caller.send(
                "POST /stream/x HTTP/1.0\r\nHost: shop.example\r\nPearbarrow-Request-Id: r" +
                std::to_string(++fleet.last_id) +
                "\r\nPearbarrow-Token-Usage: 100,50\r\nContent-Length: 1\r\n\r\nx");
            cr_assert(run_until(fleet.loop, [&] { return caller.closed(); }));
            cr_assert(caller.received.find("id: 1") != std::string::npos, "%s",
                      caller.received.c_str());
            cr_assert(caller.was_reset == is_cut);
        }
    }
}
