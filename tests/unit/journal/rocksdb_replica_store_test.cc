#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>

#include "journal_fixture.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/base/status.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::journal;
using namespace pearbarrow::journal::testing;

namespace {

const auto first = ballot(1);

class folder {
  public:
    folder() : path_(std::filesystem::temp_directory_path() / ("pearbarrow-journal-" + name())) {}
    ~folder() { std::filesystem::remove_all(path_); }
    folder(const folder&) = delete;
    folder& operator=(const folder&) = delete;

    std::unique_ptr<replica_store> open(const std::string& identity, loop_poster post = {}) const {
        auto store = open_rocksdb_replica_store(
            {.folder = path_.string(), .new_identity = identity, .post = std::move(post)});
        return store.ok() ? *std::move(store) : nullptr;
    }
    const std::filesystem::path& path() const { return path_; }

  private:
    static std::string name() {
        return base::random_source(base::random_source::system_seed()).hex_id();
    }
    std::filesystem::path path_;
};

}  // namespace

Test(rocksdb_replica_store, keeps_identity_and_entries_over_a_restart) {
    const folder disk;
    auto store = disk.open("first-identity");
    cr_assert(store != nullptr);
    {
        replica_fixture one(*store);
        one.append(first, 0, {},
                   {make_entry(1, first, "a", "p1/x"), make_entry(2, first, "b"),
                    make_entry(3, first, "c", "p1/x"), make_entry(4, first, "d", "p2/x")},
                   4);
        one.snapshot(first, 3, first, "state");
    }
    store.reset();
    store = disk.open("other-identity");
    cr_assert(store != nullptr && store->identity() == "first-identity");
    replica_fixture one(*store);
    cr_assert(one.opened().ok() && one.get().corrupt_shards().empty());
    const auto promise = one.prepare(ballot(2));
    cr_assert(promise.snapshot_index.value() == 3 && promise.last_index.value() == 4);
    const std::vector<std::string> all{"a", "c", "d"};
    cr_assert(one.history(ballot(2), "") == all);
    one.append(ballot(2), 4, first, {make_entry(5, ballot(2), "", "", {"p1/"})}, 5);
    cr_assert(one.history(ballot(2), "p1/").empty());
    cr_assert(one.history(ballot(2), "p2/").size() == 1);
}

/// The same operations lead to the same contents as in the store in memory.
Test(rocksdb_replica_store, agrees_with_the_store_in_memory) {
    const folder disk;
    const auto real = disk.open("identity");
    memory_replica_store model("identity", true);
    replica_fixture one(*real);
    replica_fixture other(model);
    base::random_source random(20);
    std::uint64_t last = 0;
    std::uint64_t snapshot = 0;
    const auto both = [&](const auto& act) {
        wire::journal_reply a = act(one);
        wire::journal_reply b = act(other);
        // Pages hold different numbers of entries, so the histories took different requests.
        a.request_id = b.request_id;
        cr_assert(wire::encode(a) == wire::encode(b));
    };
    for (int round = 0; round < 300; ++round) {
        const auto key = "p" + std::to_string(random.below(5)) + "/";
        const auto kind = random.below(8);
        if (kind == 0 && last > snapshot) {
            snapshot = last;
            both([&](auto& on) { return on.snapshot(first, last, first, key); });
        } else if (kind == 1) {
            cr_assert(one.history(first, key, 200) == other.history(first, key, 200));
        } else {
            const auto entry = kind == 2 ? make_entry(last + 1, first, "drop", "", {key})
                                         : make_entry(last + 1, first, std::string(50, 'x'), key);
            both([&](auto& on) {
                return on.append(first, last, last == 0 ? base::ballot{} : first, {entry},
                                 last + 1);
            });
            ++last;
        }
    }
}

Test(rocksdb_replica_store, writes_on_its_own_thread_and_posts_the_end) {
    const folder disk;
    std::mutex mutex;
    std::condition_variable wake;
    std::vector<std::function<void()>> posted;
    const auto store = disk.open("identity", [&](std::function<void()> what) {
        const std::lock_guard lock(mutex);
        posted.push_back(std::move(what));
        wake.notify_one();
    });
    bool answered = false;
    replica one(base::node_id("r1"), *store);
    cr_assert(one.open().ok());
    one.handle(
        wire::journal_prepare_request{
            {.shard = shard, .target = one.member(shard), .epoch = 1, .ballot = first}, 1},
        [&](const auto& reply) { answered = reply.outcome == wire::journal_outcome::accepted; });
    one.flush();
    cr_assert(!answered);
    std::unique_lock lock(mutex);
    wake.wait(lock, [&] { return !posted.empty(); });
    posted.front()();
    cr_assert(answered);
}

Test(rocksdb_replica_store, refuses_to_open_damaged_files) {
    const folder disk;
    auto store = disk.open("identity");
    {
        replica_fixture one(*store);
        std::vector<wire::journal_entry> entries;
        for (std::uint64_t index = 1; index <= 50; ++index) {
            entries.push_back(make_entry(index, first, std::string(500, 'x')));
        }
        one.append(first, 0, {}, entries, 50);
        one.append(first, 50, first, {make_entry(51, first, "after")}, 51);
    }
    store.reset();
    for (const auto& file : std::filesystem::directory_iterator(disk.path())) {
        if (file.path().extension() == ".log" && file.file_size() > 1'000) {
            std::fstream bytes(file.path(), std::ios::in | std::ios::out | std::ios::binary);
            bytes.seekp(700);
            bytes.put('!');
        }
    }
    const auto opened =
        open_rocksdb_replica_store({.folder = disk.path().string(), .new_identity = "other"});
    cr_assert(!opened.ok());
    cr_assert(base::details_of(opened.status()).reason == "journal_corrupt");
}
