#include "pearbarrow/directory/directory_state.h"

#include "pearbarrow/directory/route_table.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::directory;

namespace {

route route_of(const std::string& name, const std::string& host, const std::string& prefix) {
    route one;
    one.name = name;
    one.host = host;
    one.path_prefix = prefix;
    one.services.push_back({"service", 1});
    return one;
}

}  // namespace

Test(directory_state, each_part_moves_forward_only) {
    directory_state state;
    directory_update update;
    update.config.push_back({.version = 4});
    update.backends.push_back({.revision = 10, .backends = {}});
    cr_assert(state.apply(update).any());
    cr_assert(!state.apply(update).any());
    directory_update mixed;
    mixed.config.push_back({.version = 3});
    mixed.backends.push_back({.revision = 11, .backends = {}});
    const auto changed = state.apply(mixed);
    cr_assert(!changed.config && changed.backends);
    cr_assert(state.versions() == (directory_versions{.config = 4, .backends = 11, .storage = 0}));
}

Test(directory_state, an_update_holds_only_what_is_lacking) {
    directory_state state;
    directory_update update;
    update.config.push_back({.version = 4, .routes = {route_of("r", "h", "/")}});
    update.storage.push_back({.revision = 7, .members = {{.node = base::node_id("s")}}});
    state.apply(update);
    const auto missing = state.newer_than({.config = 4});
    cr_assert(missing.config.empty() && missing.storage.size() == 1);
    const auto copy = wire::decode<directory_update>(wire::encode(state.newer_than({})));
    cr_assert(copy.ok());
    cr_assert(copy->config.front().routes.front().services.front().service == "service");
    cr_assert(copy->storage.front().find(base::node_id("s")) != nullptr);
}

Test(route_table, the_longest_prefix_of_the_host_wins) {
    const route_table table({route_of("short", "One.example", "/a/"),
                             route_of("long", "one.example", "/a/b/"),
                             route_of("other", "two.example", "/a/b/c/")});
    cr_assert(table.find("one.example", "/a/b/c")->name == "long");
    cr_assert(table.find("ONE.example:8080", "/a/x")->name == "short");
    cr_assert(table.find("one.example", "/b/") == nullptr);
    cr_assert(table.find("three.example", "/a/") == nullptr);
    cr_assert(table.find("one.example", "/a") == nullptr, "a prefix ends with its slash");
}
