#include "pearbarrow/fleet/suspect_copy.h"

#include <memory>
#include <string>

#include "../net/net_fixture.h"
#include "../turns/memory_store.h"
#include "pearbarrow/base/random.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet;
using net::testing::run_until;

namespace {

const std::string digest(32, 'a');

suspects::suspect suspect_at(const std::string& backend) {
    suspects::suspect reported{.scope = 1, .digest = digest};
    reported.ends.push_back({.backend = backend, .request = "r-" + backend});
    return reported;
}

/// The suspects of one process of a member.
struct member_process {
    explicit member_process(turns::turn_store& store, suspects::suspect_options table = {})
        : rpc(net::make_peer_rpc(loop, {.self = base::node_id("member"),
                                        .cluster = "test",
                                        .listen = net::testing::loopback})) {
        cr_assert(this->rpc->start().ok());
        this->peers = std::make_unique<directory::directory_exchange>(
            this->loop, *this->rpc, this->random,
            directory::exchange_options{.self = this->rpc->local_endpoint()},
            [](const auto& /*changed*/) {});
        this->exchange = std::make_unique<suspects::suspect_exchange>(
            this->loop, *this->rpc, this->clock, *this->peers,
            suspects::suspect_exchange_options{.self = this->rpc->local_endpoint(),
                                               .table = table,
                                               .expiry_interval = base::milliseconds{20}});
        this->copy = std::make_unique<suspect_copy>(store, *this->exchange, this->clock);
        this->copy->restore();
        this->copy->follow();
    }
    suspects::suspect_status status() const {
        return this->exchange->table().status_of(digest, this->clock.now());
    }

    net::event_loop loop;
    base::system_clock_source clock;
    base::random_source random{1};
    std::unique_ptr<net::peer_rpc> rpc;
    std::unique_ptr<directory::directory_exchange> peers;
    std::unique_ptr<suspects::suspect_exchange> exchange;
    std::unique_ptr<suspect_copy> copy;
};

}  // namespace

Test(suspect_copy, member_that_starts_again_knows_the_ends) {
    turns::testing::memory_store store("disk");
    {
        const member_process first(store);
        first.exchange->add({suspect_at("b1")});
        first.exchange->add({suspect_at("b2")});
    }
    const member_process second(store);
    cr_assert(second.status().ends == 2);
}

Test(suspect_copy, excused_request_is_restored_as_excused) {
    turns::testing::memory_store store("disk");
    {
        const member_process first(store);
        first.exchange->add({suspect_at("b1")});
        first.exchange->excuse(digest);
    }
    const member_process second(store);
    cr_assert(second.status().possible_ends == 0);
}

Test(suspect_copy, report_without_news_is_not_written) {
    turns::testing::memory_store store("disk");
    const member_process member(store);
    member.exchange->add({suspect_at("b1")});
    const std::size_t writes = store.writes;
    member.exchange->add({suspect_at("b1")});
    cr_assert(store.writes == writes);
}

Test(suspect_copy, expired_suspect_is_removed_from_the_disk) {
    turns::testing::memory_store store("disk");
    member_process member(store, {.suspicion_time = base::milliseconds{50}});
    member.exchange->add({suspect_at("b1")});
    cr_assert(store.suspects.size() == 1);
    cr_assert(run_until(member.loop, [&] { return store.suspects.empty(); }));
}

Test(suspect_copy, unreadable_entry_is_left_out) {
    turns::testing::memory_store store("disk");
    store.suspects[digest] = "no suspect";
    const member_process member(store);
    cr_assert(member.exchange->table().is_empty());
}
