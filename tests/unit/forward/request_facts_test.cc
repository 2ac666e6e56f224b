#include "pearbarrow/forward/request_facts.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;

namespace {

net::http_request request_with(net::http_headers headers) {
    return {.method = "POST", .target = "/a", .headers = std::move(headers)};
}

}  // namespace

Test(request_facts, reads_identity_time_and_program) {
    const header_names names;
    const auto facts = read_facts(request_with({{"Host", "h"},
                                                {"X-Request-Id", "r"},
                                                {"X-Request-Deadline-Ms", "250"},
                                                {"X-Program-Id", "p"},
                                                {"X-Token-Budget", "90"},
                                                {"X-Token-Usage", "10,20"},
                                                {"X-Previous-Turn", "t"}}),
                                  names);
    cr_assert(facts.ok());
    cr_assert(facts->request_id == "r" && facts->host == "h" && facts->deadline_ms == 250U);
    cr_assert(facts->turn->token_budget == 90 && facts->turn->most_tokens == 20);
    cr_assert(facts->turn->previous_turn == "t");
}

Test(request_facts, a_request_without_budget_is_no_turn) {
    const auto facts = read_facts(request_with({{"X-Program-Id", "p"}}), {});
    cr_assert(facts.ok() && !facts->turn.has_value());
}

Test(request_facts, names_the_header_that_is_wrong) {
    const auto deadline = read_facts(request_with({{"X-Request-Deadline-Ms", "-1"}}), {});
    cr_assert(deadline.status().ToString().find("X-Request-Deadline-Ms") != std::string::npos);
    const auto usage = read_facts(
        request_with({{"X-Program-Id", "p"}, {"X-Token-Budget", "9"}, {"X-Token-Usage", "9"}}), {});
    cr_assert(usage.status().ToString().find("X-Token-Usage") != std::string::npos);
}

Test(request_facts, headers_of_one_connection_are_not_passed_on) {
    const header_names names;
    const auto passed = passed_on({{"Host", "h"},
                                   {"Connection", "keep-alive, X-Mine"},
                                   {"X-Mine", "1"},
                                   {"Keep-Alive", "timeout=5"},
                                   {"Transfer-Encoding", "chunked"},
                                   {"Content-Length", "3"},
                                   {"X-Request-Deadline-Ms", "5"},
                                   {"X-Target-Backend", "smuggled"},
                                   {"X-Other", "kept"}},
                                  names);
    cr_assert(passed.all().size() == 2);
    cr_assert(passed.find("Host") == "h" && passed.find("X-Other") == "kept");
}
