// The platform stand-in over real HTTP.
#include <string>

#include "pearbarrow/emulator/platform_server.h"
#include "served_stand_in.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

Test(platform_over_http, a_lost_answer_took_effect) {
    process in;
    stand_in<platform_server> platform(in, platform_options{});
    platform.set_faults(R"({"faults":[{"kind":"lose_answer","path":"/v3/kv/put","count":1}]})");
    const auto address = platform.address();
    const std::string put = R"({"key":"Zm9v","value":"YmFy"})";
    cr_assert_eq(in.fetch(address, "POST", "/v3/kv/put", put).status, 0);
    const auto read = in.fetch(address, "POST", "/v3/kv/range", R"({"key":"Zm9v"})");
    cr_assert_eq(nlohmann::json::parse(read.body).at("kvs").at(0).at("value"), "YmFy");
}

Test(platform_over_http, limits_its_rate) {
    process in;
    stand_in<platform_server> platform(
        in, platform_options{.key_value_rate = 0.5, .key_value_burst = 2});
    const std::string read = R"({"key":"Zm9v"})";
    cr_assert_eq(in.fetch(platform.address(), "POST", "/v3/kv/range", read).status, 200);
    cr_assert_eq(in.fetch(platform.address(), "POST", "/v3/kv/range", read).status, 200);
    const auto limited = in.fetch(platform.address(), "POST", "/v3/kv/range", read);
    cr_assert_eq(limited.status, 429);
    cr_assert_eq(limited.headers.find("Retry-After").value_or(""), "2");
}

Test(platform_over_http, a_watch_tells_the_past_and_the_present) {
    process in;
    stand_in<platform_server> platform(in, platform_options{});
    const auto address = platform.address();
    in.fetch(address, "POST", "/v3/kv/put", R"({"key":"Zm9v","value":"MQ=="})");
    std::string lines;
    const auto watch =
        in.http->start({.server = address,
                        .method = "POST",
                        .target = "/v3/watch",
                        .headers = {},
                        .body = R"({"create_request":{"key":"Zm9v","start_revision":"2"}})"},
                       {.on_head = {},
                        .on_chunk = [&](std::string_view chunk) { lines += chunk; },
                        .on_done = {}});
    in.run_until([&] { return lines.find("MQ==") != std::string::npos; });
    in.fetch(address, "POST", "/v3/kv/put", R"({"key":"YmFy","value":"OQ=="})");
    in.fetch(address, "POST", "/v3/kv/put", R"({"key":"Zm9v","value":"Mg=="})");
    in.run_until([&] { return lines.find("Mg==") != std::string::npos; });
    cr_assert_eq(lines.find("OQ=="), std::string::npos, "another key");
}
