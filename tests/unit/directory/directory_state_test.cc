#include "pearbarrow/directory/directory_state.h"

#include "pearbarrow/directory/route_table.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::directory;

namespace {

route route_of(const std::string& name, const std::string& host, const std::string& prefix) {
    route result;
    result.name = name;
    result.host = host;
    result.path_prefix = prefix;
    result.services.push_back({"service", 1});
    return result;
}

}  // namespace

Test(directory_state, no_part_moves_to_older_version) {
    directory_state state;
    directory_update update;
    update.config.push_back({.version = 4});
    update.backends.push_back({.revision = 10, .backends = {}});
    cr_assert(state.apply(update).any());
    cr_assert(!state.apply(update).any());
    directory_update mixed;
    mixed.config.push_back({.version = 3});
    mixed.backends.push_back({.revision = 11, .backends = {{"1", {.id = "1"}}}});
    const auto changed = state.apply(mixed);
    cr_assert(!changed.config && changed.backends);
    const auto versions = state.versions();
    cr_assert(versions.config == 4 && versions.backends == 11 && versions.storage == 0);
}

Test(directory_state, update_contains_only_missing_parts) {
    directory_state state;
    directory_update update;
    update.config.push_back({.version = 4, .routes = {route_of("r", "h", "/")}});
    update.storage.push_back({.revision = 7, .members = {{.node = base::node_id("s")}}});
    state.apply(update);
    const auto missing = state.update_since({.config = 4});
    cr_assert(missing.config.empty() && missing.storage.size() == 1);
    const auto copy = wire::decode<directory_update>(wire::encode(state.update_since({})));
    cr_assert(copy.ok());
    cr_assert(copy->config.front().routes.front().services.front().service == "service");
    cr_assert(copy->storage.front().find(base::node_id("s")) != nullptr);
}

Test(directory_state, retirements_are_sent_like_other_parts) {
    directory_state sender;
    directory_update update;
    update.retirements.push_back({.revision = 5, .nodes = {base::node_id("store-1")}});
    cr_assert(sender.apply(update).retirements);
    directory_state receiver;
    const auto copy = wire::decode<directory_update>(wire::encode(sender.update_since({})));
    cr_assert(receiver.apply(*copy).retirements);
    cr_assert(receiver.current().retirements->nodes.front() == base::node_id("store-1"));
    update.retirements.front().revision = 6;
    cr_assert(!receiver.apply(update).any(), "the same contents at a newer revision");
    cr_assert(receiver.versions().retirements == 6);
    directory_update none;
    none.retirements.push_back({.revision = 0, .nodes = {}});
    directory_state empty_state;
    cr_assert(empty_state.apply(none).retirements,
              "an empty list is a change if no list was known");
}

Test(directory_state, emptied_zones_are_sent_and_never_become_older) {
    directory_state sender;
    directory_update update;
    update.emptied_zones.push_back({.revision = 5, .zones = {{.zone = "north", .since = 4}}});
    cr_assert(sender.apply(update).emptied_zones);
    directory_state receiver;
    const auto copy = wire::decode<directory_update>(wire::encode(sender.update_since({})));
    cr_assert(receiver.apply(*copy).emptied_zones);
    cr_assert(receiver.current().emptied_zones->zones.front().zone == "north");
    cr_assert(receiver.versions().emptied_zones == 5);

    directory_update withdrawal;
    withdrawal.emptied_zones.push_back({.revision = 6, .zones = {}});
    cr_assert(receiver.versions().is_ahead_of({}) && receiver.apply(withdrawal).emptied_zones);
    cr_assert(!receiver.apply(update).any(), "an older list never replaces a newer one");
    cr_assert(receiver.current().emptied_zones->zones.empty());
}

Test(directory_state, same_emptied_zones_at_newer_revision_are_no_change) {
    directory_state state;
    directory_update update;
    update.emptied_zones.push_back({.revision = 5, .zones = {{.zone = "north", .since = 4}}});
    state.apply(update);
    update.emptied_zones.push_back({.revision = 9, .zones = {{.zone = "north", .since = 4}}});
    update.emptied_zones.erase(update.emptied_zones.begin());
    cr_assert(!state.apply(update).any());
    cr_assert(state.versions().emptied_zones == 9);
    directory_update again;
    again.emptied_zones.push_back({.revision = 12, .zones = {{.zone = "north", .since = 11}}});
    cr_assert(state.apply(again).emptied_zones, "withdrawn and requested again in between");
}

Test(route_table, longest_prefix_of_host_wins) {
    const route_table table({route_of("short", "One.example", "/a/"),
                             route_of("long", "one.example", "/a/b/"),
                             route_of("other", "two.example", "/a/b/c/")});
    cr_assert(table.find("one.example", "/a/b/c")->name == "long");
    cr_assert(table.find("ONE.example:8080", "/a/x")->name == "short");
    cr_assert(table.find("one.example", "/b/") == nullptr);
    cr_assert(table.find("three.example", "/a/") == nullptr);
    cr_assert(table.find("one.example", "/a") == nullptr, "a prefix includes its final slash");
}

namespace {

/// A list at `revision` with one entry that was written at another revision.
directory_update entry_at(std::uint64_t revision, std::uint64_t written_at,
                          std::uint64_t started_at) {
    directory_update update;
    update.backends.push_back(
        {.revision = revision,
         .backends = {{"1", {.id = "1", .started_at = started_at, .written_at = written_at}}}});
    return update;
}

std::uint64_t known_start(const directory_state& state) {
    return state.current().backends->backends.at("1").started_at;
}

}  // namespace

// A list that is read in pages has the revision of its first page and may have newer entries.
Test(directory_state, older_entry_in_newer_list_does_not_replace_newer_one) {
    directory_state state;
    cr_assert(state.apply(entry_at(10, 12, 2'000)).backends);
    cr_assert(!state.apply(entry_at(11, 9, 1'000)).any());
    cr_assert(known_start(state) == 2'000 && state.versions().backends == 11);
    cr_assert(state.apply(entry_at(13, 13, 3'000)).backends);
    cr_assert(known_start(state) == 3'000);
}

Test(directory_state, older_entry_in_changes_of_peer_does_not_replace_newer_one) {
    directory_state peer;
    peer.apply(entry_at(10, 8, 500));
    const directory_versions known = peer.versions();
    peer.apply(entry_at(11, 9, 1'000));
    const directory_update steps = peer.update_since(known);
    cr_assert(steps.backend_steps.size() == 1);

    directory_state state;
    state.apply(entry_at(10, 12, 2'000));
    const auto copy = wire::decode<directory_update>(wire::encode(steps));
    state.apply(*copy);
    cr_assert(known_start(state) == 2'000);
}

Test(directory_state, newer_entry_with_earlier_start_wins) {
    directory_state state;
    state.apply(entry_at(10, 10, 2'000));
    cr_assert(state.apply(entry_at(11, 11, 1'000)).backends, "a clock was set back");
    cr_assert(known_start(state) == 1'000);
}

Test(directory_state, last_of_two_restarts_wins) {
    directory_state state;
    state.apply(entry_at(10, 10, 1'000));
    state.apply(entry_at(12, 12, 1'700));
    state.apply(entry_at(11, 11, 1'300));
    cr_assert(known_start(state) == 1'700);
}
