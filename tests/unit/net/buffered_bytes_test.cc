#include "pearbarrow/net/buffered_bytes.h"

#include <list>

#include "http_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using net::testing::raw_client;
using net::testing::run_for;
using net::testing::run_until;
using net::testing::serve;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

class fake_owner final : public buffered_bytes::buffer_owner {
  public:
    fake_owner(buffered_bytes& ledger, std::size_t bytes, base::instant last_progress)
        : ledger(ledger), bytes(bytes), last_progress(last_progress) {
        ledger.add(buffer_kind::responses, bytes);
        ledger.add_owner(*this);
    }
    std::size_t buffered() const override { return this->bytes; }
    base::instant progressed_at() const override { return this->last_progress; }
    void cut_off() override {
        this->ledger.remove(buffer_kind::responses, std::exchange(this->bytes, 0));
        this->is_cut_off = true;
    }

    buffered_bytes& ledger;
    std::size_t bytes;
    base::instant last_progress;
    bool is_cut_off = false;
};

}  // namespace

Test(buffered_bytes, largest_stalled_owner_is_cut_off_first) {
    const base::instant now{base::seconds{100}};
    buffered_bytes ledger({.bound = 100}, [now] { return now; });
    fake_owner busy(ledger, 70, now);
    fake_owner stalled(ledger, 20, now - base::seconds{1});
    fake_owner larger_stalled(ledger, 40, now - base::seconds{1});
    ledger.enforce();
    cr_assert(larger_stalled.is_cut_off && !stalled.is_cut_off && !busy.is_cut_off);
    cr_assert(ledger.cut_off_count() == 1 && ledger.total() == 90);
    fake_owner more(ledger, 60, now);
    ledger.enforce();
    cr_assert(stalled.is_cut_off, "a stalled owner must go before a larger one with progress");
    cr_assert(busy.is_cut_off && !more.is_cut_off, "the largest owner must go next");
}

Test(buffered_bytes, large_bodies_are_rejected_before_small_ones) {
    buffered_bytes ledger({.bound = 10 * megabyte});
    cr_assert(ledger.admits(4 * megabyte));
    ledger.add(buffer_kind::responses, 6 * megabyte);
    cr_assert(!ledger.admits(kilobyte * 100) && ledger.admits(kilobyte));
    ledger.add(buffer_kind::responses, 4 * megabyte);
    cr_assert(!ledger.admits(kilobyte));
    buffered_bytes unbounded;
    unbounded.add(buffer_kind::responses, 400 * megabyte);
    cr_assert(unbounded.admits(100 * megabyte));
}

Test(buffered_bytes, share_shrinks_with_free_bytes) {
    buffered_bytes ledger({.bound = 16 * megabyte});
    cr_assert(ledger.share() == megabyte);
    ledger.add(buffer_kind::responses, 8 * megabyte);
    cr_assert(ledger.share() == megabyte / 2);
    ledger.add(buffer_kind::responses, 9 * megabyte);
    cr_assert(ledger.share() == 16 * kilobyte, "the share must not fall below the minimum");
}

// Guards against many owners that exceed the bound together although each stays within its share.
Test(buffered_bytes, shares_of_many_owners_stay_within_bound) {
    buffered_bytes ledger({.bound = 29 * megabyte});
    std::vector<std::size_t> buffered(200, 0);
    for (int round = 0; round < 2'000; ++round) {
        for (std::size_t& one : buffered) {
            if (one < ledger.share()) {
                one += 8 * kilobyte;
                ledger.add(buffer_kind::responses, 8 * kilobyte);
            }
        }
    }
    cr_assert(!ledger.is_over_bound(), "%zu bytes", ledger.total());
    cr_assert(ledger.total() > 20 * megabyte, "%zu bytes", ledger.total());
}

Test(buffered_bytes, unread_response_bytes_are_counted_until_read) {
    event_loop loop;
    const auto ledger =
        std::make_shared<buffered_bytes>(buffered_bytes_options{.bound = 64 * megabyte});
    http_server_options options;
    options.buffered = ledger;
    const auto server = serve(
        loop,
        [](const std::shared_ptr<http_exchange>& exchange) {
            exchange->respond(
                {.status = 200, .headers = {}, .body = std::string(8 * megabyte, 'x')});
        },
        options);
    raw_client client(server->local_endpoint(), 4'096);
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(run_until(loop, [&] { return ledger->of(buffer_kind::responses) > megabyte; }));
    cr_assert(run_until(loop, [&] {
        client.receive();
        return ledger->of(buffer_kind::responses) == 0;
    }));
    cr_assert(client.received.size() > 8 * megabyte);
    cr_assert(ledger->total() == 0);
}

// Guards against clients that read nothing and use up the memory of the node. They are disconnected
// one after another, and other clients are unaffected.
Test(buffered_bytes, clients_that_read_nothing_are_cut_off_at_bound) {
    event_loop loop;
    const auto ledger = std::make_shared<buffered_bytes>(
        buffered_bytes_options{.bound = 16 * megabyte, .stalled_after = base::milliseconds{50}});
    http_server_options options;
    options.buffered = ledger;
    std::list<std::shared_ptr<http_exchange>> exchanges;
    std::vector<std::string> reasons;
    const auto server = serve(
        loop,
        [&](const std::shared_ptr<http_exchange>& exchange) {
            if (exchange->request().target == "/small") {
                exchange->respond({.status = 200, .headers = {}, .body = "small"});
                return;
            }
            exchange->start_stream(200, {});
            exchange->on_closed([&, weak = std::weak_ptr(exchange)] {
                reasons.push_back(weak.lock()->lost_reason());
            });
            exchange->write(std::string(8 * megabyte, 'x'));
            exchanges.push_back(exchange);
        },
        options);
    std::list<raw_client> slow;
    for (int index = 0; index < 12; ++index) {
        slow.emplace_back(server->local_endpoint(), 4'096);
        slow.back().send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
        run_for(loop, base::milliseconds{20});
        cr_assert(ledger->total() <= 24 * megabyte, "at most one response may exceed the bound");
    }
    cr_assert(run_until(loop, [&] { return !ledger->is_over_bound(); }));
    cr_assert(ledger->cut_off_count() >= 6 && reasons.size() == ledger->cut_off_count(),
              "%lu cut off, %zu notified", ledger->cut_off_count(), reasons.size());
    cr_assert(reasons.front() == "memory_bound");
    raw_client quick(server->local_endpoint());
    quick.send("GET /small HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(run_until(loop, [&] { return quick.has("small"); }));
}

Test(buffered_bytes, body_over_bound_is_rejected_before_it_is_read) {
    event_loop loop;
    const auto ledger =
        std::make_shared<buffered_bytes>(buffered_bytes_options{.bound = 4 * megabyte});
    ledger->add(buffer_kind::responses, 3 * megabyte);
    http_server_options options;
    options.buffered = ledger;
    bool was_handled = false;
    const auto server = serve(
        loop,
        [&](const std::shared_ptr<http_exchange>& exchange) {
            was_handled = true;
            net::testing::echo(exchange);
        },
        options);
    raw_client client(server->local_endpoint());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\n");
    cr_assert(run_until(loop, [&] { return client.has("503"); }));
    cr_assert(client.has("Retry-After: 0.500") && !was_handled);
    raw_client small(server->local_endpoint());
    small.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody");
    cr_assert(run_until(loop, [&] { return small.has("body"); }));
    ledger->remove(buffer_kind::responses, 3 * megabyte);
    cr_assert(run_until(loop, [&] { return ledger->total() == 0; }),
              "a body must be counted until its end");
}

Test(buffered_bytes, paused_response_resumes_completely) {
    event_loop loop;
    const auto server = serve(loop, [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond({.status = 200, .headers = {}, .body = std::string(8 * megabyte, 'x')});
    });
    const auto client = make_http_client(loop);
    std::size_t received = 0;
    bool done = false;
    http_call call = net::testing::get(server->local_endpoint());
    call.idle_timeout = base::milliseconds{200};
    const auto handle =
        client->start(call, {.on_head = nullptr,
                             .on_chunk = [&](std::string_view chunk) { received += chunk.size(); },
                             .on_done =
                                 [&](const absl::Status& status) {
                                     cr_assert(status.ok(), "%s", status.ToString().c_str());
                                     done = true;
                                 }});
    cr_assert(run_until(loop, [&] { return received > 0; }));
    handle->pause();
    run_for(loop, base::milliseconds{50});
    const std::size_t before = received;
    run_for(loop, base::milliseconds{400});
    cr_assert(received == before && !done, "a paused call must neither read nor time out");
    handle->resume();
    cr_assert(run_until(loop, [&] { return done; }));
    cr_assert(received == 8 * megabyte);
}
