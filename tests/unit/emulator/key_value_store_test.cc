#include "pearbarrow/emulator/key_value_store.h"

#include "pearbarrow/emulator/key_value_json.h"
#include "pearbarrow/emulator/machine_list.h"
#include "pearbarrow/emulator/rate_limiter.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

namespace {

constexpr base::instant start{};

store_error put(key_value_store& store, const std::string& key, const std::string& value,
                std::int64_t lease = 0) {
    store_response response;
    return store.apply(put_request{.key = key, .value = value, .lease = lease}, response);
}

transaction_request create_if_absent(const std::string& key, const std::string& value) {
    return {.compare = {{.target = compare_target::create_revision, .key = key}},
            .success = {put_request{.key = key, .value = value}},
            .failure = {range_request{.keys = {key, {}}}}};
}

std::vector<key_value> read(const key_value_store& store, const std::string& key,
                            const std::string& end = {}) {
    return store.range({.keys = {key, end}}).values;
}

}  // namespace

Test(key_value_store, revisions_and_versions_follow_etcd) {
    key_value_store store;
    cr_assert_eq(store.revision(), 1);
    put(store, "a", "1");
    put(store, "b", "1");
    put(store, "a", "2");
    const auto value = read(store, "a").at(0);
    cr_assert_eq(value.create_revision, 2);
    cr_assert_eq(value.mod_revision, 4);
    cr_assert_eq(value.version, 2);
    store_response response;
    store.apply(delete_request{.keys = {"a", {}}}, response);
    cr_assert_eq(store.revision(), 5);
    put(store, "a", "3");
    cr_assert_eq(read(store, "a").at(0).version, 1, "a deleted key starts again");
    store.apply(delete_request{.keys = {"zz", {}}}, response);
    cr_assert_eq(store.revision(), 6, "deleting nothing changes nothing");
}

Test(key_value_store, ranges_limit_and_count) {
    key_value_store store;
    for (const char* key : {"p/1", "p/2", "p/3", "q/1"}) {
        put(store, key, "x");
    }
    cr_assert_eq(read(store, "p/", "p0").size(), 3);
    cr_assert_eq(read(store, "p/2", std::string("\0", 1)).size(), 3, "to the end of all keys");
    const auto limited = store.range({.keys = {"p/", "p0"}, .limit = 2});
    cr_assert_eq(limited.values.size(), 2);
    cr_assert_eq(limited.count, 3);
    cr_assert(limited.more);
    cr_assert(store.range({.keys = {"p/", "p0"}, .count_only = true}).values.empty());
}

Test(key_value_store, only_the_first_creates) {
    key_value_store store;
    transaction_response first;
    transaction_response second;
    store.transact(create_if_absent("log/1", "mine"), first);
    store.transact(create_if_absent("log/1", "yours"), second);
    cr_assert(first.succeeded);
    cr_assert_not(second.succeeded);
    const auto& found = std::get<range_response>(second.responses.at(0));
    cr_assert_str_eq(found.values.at(0).value.c_str(), "mine");
}

Test(key_value_store, compares_every_target) {
    key_value_store store;
    put(store, "a", "m");
    put(store, "a", "n");
    const std::vector<std::pair<comparison, bool>> cases{
        {{compare_target::version, compare_result::equal, "a", {}, 2}, true},
        {{compare_target::version, compare_result::equal, "absent", {}, 0}, true},
        {{compare_target::mod_revision, compare_result::less, "a", {}, 4}, true},
        {{compare_target::mod_revision, compare_result::greater, "a", {}, 3}, false},
        {{compare_target::create_revision, compare_result::not_equal, "a", {}, 0}, true},
        {{compare_target::value, compare_result::equal, "a", "n", 0}, true},
        {{compare_target::value, compare_result::greater, "a", "m", 0}, true},
        {{compare_target::value, compare_result::not_equal, "absent", "x", 0}, false}};
    for (const auto& [item, expected] : cases) {
        transaction_response response;
        store.transact({.compare = {item}}, response);
        cr_assert_eq(response.succeeded, expected);
    }
}

Test(key_value_store, a_transaction_is_all_or_nothing) {
    key_value_store store;
    transaction_response response;
    const transaction_request twice{
        .success = {put_request{.key = "a", .value = "1"}, put_request{.key = "a", .value = "2"}}};
    cr_assert(store.transact(twice, response) == store_error::duplicate_key);
    const transaction_request without_lease{
        .success = {put_request{.key = "a", .value = "1"},
                    put_request{.key = "b", .value = "1", .lease = 99}}};
    cr_assert(store.transact(without_lease, response) == store_error::lease_not_found);
    cr_assert(read(store, "a").empty());
    cr_assert_eq(store.revision(), 1);
}

Test(key_value_store, one_transaction_is_one_revision) {
    key_value_store store;
    transaction_response response;
    store.transact({.success = {put_request{.key = "a"}, put_request{.key = "b"}}}, response);
    cr_assert_eq(store.revision(), 2);
    cr_assert_eq(store.events({"a", "c"}, 2).size(), 2);
}

Test(key_value_store, a_lapsed_lease_takes_its_keys_along) {
    key_value_store store;
    std::int64_t id = 0;
    cr_assert(store.grant_lease(base::seconds(10), id, start) == store_error::none);
    cr_assert_neq(id, 0);
    put(store, "a", "1", id);
    cr_assert(store.keep_alive(id, start + base::seconds(8)) == base::seconds(10));
    store.advance(start + base::seconds(17));
    cr_assert_eq(read(store, "a").size(), 1);
    store.advance(start + base::seconds(18));
    cr_assert(read(store, "a").empty());
    cr_assert_not(store.keep_alive(id, start + base::seconds(18)).has_value());
    const auto events = store.events({"a", {}}, 1);
    cr_assert(events.back().deleted);
}

Test(key_value_store, a_key_put_again_without_the_lease_stays) {
    key_value_store store;
    std::int64_t id = 0;
    store.grant_lease(base::seconds(10), id, start);
    put(store, "a", "1", id);
    put(store, "a", "2");
    cr_assert(store.revoke_lease(id) == store_error::none);
    cr_assert_eq(read(store, "a").size(), 1);
    cr_assert(store.revoke_lease(id) == store_error::lease_not_found);
}

Test(key_value_store, old_events_are_compacted) {
    key_value_store store(3);
    for (int index = 0; index < 5; ++index) {
        put(store, "a", std::to_string(index));
    }
    cr_assert_eq(store.oldest_revision(), 4);
    cr_assert_eq(store.events({"a", {}}, 4).size(), 3);
}

Test(key_value_json, base64_goes_both_ways) {
    std::string bytes;
    for (int value = 0; value < 256; ++value) {
        bytes += static_cast<char>(value);
        cr_assert(base64_decode(base64_encode(bytes)) == bytes);
    }
    cr_assert_str_eq(base64_encode("foo").c_str(), "Zm9v");
    cr_assert_throw(base64_decode("Zm9"), std::invalid_argument);
    cr_assert_throw(base64_decode("Zm9!"), std::invalid_argument);
}

Test(key_value_json, parses_a_transaction_and_refuses_unknown_words) {
    const auto json = nlohmann::json::parse(
        R"({"compare":[{"key":"Zm9v","target":"MOD","result":"LESS","mod_revision":"7"}],
            "success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"5"}}],
            "failure":[{"request_delete_range":{"key":"Zm9v"}}]})");
    const auto request = parse_transaction(json);
    cr_assert(request.compare.at(0).target == compare_target::mod_revision);
    cr_assert(request.compare.at(0).result == compare_result::less);
    cr_assert_eq(request.compare.at(0).number, 7);
    cr_assert_eq(std::get<put_request>(request.success.at(0)).lease, 5);
    cr_assert(std::holds_alternative<delete_request>(request.failure.at(0)));
    auto unknown = json;
    unknown["compare"][0]["target"] = "COLOUR";
    cr_assert_throw(parse_transaction(unknown), std::invalid_argument);
}

Test(rate_limiter, passes_a_burst_then_the_rate) {
    rate_limiter limiter(10, 3);
    const base::instant now = start + base::seconds(100);
    for (int index = 0; index < 3; ++index) {
        cr_assert_eq(limiter.take(now).count(), 0);
    }
    cr_assert_eq(limiter.take(now).count(), 100'000);
    cr_assert_eq(limiter.take(now + base::milliseconds(100)).count(), 0);
    cr_assert_gt(limiter.take(now + base::milliseconds(100)).count(), 0);
    rate_limiter none(0, 1);
    for (int index = 0; index < 100; ++index) {
        cr_assert_eq(none.take(now).count(), 0);
    }
}

Test(machine_list, changes_are_seen_late) {
    machine_list list(base::seconds(2));
    list.seed({.node = "n1"});
    list.put({.node = "n1", .state = "leaving"}, start);
    list.remove("n1", start + base::seconds(1));
    cr_assert_str_eq(list.read(start + base::seconds(1)).at(0).state.c_str(), "live");
    cr_assert_str_eq(list.read(start + base::seconds(2)).at(0).state.c_str(), "leaving");
    cr_assert(list.read(start + base::seconds(3)).empty());
}
