#include "pearbarrow/directory/backend_index.h"

#include <algorithm>
#include <chrono>
#include <map>

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

Test(backend_index, one_that_is_a_little_behind_is_told_only_the_changes) {
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

Test(backend_index, a_list_that_this_node_never_held_is_answered_with_all) {
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
Test(backend_index, one_revision_with_two_contents_is_answered_with_all) {
    directory_state teller;
    teller.apply(update_of(list_of(10, {"1", "2", "3"})));
    teller.apply(update_of(list_of(14, {"1", "2", "3", "4"})));
    directory_state receiver;
    receiver.apply(update_of(list_of(10, {"1", "2"})));
    tell(teller, receiver);
    cr_assert(receiver.current().backends->backends.size() == 4);
}

Test(backend_index, changes_that_do_not_follow_the_list_do_nothing) {
    directory_state state;
    state.apply(update_of(list_of(10, {"1"})));
    directory_update update;
    update.backend_steps.push_back({.after = 9, .revision = 12, .present = {}, .gone = {"1"}});
    cr_assert(!state.apply(update).any());
    cr_assert(state.current().backends->backends.size() == 1 && state.versions().backends == 10);
    // The same revision, but not the same contents.
    update.backend_steps.front() = {
        .after = 10, .revision = 12, .present = {}, .gone = {"1"}, .digest_before = 7};
    cr_assert(!state.apply(update).any());
    update.backend_steps.front().digest_before = state.versions().backends_digest;
    cr_assert(state.apply(update).backends);
    cr_assert(state.current().backends->backends.empty() && state.versions().backends == 12);
}

Test(backend_index, the_same_back_ends_at_a_newer_revision_are_no_change) {
    directory_state state;
    cr_assert(state.apply(update_of(list_of(10, {"1"}))).backends);
    const auto again = state.apply(update_of(list_of(11, {"1"})));
    cr_assert(!again.any());
    cr_assert(state.versions().backends == 11, "who knows an older revision must not undo it");
    cr_assert(!state.apply(update_of(list_of(10, {"1", "2"}))).any());
    cr_assert(state.current().backends->backends.size() == 1);
}

// Many nodes that tell each other in any order, each reading the outside service now and then.
Test(backend_index, nodes_that_tell_each_other_agree_with_the_service) {
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

namespace {

backend written(const std::string& id, std::uint64_t revision) {
    backend one = backend_of(id);
    one.written_at = revision;
    return one;
}

/// An outside service: what it lists, and what has happened after each revision.
struct listed_service {
    explicit listed_service(std::size_t size) {
        for (std::size_t index = 0; index < size; ++index) {
            this->put("b" + std::to_string(index));
        }
    }

    void put(const std::string& id) {
        ++this->list.revision;
        this->list.backends[id] = written(id, this->list.revision);
        this->ends.erase(id);
    }
    void remove(const std::string& id) {
        ++this->list.revision;
        this->list.backends.erase(id);
        this->ends[id] = this->list.revision;
    }
    /// One of `ids` changes: comes, goes, or is written anew.
    void change(base::random_source& random, std::size_t ids) {
        const std::string id = "b" + std::to_string(random.below(ids));
        if (this->list.backends.count(id) > 0 && random.below(2) == 0) {
            this->remove(id);
        } else {
            this->put(id);
        }
    }
    directory_update events_after(std::uint64_t after) const {
        directory_update update;
        update.events = backend_events{
            .after = after, .revision = this->list.revision, .present = {}, .gone = {}};
        for (const auto& [id, one] : this->list.backends) {
            if (one.written_at > after) {
                update.events->present.push_back(one);
            }
        }
        for (const auto& [id, revision] : this->ends) {
            if (revision > after) {
                update.events->gone.push_back({.id = id, .revision = revision});
            }
        }
        return update;
    }
    directory_update reading() const {
        directory_update update;
        update.reading.emplace();
        update.reading->revision = this->list.revision;
        for (const auto& [id, one] : this->list.backends) {
            update.reading->ids.insert(id);
            update.reading->changed.push_back(one);
        }
        return update;
    }

    backend_list list;
    std::map<std::string, std::uint64_t> ends;
};

/// What `teller` tells a receiver that fetches parts, which then has all that the teller has; gives
/// the back ends that were sent.
std::size_t meet(const directory_state& teller, directory_state& receiver) {
    directory_update told = teller.update_for({.known = receiver.versions(), .takes_parts = true});
    std::size_t sent = 0;
    for (const backend_changes& step : told.backend_steps) {
        sent += step.present.size();
    }
    for (const backend_list& list : told.backends) {
        sent += list.backends.size();
    }
    const std::vector<backend_digests> digests = told.digests;
    receiver.apply(std::move(told));
    if (!digests.empty()) {
        const auto differing = receiver.index().differing(digests.front());
        directory_update parts;
        parts.parts = teller.index().parts_of(*teller.current().backends, differing, SIZE_MAX);
        sent += parts.parts->present.size();
        receiver.apply(std::move(parts));
    }
    return sent;
}

}  // namespace

Test(backend_index, two_nodes_with_different_histories_are_level_after_a_few_parts) {
    listed_service service(2'000);
    directory_state left;
    directory_state right;
    left.apply(service.reading());
    right.apply(service.reading());
    base::random_source random(3);
    for (int change = 0; change < 6; ++change) {
        const std::uint64_t after = service.list.revision;
        service.change(random, 2'000);
        // Each of them has read at revisions that the other one never saw.
        (change % 2 == 0 ? left : right).apply(service.events_after(after - (change > 0 ? 1 : 0)));
    }
    left.apply(service.reading());
    const std::size_t sent = meet(left, right);
    cr_assert(right.current().backends->backends == service.list.backends);
    cr_assert(right.versions() == left.versions());
    cr_assert(sent <= 100, "%zu of 2,000 back ends were sent", sent);
}

Test(backend_index, a_node_without_a_list_is_told_all_of_it_in_pieces) {
    listed_service service(1'000);
    directory_state teller;
    teller.apply(service.reading());
    const backend_digests digests = teller.index().digests(*teller.current().backends);
    directory_state receiver;
    std::vector<std::uint32_t> lacking = receiver.index().differing(digests);
    backend_parts all{.revision = digests.revision, .parts = {}, .present = {}};
    int pieces = 0;
    while (!lacking.empty()) {
        const backend_parts piece =
            teller.index().parts_of(*teller.current().backends, lacking, 100);
        cr_assert(piece.present.size() <= 100);
        for (const std::uint32_t part : piece.parts) {
            std::erase(lacking, part);
            all.parts.push_back(part);
        }
        all.present.insert(all.present.end(), piece.present.begin(), piece.present.end());
        ++pieces;
    }
    cr_assert(pieces >= 10);
    directory_update update;
    update.parts = all;
    cr_assert(receiver.apply(update).backends);
    cr_assert(receiver.versions() == teller.versions());
    cr_assert(receiver.current().backends->backends == service.list.backends);
}

// Nodes that follow the service by events, by readings, or only by each other; what is told comes
// twice, late or never. None goes back, and each that claims the newest revision holds its list.
Test(backend_index, stepped_lists_agree_with_whole_ones_whatever_is_lost_or_doubled) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        base::random_source random(seed);
        listed_service service(90);
        std::vector<directory_state> nodes(6);
        std::vector<directory_update> late;
        nodes[0].apply(service.reading());
        for (int round = 0; round < 300; ++round) {
            service.change(random, 120);
            directory_state& one = nodes[random.below(nodes.size())];
            const std::uint64_t before = one.versions().backends;
            const std::uint64_t what = random.below(8);
            if (what == 0) {
                one.apply(service.reading());
            } else if (what <= 2 && before > 0) {
                one.apply(service.events_after(before));
            } else if (what == 3 && before > 0) {
                late.push_back(service.events_after(before));
            } else if (what == 4 && !late.empty()) {
                one.apply(late[random.below(late.size())]);
            } else {
                const directory_state& other = nodes[random.below(nodes.size())];
                if (&other != &one && other.versions().is_ahead_of(one.versions())) {
                    meet(other, one);
                }
            }
            cr_assert(one.versions().backends >= before, "seed %lu", seed);
            for (const directory_state& node : nodes) {
                cr_assert(node.versions().backends != service.list.revision ||
                              node.current().backends->backends == service.list.backends,
                          "seed %lu, round %d", seed, round);
            }
        }
    }
}

// What a step costs is what has changed, at two sizes of the list.
Test(backend_index, a_step_costs_what_has_changed) {
    const auto time_of_steps = [](std::size_t size) {
        listed_service service(size);
        directory_state state;
        state.apply(service.reading());
        auto shortest = std::chrono::nanoseconds::max();
        for (int trial = 0; trial < 5; ++trial) {
            std::chrono::nanoseconds spent{0};
            for (int step = 0; step < 50; ++step) {
                const std::uint64_t after = service.list.revision;
                service.put("b" + std::to_string(step * 7 % size));
                directory_update update;
                update.events = backend_events{
                    .after = after,
                    .revision = service.list.revision,
                    .present = {service.list.backends.at("b" + std::to_string(step * 7 % size))},
                    .gone = {}};
                const auto began = std::chrono::steady_clock::now();
                state.apply(std::move(update));
                spent += std::chrono::steady_clock::now() - began;
            }
            shortest = std::min(shortest, spent);
        }
        return static_cast<double>(shortest.count());
    };
    const double small = time_of_steps(1'000);
    const double large = time_of_steps(20'000);
    cr_assert(large < 4 * small, "%.0f ns for 1,000 entries, %.0f ns for 20,000", small, large);
}
