#include "pearbarrow/platform/etcd_json.h"

#include <string>

#include <criterion/criterion.h>

namespace platform = pearbarrow::platform;
using nlohmann::json;

Test(etcd_json, base64_reads_back_every_length) {
    std::string bytes;
    for (int length = 0; length < 70; ++length) {
        const std::string text = platform::encode_base64(bytes);
        const auto read = platform::decode_base64(text);
        cr_assert(read.ok());
        cr_assert(*read == bytes);
        bytes.push_back(static_cast<char>(length * 7));
    }
    cr_assert_eq(platform::encode_base64("foob"), "Zm9vYg==");
    cr_assert_not(platform::decode_base64("Zm9").ok());
    cr_assert_not(platform::decode_base64("Z!!=").ok());
}

Test(etcd_json, transaction_has_the_gateways_form) {
    platform::transaction request;
    request.conditions = {
        {"k", platform::compare_target::create_revision, platform::compare_result::equal, 0}};
    request.puts = {{"k", "v", 0}};
    request.deletes = {{"a", "b"}};
    cr_assert_eq(platform::to_etcd(request).dump(),
                 R"({"compare":[{"create_revision":"0","key":"aw==","result":"EQUAL",)"
                 R"("target":"CREATE"}],"success":[{"request_put":{"key":"aw==","value":"dg=="}},)"
                 R"({"request_delete_range":{"key":"YQ==","range_end":"Yg=="}}]})");
}

Test(etcd_json, answers_are_read_with_zeros_left_out) {
    const auto range = platform::read_range(json::parse(
        R"({"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"dg==",
            "create_revision":"3","mod_revision":"5"}],"count":"1"})"));
    cr_assert(range.ok());
    cr_assert_eq(range->revision, 7);
    cr_assert_eq(range->items.front().value, "v");
    cr_assert_eq(range->items.front().mod_revision, 5);
    cr_assert_not(platform::read_transaction(json::parse(R"({"header":{}})"))->succeeded);
    cr_assert_not(platform::read_range(json::parse(R"({"kvs":[{"key":5}]})")).ok());
    const auto lease = platform::read_lease(json::parse(R"({"result":{"ID":"9","TTL":"12"}})"));
    cr_assert_eq(lease->id, 9);
    cr_assert_eq(lease->time_to_live.count(), 12);
}

Test(etcd_json, watch_lines_tell_events_and_ends) {
    const auto events = platform::read_watch(
        R"({"result":{"header":{"revision":"4"},"events":[{"kv":{"key":"aw==","value":"dg=="}},
            {"type":"DELETE","kv":{"key":"aw=="}}]}})");
    cr_assert(events.ok());
    cr_assert_eq(events->events.size(), 2);
    cr_assert_not(events->events[0].deleted);
    cr_assert(events->events[1].deleted);
    const auto compacted =
        platform::read_watch(R"({"result":{"canceled":true,"compact_revision":"30"}})");
    cr_assert(compacted->cancelled);
    cr_assert_eq(compacted->compact_revision, 30);
    cr_assert_not(platform::read_watch("{").ok());
}

Test(etcd_json, prefix_end_is_the_next_prefix) {
    cr_assert_eq(platform::prefix_end("ab"), "ac");
    cr_assert_eq(platform::prefix_end(std::string("a\xff")), "b");
    cr_assert_eq(platform::prefix_end(std::string("\xff")), std::string(1, '\0'));
}
