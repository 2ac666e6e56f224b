/// journal_benchmark FOLDER [--bytes N] [--rounds N] [--threaded]: append latency and rate of one
/// replica on RocksDB with synced writes, and the time to open and recover a journal by length.
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "pearbarrow/journal/entry.h"
#include "pearbarrow/journal/leader.h"
#include "pearbarrow/journal/replica.h"

namespace {

using namespace pearbarrow;
using namespace pearbarrow::journal;
using stopwatch = std::chrono::steady_clock;

struct settings {
    std::string folder;
    std::size_t payload_bytes = 1'024;
    std::size_t rounds = 1'000;
    bool threaded = false;
};

/// The event loop's queue, as the store's thread posts to it.
class post_queue {
  public:
    void post(std::function<void()> what) {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::move(what));
        wake_.notify_one();
    }
    void run_one() {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return !queue_.empty(); });
        auto what = std::move(queue_.front());
        queue_.erase(queue_.begin());
        lock.unlock();
        what();
    }

  private:
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<std::function<void()>> queue_;
};

double milliseconds_since(stopwatch::time_point began) {
    return std::chrono::duration<double, std::milli>(stopwatch::now() - began).count();
}

std::unique_ptr<replica_store> open_store(const std::string& folder, loop_poster post = {}) {
    auto store = open_rocksdb_replica_store(
        {.folder = folder, .new_identity = "benchmark", .post = std::move(post)});
    if (!store.ok()) {
        std::fprintf(stderr, "%s\n", std::string(store.status().message()).c_str());
        std::exit(1);
    }
    return *std::move(store);
}

wire::journal_append_request make_append(const replica& target, base::shard_id shard,
                                         std::uint64_t index, std::size_t bytes) {
    const base::ballot ballot{1, base::node_id("owner")};
    wire::journal_entry entry;
    entry.index = base::log_index(index);
    entry.ballot = ballot;
    entry.payload.assign(bytes, 'x');
    entry.checksum = entry_checksum(shard, entry);
    wire::journal_append_request request;
    request.header = {.shard = shard, .target = target.member(shard), .epoch = 1, .ballot = ballot};
    request.previous_index = base::log_index(index - 1);
    request.previous_ballot = index == 1 ? base::ballot{} : ballot;
    request.entries.push_back(std::move(entry));
    return request;
}

/// `batch` shards append one entry each; all share one synced write.
void measure_appends(const settings& chosen, std::size_t batch) {
    const auto folder = chosen.folder + "/appends-" + std::to_string(batch);
    post_queue queue;
    const auto store = open_store(
        folder, chosen.threaded ? loop_poster([&queue](auto what) { queue.post(std::move(what)); })
                                : loop_poster());
    replica target(base::node_id("r1"), *store);
    if (!target.open().ok()) {
        std::exit(1);
    }
    std::vector<double> latencies;
    const auto began = stopwatch::now();
    for (std::uint64_t index = 1; index <= chosen.rounds; ++index) {
        std::size_t answered = 0;
        const auto sent = stopwatch::now();
        for (std::size_t shard = 0; shard < batch; ++shard) {
            const base::shard_id id(static_cast<std::uint32_t>(shard));
            target.handle(make_append(target, id, index, chosen.payload_bytes),
                          [&](const auto& reply) {
                              answered += reply.outcome == wire::journal_outcome::accepted ? 1 : 0;
                              latencies.push_back(milliseconds_since(sent));
                          });
        }
        target.flush();
        while (answered < batch) {
            queue.run_one();
        }
    }
    const double seconds = milliseconds_since(began) / 1'000;
    std::sort(latencies.begin(), latencies.end());
    std::printf("batch %3zu: median %.3f ms, p99 %.3f ms, %.0f appends/s\n", batch,
                latencies[latencies.size() / 2], latencies[latencies.size() * 99 / 100],
                static_cast<double>(latencies.size()) / seconds);
}

void fill(const settings& chosen, const std::string& folder, std::uint64_t length) {
    const auto store = open_store(folder);
    replica target(base::node_id("r1"), *store);
    if (!target.open().ok()) {
        std::exit(1);
    }
    constexpr std::uint64_t entries_in_a_write = 1'000;
    for (std::uint64_t index = 1; index <= length; ++index) {
        target.handle(make_append(target, base::shard_id(0), index, chosen.payload_bytes),
                      [](const auto&) {});
        if (index % entries_in_a_write == 0) {
            target.flush();
        }
    }
    target.flush();
}

/// Opens the store again and lets a new leader take over.
void measure_recovery(const settings& chosen, std::uint64_t length) {
    const auto folder = chosen.folder + "/recovery-" + std::to_string(length);
    fill(chosen, folder, length);
    const auto began = stopwatch::now();
    const auto store = open_store(folder);
    replica target(base::node_id("r1"), *store);
    if (!target.open().ok()) {
        std::exit(1);
    }
    const double opened = milliseconds_since(began);
    leader_core leader(base::shard_id(0), base::node_id("next"));
    std::size_t records = 0;
    std::vector<leader_action> actions;
    const auto feed = [&](const leader_event& event) {
        for (auto& action : leader.apply(event, base::instant(base::seconds(1)))) {
            actions.push_back(std::move(action));
        }
    };
    const auto campaigned = stopwatch::now();
    wire::journal_replica_set set{1, {target.member(base::shard_id(0))}};
    // The first ballot is the writer's; the second one wins.
    feed(campaign{set, 5});
    while (!leader.is_leading()) {
        if (actions.empty()) {
            feed(campaign{set, 6});
        }
        for (auto& action : std::exchange(actions, {})) {
            if (const auto* sent = std::get_if<send_request>(&action)) {
                target.handle(sent->request,
                              [&](const auto& reply) { feed(replica_replied{reply}); });
                target.flush();
            }
        }
    }
    for (const auto& action : actions) {
        if (const auto* done = std::get_if<recovered>(&action)) {
            records = done->records.size();
        }
    }
    std::printf(
        "journal of %6llu entries: store and replica open %.1f ms, take-over %.1f ms, "
        "%zu records\n",
        static_cast<unsigned long long>(length), opened, milliseconds_since(campaigned), records);
}

}  // namespace

int main(int argc, char** argv) {
    settings chosen;
    for (int at = 1; at < argc; ++at) {
        const std::string word = argv[at];
        if (word == "--threaded") {
            chosen.threaded = true;
        } else if (word == "--bytes" && at + 1 < argc) {
            chosen.payload_bytes = std::strtoull(argv[++at], nullptr, 10);
        } else if (word == "--rounds" && at + 1 < argc) {
            chosen.rounds = std::strtoull(argv[++at], nullptr, 10);
        } else {
            chosen.folder = word;
        }
    }
    if (chosen.folder.empty() || std::filesystem::exists(chosen.folder)) {
        std::fprintf(stderr,
                     "usage: journal_benchmark NEW-FOLDER [--bytes N] [--rounds N] "
                     "[--threaded]\n");
        return 2;
    }
    std::printf("payload %zu bytes, %zu rounds, %s\n", chosen.payload_bytes, chosen.rounds,
                chosen.threaded ? "store's own thread" : "inline writes");
    for (const std::size_t batch : {1, 2, 4, 8, 16, 32, 64}) {
        measure_appends(chosen, batch);
    }
    for (const std::uint64_t length : {1'000, 10'000, 100'000}) {
        measure_recovery(chosen, length);
    }
    std::filesystem::remove_all(chosen.folder);
    return 0;
}
