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

identity identify_caller(const directory::configuration& config, std::size_t count,
                         std::string_view key, bool is_public = false) {
    static tenant_table table;
    table = tenant_table(config);
    directory::route route;
    route.is_public = is_public;
    return identify(table, route, {.key_count = count, .key = key});
}

}  // namespace

Test(tenant_table, finds_the_holder_of_a_key) {
    const tenant_table table(two_tenants());
    cr_assert(table.requires_keys());
    cr_assert(table.find("key-of-a")->name == "a" && table.find("key-of-b")->name == "b");
    for (const char* key : {"", "key-of-c", "key-of-A", "key-of-a ", "a"}) {
        cr_assert(table.find(key) == nullptr, "%s", key);
    }
}

Test(tenant_table, key_of_two_tenants_belongs_to_the_first_and_is_reported) {
    const tenant_table table(two_tenants());
    cr_assert(table.find("shared")->name == "a");
    cr_assert(table.duplicate_keys().size() == 1);
    cr_assert(table.duplicate_keys()[0].owner == "a" && table.duplicate_keys()[0].other == "b");
}

Test(tenant_table, digest_is_not_accepted_as_key) {
    const tenant_table table(two_tenants());
    cr_assert(table.find(base::sha256("key-of-a")) == nullptr);
    cr_assert(table.find(std::string(std::size_t{1024} * 1024, 'x')) == nullptr);
    cr_assert(table.find(std::string("key-of-a\0", 9)) == nullptr);
    cr_assert(table.find("\xff\xfe") == nullptr);
}

Test(tenant_table, digests_with_equal_prefix_are_distinguished) {
    directory::configuration config = two_tenants();
    std::string similar_digest = base::sha256("key-of-a");
    similar_digest.back() = static_cast<char>(similar_digest.back() ^ 1);
    config.tenants.push_back({.name = "c", .key_digests = {similar_digest}});
    const tenant_table table(config);
    cr_assert(table.find("key-of-a")->name == "a");
    cr_assert(table.find_by_digest(similar_digest)->name == "c");
}

Test(caller_identity, without_tenants_requests_are_accepted_without_tenant) {
    const identity caller = identify_caller({}, 1, "anything");
    cr_assert(caller.verdict == identity_verdict::accepted && caller.tenant == nullptr);
}

Test(caller_identity, key_identifies_the_tenant) {
    const identity caller = identify_caller(two_tenants(), 1, "key-of-b");
    cr_assert(caller.verdict == identity_verdict::accepted && caller.tenant->name == "b");
}

Test(caller_identity, each_invalid_key_has_its_verdict) {
    cr_assert(identify_caller(two_tenants(), 0, "").verdict == identity_verdict::missing_key);
    cr_assert(identify_caller(two_tenants(), 1, "").verdict == identity_verdict::missing_key);
    cr_assert(identify_caller(two_tenants(), 1, "key-of-c").verdict ==
              identity_verdict::unknown_key);
    cr_assert(identify_caller(two_tenants(), 2, "key-of-a").verdict ==
              identity_verdict::several_keys);
}

Test(caller_identity, no_key_is_accepted_if_no_tenant_has_one) {
    directory::configuration config;
    config.has_tenants = true;
    cr_assert(identify_caller(config, 1, "key-of-a").verdict == identity_verdict::unknown_key);
    config.tenants.push_back(tenant_with("a", {}));
    cr_assert(identify_caller(config, 1, "key-of-a").verdict == identity_verdict::unknown_key);
}

Test(caller_identity, key_is_optional_on_a_public_route) {
    const identity anonymous = identify_caller(two_tenants(), 0, "", true);
    cr_assert(anonymous.verdict == identity_verdict::accepted && anonymous.tenant == nullptr);
    const identity unknown = identify_caller(two_tenants(), 1, "key-of-c", true);
    cr_assert(unknown.verdict == identity_verdict::accepted && unknown.tenant == nullptr);
    cr_assert(identify_caller(two_tenants(), 1, "key-of-a", true).tenant->name == "a");
}

Test(caller_identity, ids_of_two_tenants_are_distinct) {
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
