#include "pearbarrow/directory/backend_history.h"

#include "pearbarrow/base/random.h"
#include "pearbarrow/directory/directory_state.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::directory;

namespace {

backend backend_of(const std::string& id, bool draining = false) {
    return {.id = id,
            .service = "service",
            .address = {"127.0.0.1", 80},
            .zone = "a",
            .slots = 4,
            .draining = draining};
}

backend_list list_of(std::uint64_t revision, const std::vector<std::string>& ids) {
    backend_list list{.revision = revision, .backends = {}};
    for (const std::string& id : ids) {
        list.backends[id] = backend_of(id);
    }
    return list;
}

directory_update update_of(backend_list list) {
    directory_update update;
    update.backends.push_back(std::move(list));
    return update;
}

/// Tells `receiver` what it lacks; gives the bytes that this took.
std::size_t tell(const directory_state& teller, directory_state& receiver) {
    const std::string bytes = wire::encode(teller.newer_than(receiver.versions()));
    receiver.apply(*wire::decode<directory_update>(bytes));
    return bytes.size();
}

}  // namespace

Test(backend_history, one_that_is_a_little_behind_is_told_only_the_changes) {
    std::vector<std::string> ids;
    for (int index = 0; index < 150; ++index) {
        ids.push_back("backend-" + std::to_string(index));
    }
    directory_state teller;
    directory_state receiver;
    teller.apply(update_of(list_of(10, ids)));
    const std::size_t whole = tell(teller, receiver);
    ids.back() = "backend-new";
    teller.apply(update_of(list_of(12, ids)));
    const std::size_t step = tell(teller, receiver);
    cr_assert(receiver.current().backends->backends == teller.current().backends->backends);
    cr_assert(receiver.versions() == teller.versions());
    cr_assert(step * 20 < whole, "%zu bytes of %zu", step, whole);
}

Test(backend_history, a_list_that_this_node_never_held_is_answered_with_all) {
    directory_state teller;
    teller.apply(update_of(list_of(10, {"1", "2"})));
    teller.apply(update_of(list_of(14, {"1"})));
    // Held at a revision in between, with a back end that came and went meanwhile.
    directory_state receiver;
    receiver.apply(update_of(list_of(12, {"1", "2", "3"})));
    tell(teller, receiver);
    cr_assert(receiver.current().backends->backends.size() == 1);
}

// A list read in several parts has some entries that are newer than its revision.
Test(backend_history, one_revision_with_two_contents_is_answered_with_all) {
    directory_state teller;
    teller.apply(update_of(list_of(10, {"1", "2", "3"})));
    teller.apply(update_of(list_of(14, {"1", "2", "3", "4"})));
    directory_state receiver;
    receiver.apply(update_of(list_of(10, {"1", "2"})));
    tell(teller, receiver);
    cr_assert(receiver.current().backends->backends.size() == 4);
}

Test(backend_history, changes_that_do_not_follow_the_list_do_nothing) {
    backend_list list = list_of(10, {"1"});
    cr_assert(
        !backend_history::apply({.after = 9, .revision = 12, .present = {}, .gone = {"1"}}, list));
    cr_assert(list.backends.size() == 1 && list.revision == 10);
}

Test(backend_history, the_same_back_ends_at_a_newer_revision_are_no_change) {
    directory_state state;
    cr_assert(state.apply(update_of(list_of(10, {"1"}))).backends);
    const auto again = state.apply(update_of(list_of(11, {"1"})));
    cr_assert(!again.any());
    cr_assert(state.versions().backends == 11, "who knows an older revision must not undo it");
    cr_assert(!state.apply(update_of(list_of(10, {"1", "2"}))).any());
    cr_assert(state.current().backends->backends.size() == 1);
}

// Many nodes that tell each other in any order, each reading the outside service now and then.
Test(backend_history, nodes_that_tell_each_other_agree_with_the_service) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        base::random_source random(seed);
        backend_list service = list_of(1, {"0", "1", "2"});
        std::vector<directory_state> nodes(8);
        nodes[0].apply(update_of(service));
        for (int round = 0; round < 400; ++round) {
            if (random.below(3) == 0) {
                const std::string id = std::to_string(random.below(12));
                ++service.revision;
                if (service.backends.erase(id) == 0) {
                    service.backends[id] = backend_of(id, random.below(2) == 0);
                }
            }
            if (random.below(4) == 0) {
                nodes[random.below(nodes.size())].apply(update_of(service));
            }
            const std::uint64_t teller = random.below(nodes.size());
            const std::uint64_t receiver = random.below(nodes.size());
            const auto before = nodes[receiver].versions().backends;
            if (teller != receiver) {
                tell(nodes[teller], nodes[receiver]);
            }
            cr_assert(nodes[receiver].versions().backends >= before, "seed %lu", seed);
            if (nodes[receiver].versions().backends == service.revision) {
                cr_assert(nodes[receiver].current().backends->backends == service.backends,
                          "seed %lu, round %d", seed, round);
            }
        }
    }
}
