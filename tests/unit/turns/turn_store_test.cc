#include "pearbarrow/turns/turn_store.h"

#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "../net/net_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using net::testing::run_until;

namespace {

/// A folder that is deleted after the test.
struct temporary_folder {
    temporary_folder() {
        std::string pattern = std::filesystem::temp_directory_path() / "turn-store-XXXXXX";
        path = ::mkdtemp(pattern.data());
    }
    ~temporary_folder() { std::filesystem::remove_all(path); }
    std::string path;
};

struct opened_store {
    explicit opened_store(const std::string& folder, bool complete = true) {
        turn_store_options options;
        options.folder = folder + "/turns";
        options.new_disk = disk_id("disk-1");
        options.new_disk_is_complete = complete;
        options.clock = &clock;
        options.post = [this](std::function<void()> task) { loop.post(std::move(task)); };
        options.on_synced = [this](const synced_batch& batch) { batches.push_back(batch); };
        auto opened = open_rocksdb_turn_store(options);
        cr_assert(opened.ok(), "%s", opened.status().ToString().c_str());
        store = *std::move(opened);
    }

    absl::Status write(store_change change) {
        std::optional<absl::Status> result;
        store->write(std::move(change), [&](const absl::Status& status) { result = status; });
        cr_assert(run_until(loop, [&] { return result.has_value(); }));
        return *result;
    }

    base::system_clock_source clock;
    net::event_loop loop;
    std::vector<synced_batch> batches;
    std::unique_ptr<turn_store> store;
};

store_change turn_change(const std::string& turn, const std::string& output) {
    store_change change;
    change.turns.push_back({change_number(1), 5, {.turn = turn_id(turn), .output = output}});
    return change;
}

}  // namespace

Test(turn_store, keeps_turns_reservations_and_identity) {
    const temporary_folder folder;
    {
        opened_store opened(folder.path);
        cr_assert(opened.store->load()->disk == disk_id("disk-1"));
        store_change change = turn_change("t1", "out");
        change.reservations.push_back(
            {change_number(2), 5, {base::program_id("p"), turn_id("t1"), 7, true}});
        change.directory = "routes";
        change.positions = {{base::node_id("other"), disk_id("disk-2"), change_number(9)}};
        change.last_number = change_number(12);
        cr_assert(opened.write(change).ok());
    }
    opened_store again(folder.path, false);
    const auto contents = again.store->load();
    cr_assert(contents.ok());
    cr_assert(contents->complete, "completeness belongs to the disk, not to the start");
    cr_assert(contents->turns.size() == 1);
    cr_assert(contents->turns.front().record.output.empty());
    cr_assert(contents->reservations.size() == 1);
    cr_assert(contents->reservations.front().value.tokens == 7);
    cr_assert(again.store->read_directory() == "routes");
    cr_assert(contents->positions.size() == 1);
    cr_assert(contents->positions.front().taken == change_number(9));
    cr_assert(contents->last_number == change_number(12));
    cr_assert(again.store->read(turn_id("t1"))->output == "out");
    cr_assert(again.store->read(turn_id("t2")).status().code() == absl::StatusCode::kNotFound);
}

Test(turn_store, keeps_suspects_until_they_are_removed) {
    const temporary_folder folder;
    {
        opened_store opened(folder.path);
        store_change change;
        change.suspects = {{.digest = "first", .value = "1"}, {.digest = "second", .value = "2"}};
        cr_assert(opened.write(change).ok());
        change.suspects = {{.digest = "first", .value = {}}};
        cr_assert(opened.write(change).ok());
    }
    opened_store again(folder.path, false);
    const std::vector<suspect_entry> stored = again.store->read_suspects();
    cr_assert(stored.size() == 1);
    cr_assert(stored.front().digest == "second" && stored.front().value == "2");
}

Test(turn_store, synced_batches_are_reported_with_their_time) {
    const temporary_folder folder;
    opened_store opened(folder.path);
    const base::instant started_at = opened.clock.now();
    cr_assert(opened.write(turn_change("t1", "out")).ok());
    cr_assert(opened.batches.size() == 1);
    cr_assert(opened.batches.front().changes == 1);
    cr_assert(opened.batches.front().took > base::microseconds{0});
    cr_assert(opened.batches.front().took <= opened.clock.now() - started_at);
}

Test(turn_store, load_reads_turns_without_texts) {
    const temporary_folder folder;
    {
        opened_store opened(folder.path);
        cr_assert(opened.store->load().ok());
        store_change change;
        change.turns.push_back({change_number(7),
                                11,
                                {.turn = turn_id("t2"),
                                 .program = base::program_id("p"),
                                 .previous = turn_id("t1"),
                                 .input = std::string(5'000, 'i'),
                                 .output = std::string(70'000, 'o'),
                                 .retention_seconds = 2.5}});
        cr_assert(opened.write(std::move(change)).ok());
    }
    opened_store again(folder.path, false);
    const auto contents = again.store->load();
    cr_assert(contents.ok() && contents->turns.size() == 1);
    const stored_turn& read = contents->turns.front();
    cr_assert(read.number == change_number(7) && read.stored_at == 11);
    cr_assert(read.record.turn == turn_id("t2") && read.record.previous == turn_id("t1"));
    cr_assert(read.record.program == base::program_id("p"));
    cr_assert(read.record.retention_seconds == 2.5);
    cr_assert(read.record.input.empty() && read.record.output.empty());
    cr_assert(again.store->read(turn_id("t2"))->input.size() == 5'000);
}

Test(turn_store, full_disk_fails_writes_until_space_is_free) {
    const temporary_folder folder;
    opened_store opened(folder.path);
    cr_assert(opened.write(turn_change("t1", "out")).ok());
    std::signal(SIGXFSZ, SIG_IGN);
    // Limits the file size, so that writes fail as on a full disk.
    const rlimit full{4'096, RLIM_INFINITY};
    cr_assert(::setrlimit(RLIMIT_FSIZE, &full) == 0);
    cr_assert(!opened.write(turn_change("t2", std::string(20'000, 'x'))).ok());
    cr_assert(!opened.write(turn_change("t3", std::string(20'000, 'y'))).ok());
    const rlimit roomy{RLIM_INFINITY, RLIM_INFINITY};
    cr_assert(::setrlimit(RLIMIT_FSIZE, &roomy) == 0);
    bool written = false;
    for (int attempt = 0; attempt < 500 && !written; ++attempt) {
        written = opened.write(turn_change("t4", "z")).ok();
        net::testing::run_for(opened.loop, base::milliseconds{10});
    }
    cr_assert(written);
    cr_assert(opened.store->read(turn_id("t1"))->output == "out");
    cr_assert(opened.store->read(turn_id("t4"))->output == "z");
}

Test(turn_store, group_survives_restart) {
    const temporary_folder folder;
    {
        opened_store first(folder.path);
        cr_assert(!first.store->load()->group.has_value());
        store_change change;
        change.group = 3;
        cr_assert(first.write(std::move(change)).ok());
    }
    opened_store again(folder.path);
    cr_assert(again.store->load()->group == 3U);
}

Test(turn_store, store_emptied_for_another_group_gets_new_disk_id) {
    const temporary_folder folder;
    {
        opened_store first(folder.path);
        cr_assert(first.store->load().ok());
        store_change change = turn_change("t1", "said");
        change.reservations.push_back(
            {change_number(2), 5, {.program = base::program_id("p"), .turn = turn_id("t1")}});
        change.positions = std::vector<peer_position>{{base::node_id("other"), disk_id("d"), {}}};
        cr_assert(first.write(std::move(change)).ok());
        // Entries of the same change belong to the new group.
        store_change emptying = turn_change("t2", "said after");
        emptying.emptied_for = group_entry{.group = 2, .disk = disk_id("disk-2")};
        cr_assert(first.write(std::move(emptying)).ok());
        cr_assert(!first.store->read(turn_id("t1")).ok());
    }
    opened_store again(folder.path);
    const auto contents = again.store->load();
    cr_assert(contents->group == 2U && contents->disk == disk_id("disk-2"));
    cr_assert(!contents->complete);
    cr_assert(contents->turns.size() == 1 && contents->turns.front().record.turn == turn_id("t2"));
    cr_assert(contents->reservations.empty() && contents->positions.empty());
}
