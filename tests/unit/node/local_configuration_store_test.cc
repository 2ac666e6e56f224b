#include "pearbarrow/node/local_configuration_store.h"

#include <filesystem>
#include <fstream>

#include "pearbarrow/base/status.h"

#include <criterion/criterion.h>

using namespace pearbarrow;

namespace {

/// A node's parts without a node: nothing here calls the network.
struct fixture {
    net::event_loop loop;
    base::manual_clock clock;
    base::random_source random{1};
    base::metrics_registry metrics;
    settings::node_settings settings;
    std::unique_ptr<net::http_client> http = net::make_http_client(loop);
    std::unique_ptr<net::peer_rpc> rpc = net::make_peer_rpc(loop, {});
    node::node_context context{loop, clock, random, *rpc, *http, metrics, settings};
    std::string folder =
        (std::filesystem::temp_directory_path() /
         ("pearbarrow-" + base::random_source(base::random_source::system_seed()).hex_id()))
            .string();
    std::string file = folder + "/log.jsonl";

    fixture() { std::filesystem::create_directories(folder); }
    ~fixture() { std::filesystem::remove_all(folder); }

    absl::Status create(node::local_configuration_store& store, std::uint64_t version,
                        const std::string& id) {
        absl::Status result;
        store.connect([&](const config::log_event& event) {
            result = std::get<config::entry_created>(event).status;
            loop.stop();
        });
        config::create_entry action;
        action.version = base::config_version(version);
        action.content.id = id;
        action.content.base_version = base::config_version(version - 1);
        action.content.operations.emplace_back(
            config::put_object{{"agent", {}, config::program_class_spec{}}});
        store.carry_out(action);
        loop.run();
        return result;
    }

    std::vector<config::log_entry> read(node::local_configuration_store& store) {
        std::vector<config::log_entry> entries;
        store.connect([&](const config::log_event& event) {
            entries = std::get<config::log_read>(event).entries;
            loop.stop();
        });
        store.carry_out(config::read_log{1, base::config_version(0)});
        loop.run();
        return entries;
    }
};

}  // namespace

Test(local_configuration_store, keeps_accepted_changes_over_a_restart) {
    fixture parts;
    {
        node::local_configuration_store store(parts.context, parts.file);
        cr_assert(store.open().ok());
        cr_assert(parts.create(store, 1, "first").ok());
        cr_assert(parts.create(store, 2, "second").ok());
        cr_assert(absl::IsAlreadyExists(parts.create(store, 2, "rival")));
    }
    node::local_configuration_store again(parts.context, parts.file);
    cr_assert(again.open().ok());
    const auto entries = parts.read(again);
    cr_assert(entries.size() == 2);
    cr_assert(entries[1].content.id == "second");
}

Test(local_configuration_store, drops_an_unfinished_last_line) {
    fixture parts;
    {
        node::local_configuration_store store(parts.context, parts.file);
        cr_assert(store.open().ok());
        cr_assert(parts.create(store, 1, "first").ok());
    }
    std::ofstream(parts.file, std::ios::app) << "{\"id\": \"torn";
    node::local_configuration_store again(parts.context, parts.file);
    cr_assert(again.open().ok());
    cr_assert(parts.create(again, 2, "second").ok());
    node::local_configuration_store third(parts.context, parts.file);
    cr_assert(third.open().ok());
    cr_assert(parts.read(third).size() == 2);
}

Test(local_configuration_store, refuses_a_log_with_a_broken_line) {
    fixture parts;
    std::ofstream(parts.file) << "not a change\n";
    node::local_configuration_store store(parts.context, parts.file);
    const absl::Status status = store.open();
    cr_assert(base::details_of(status).reason == "config_log_corrupt");
}
