#include "pearbarrow/tenants/tenant_table.h"

#include "pearbarrow/base/sha256.h"
#include "pearbarrow/tenants/caller_identity.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::tenants;

namespace {

directory::tenant tenant_with(const std::string& name, std::initializer_list<const char*> keys) {
    directory::tenant tenant;
    tenant.name = name;
    for (const char* key : keys) {
        tenant.key_digests.push_back(base::sha256(key));
    }
    return tenant;
}

directory::configuration two_tenants() {
    directory::configuration config;
    config.has_tenants = true;
    config.tenants = {tenant_with("a", {"key-of-a", "shared"}),
                      tenant_with("b", {"key-of-b", "shared"})};
    return config;
}

identity ask(const directory::configuration& config, std::size_t count, std::string_view key,
             bool is_public = false) {
    static tenant_table table;
    table = tenant_table(config);
    directory::route route;
    route.is_public = is_public;
    return identify(table, route, {.key_count = count, .key = key});
}

}  // namespace

Test(tenant_table, finds_the_holder_of_a_key) {
    const tenant_table table(two_tenants());
    cr_assert(table.is_needed());
    cr_assert(table.find("key-of-a")->name == "a" && table.find("key-of-b")->name == "b");
    for (const char* key : {"", "key-of-c", "key-of-A", "key-of-a ", "a"}) {
        cr_assert(table.find(key) == nullptr, "%s", key);
    }
}

Test(tenant_table, a_key_at_two_tenants_is_the_first_ones_and_is_told) {
    const tenant_table table(two_tenants());
    cr_assert(table.find("shared")->name == "a");
    cr_assert(table.shared_keys().size() == 1);
    cr_assert(table.shared_keys()[0].holder == "a" && table.shared_keys()[0].other == "b");
}

Test(tenant_table, a_digest_is_not_a_key) {
    const tenant_table table(two_tenants());
    cr_assert(table.find(base::sha256("key-of-a")) == nullptr);
    cr_assert(table.find(std::string(std::size_t{1024} * 1024, 'x')) == nullptr);
    cr_assert(table.find(std::string("key-of-a\0", 9)) == nullptr);
    cr_assert(table.find("\xff\xfe") == nullptr);
}

Test(tenant_table, digests_that_begin_alike_are_told_apart) {
    directory::configuration config = two_tenants();
    std::string twin = base::sha256("key-of-a");
    twin.back() = static_cast<char>(twin.back() ^ 1);
    config.tenants.push_back({.name = "c", .key_digests = {twin}});
    const tenant_table table(config);
    cr_assert(table.find("key-of-a")->name == "a");
    cr_assert(table.find_by_digest(twin)->name == "c");
}

Test(caller_identity, without_tenants_every_request_is_nobodys) {
    const identity caller = ask({}, 1, "anything");
    cr_assert(caller.verdict == identity_verdict::accepted && caller.tenant == nullptr);
}

Test(caller_identity, a_key_says_whose_request_it_is) {
    const identity caller = ask(two_tenants(), 1, "key-of-b");
    cr_assert(caller.verdict == identity_verdict::accepted && caller.tenant->name == "b");
}

Test(caller_identity, each_bad_key_has_its_reason) {
    cr_assert(ask(two_tenants(), 0, "").verdict == identity_verdict::missing_key);
    cr_assert(ask(two_tenants(), 1, "").verdict == identity_verdict::missing_key);
    cr_assert(ask(two_tenants(), 1, "key-of-c").verdict == identity_verdict::unknown_key);
    cr_assert(ask(two_tenants(), 2, "key-of-a").verdict == identity_verdict::several_keys);
}

Test(caller_identity, tenants_of_which_none_has_a_key_let_nobody_in) {
    directory::configuration config;
    config.has_tenants = true;
    cr_assert(ask(config, 1, "key-of-a").verdict == identity_verdict::unknown_key);
    config.tenants.push_back(tenant_with("a", {}));
    cr_assert(ask(config, 1, "key-of-a").verdict == identity_verdict::unknown_key);
}

Test(caller_identity, a_public_route_needs_no_key_and_takes_one) {
    const identity nobody = ask(two_tenants(), 0, "", true);
    cr_assert(nobody.verdict == identity_verdict::accepted && nobody.tenant == nullptr);
    const identity unknown = ask(two_tenants(), 1, "key-of-c", true);
    cr_assert(unknown.verdict == identity_verdict::accepted && unknown.tenant == nullptr);
    cr_assert(ask(two_tenants(), 1, "key-of-a", true).tenant->name == "a");
}

Test(caller_identity, ids_of_two_tenants_never_meet) {
    cr_assert(scoped_id("", "t") == "t" && scoped_id("a", "").empty());
    cr_assert(scoped_id("a", "t") != scoped_id("b", "t"));
    cr_assert(scoped_id("a", "b/t") != scoped_id("a/b", "t"));
    cr_assert(scoped_id("a", "t") != "t");
}

Test(tenant_table, finds_a_tenant_by_its_name) {
    const tenant_table table(two_tenants());
    cr_assert(table.find_by_name("b")->name == "b");
    cr_assert(table.find_by_name("c") == nullptr && table.find_by_name("") == nullptr);
}
