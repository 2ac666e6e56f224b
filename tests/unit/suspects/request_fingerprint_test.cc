#include "pearbarrow/suspects/request_fingerprint.h"

#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace pearbarrow::suspects;

namespace {

constexpr request_content content{.tenant = "t",
                                  .program = "p",
                                  .session = "s",
                                  .previous_turn = "turn",
                                  .host = "shop.example",
                                  .method = "POST",
                                  .target = "/turn/x",
                                  .body = "input"};

}  // namespace

Test(request_fingerprint, same_content_has_same_fingerprint) {
    const request_fingerprint first = fingerprint_of(content);
    const request_fingerprint second = fingerprint_of(content);
    cr_assert(first.digest == second.digest && first.scope == second.scope);
    cr_assert(first.digest.size() == 32);
    cr_assert(first.scope == scope_of("t", "p"));
}

Test(request_fingerprint, each_part_changes_the_fingerprint) {
    using part = std::string_view request_content::*;
    const std::vector<part> parts{&request_content::tenant,  &request_content::program,
                                  &request_content::session, &request_content::previous_turn,
                                  &request_content::host,    &request_content::method,
                                  &request_content::target,  &request_content::body};
    std::set<std::string> digests{fingerprint_of(content).digest};
    for (const part each : parts) {
        request_content changed = content;
        changed.*each = "another";
        digests.insert(fingerprint_of(changed).digest);
    }
    cr_assert(digests.size() == parts.size() + 1);
}

Test(request_fingerprint, bytes_that_move_between_parts_change_the_fingerprint) {
    const request_content moved{.tenant = "tp", .program = "", .body = "1:x"};
    const request_content other{.tenant = "t", .program = "p", .body = "1:x"};
    cr_assert(fingerprint_of(moved).digest != fingerprint_of(other).digest);
    cr_assert(scope_of("tp", "") != scope_of("t", "p"));
}
