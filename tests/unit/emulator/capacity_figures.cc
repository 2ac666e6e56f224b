/// Prints slopes of the pure cores that docs/capacity-embedded.md multiplies by the planned size:
/// processor time of this thread (not of the wall) and bytes of heap, each beside the size it was
/// measured at. Not a test. Usage: capacity_figures
/// [rendezvous|configuration|programs|placement]...
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/config/configuration.h"
#include "pearbarrow/config/validate.h"
#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/placement/cell_scheduler.h"
#include "pearbarrow/program/records.h"
#include "pearbarrow/program/snapshot.h"
#include "pearbarrow/wire/codec.h"

namespace {

using namespace pearbarrow;

// The letter's numbers.
constexpr std::uint32_t tenants = 22'000;
constexpr std::uint32_t engines = 600;
constexpr std::uint32_t turns = 230;
constexpr std::uint32_t shards = 1'024;
constexpr std::uint32_t engines_of_cell = 16;

double processor_microseconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double heap_bytes() {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// Processor time of one call of `work`, in microseconds.
template <typename Work>
double cost(int rounds, Work work) {
    const double began = processor_microseconds();
    for (int round = 0; round < rounds; ++round) {
        work();
    }
    return (processor_microseconds() - began) / rounds;
}

std::vector<membership::member> fleet(std::uint32_t count) {
    std::vector<membership::member> members;
    for (std::uint32_t i = 0; i < count; ++i) {
        membership::member member;
        member.id = base::node_id(fmt::format("node-{:04}", i));
        member.metadata.zone = base::zone_name(fmt::format("zone-{}", i % 5));
        member.metadata.region = base::region_name("region-1");
        member.metadata.datagram = {"127.0.0.1", 4711};
        members.push_back(std::move(member));
    }
    return members;
}

void rendezvous() {
    for (const std::uint32_t count : {16U, 64U, 190U, 380U}) {
        const auto members = fleet(count);
        const base::region_name region("region-1");
        const double choice =
            cost(20,
                 [&] {
                     for (std::uint32_t shard = 0; shard < 64; ++shard) {
                         membership::preferred_owner(base::shard_id(shard), region, members);
                     }
                 }) /
            64;
        std::size_t copied = 0;
        const double copy = cost(200, [&] { copied += std::vector(members).size(); });
        fmt::print("rendezvous members={} owner_of_one_shard_us={:.2f} copy_of_members_us={:.2f}\n",
                   count, choice, copy);
    }
}

config::object tenant(std::uint32_t index) {
    config::tenant_spec spec;
    spec.api_key_sha256 = {fmt::format("{:064x}", index)};
    return {fmt::format("tenant-{:05}", index), {{"tier", "standard"}}, std::move(spec)};
}

std::vector<config::object> planned_objects() {
    std::vector<config::object> objects;
    for (std::uint32_t i = 0; i < tenants; ++i) {
        objects.push_back(tenant(i));
    }
    for (std::uint32_t i = 0; i < 40; ++i) {
        objects.push_back({fmt::format("pool-{}", i), {}, config::pool_spec{}});
    }
    for (std::uint32_t i = 0; i < engines; ++i) {
        config::engine_spec spec;
        spec.address = fmt::format("10.0.{}.{}:8000", i / 250, i % 250);
        spec.pool = base::pool_id(fmt::format("pool-{}", i % 40));
        objects.push_back({fmt::format("engine-{}", i), {}, std::move(spec)});
    }
    config::shard_map_spec map;
    for (std::uint32_t i = 0; i < shards; ++i) {
        config::shard_assignment assignment;
        assignment.shard = base::shard_id(i);
        assignment.region = base::region_name(i % 2 == 0 ? "region-1" : "region-2");
        for (int replica = 0; replica < 3; ++replica) {
            assignment.replicas.emplace_back(
                fmt::format("node-{:04}@{:032x}", (i * 3 + replica) % 380, i));
        }
        map.shards.push_back(std::move(assignment));
    }
    objects.push_back({"default", {}, std::move(map)});
    return objects;
}

void configuration() {
    const double before = heap_bytes();
    const auto current = config::configuration::make(base::config_version(1), planned_objects());
    const double held = heap_bytes() - before;
    std::string text;
    const double encode = cost(3, [&] { text = config::encode_configuration(*current); });
    const double decode = cost(3, [&] { (void)config::decode_configuration(text); });
    config::change change;
    change.id = "change";
    change.base_version = current->version();
    change.operations = {config::put_object{tenant(17)}};
    const double validate = cost(3, [&] { (void)config::validate_change(*current, change); });
    config::configuration_ptr next;
    const double apply = cost(5, [&] { next = *current->apply(change); });
    config::change map_change = change;
    map_change.operations = {
        config::put_object{*current->find(config::object_kind::shard_map, "default")}};
    fmt::print(
        "configuration objects={} heap_bytes={:.0f} snapshot_bytes={} encode_ms={:.1f} "
        "decode_ms={:.1f} validate_change_ms={:.2f} apply_change_ms={:.2f} "
        "change_of_a_tenant_bytes={} change_of_the_shard_map_bytes={}\n",
        current->size(), held, text.size(), encode / 1e3, decode / 1e3, validate / 1e3, apply / 1e3,
        config::encode_change(change).size(), config::encode_change(map_change).size());
}

program::program_record record_of(const base::program_id& id) {
    program::program_record record;
    record.program = id;
    return record;
}

/// The records of one call with `bytes` of question and of answer.
std::vector<program::program_record> call_records(const base::program_id& id, std::uint32_t number,
                                                  std::size_t bytes, const std::string& decision) {
    program::accepted_record accepted;
    accepted.number = base::call_number(number);
    accepted.body.model = wire::model_call{
        base::model_name("pearl-8b"), {{"user", std::string(bytes, 'q'), ""}}, 1'000, ""};
    program::intent_record intent;
    intent.number = accepted.number;
    intent.attempt = 1;
    intent.backend = base::backend_id("engine-123");
    intent.reserved_tokens = 1'000;
    program::result_record result;
    result.number = accepted.number;
    result.attempt = 1;
    result.output = std::string(bytes, 'a');
    result.finish_reason = "stop";
    result.backend = intent.backend;
    result.spent_tokens = 500;
    intent.decision = decision;
    std::vector<program::program_record> records(3, record_of(id));
    records[0].accepted = std::move(accepted);
    records[1].intent = std::move(intent);
    records[2].result = std::move(result);
    return records;
}

void open_program(program::program_map& map, const base::program_id& id) {
    program::program_record record = record_of(id);
    program::opened_record opened;
    opened.tenant = base::tenant_id("tenant-00017");
    opened.request.program_class = "agent";
    opened.request.token_budget = 1'000'000'000;
    record.opened = std::move(opened);
    (void)program::apply_record(map, record);
}

void programs() {
    constexpr std::size_t text = 400;
    constexpr std::uint32_t count = 200;
    program::program_map map;
    const double before = heap_bytes();
    std::uint32_t refused = 0;
    const double began = processor_microseconds();
    for (std::uint32_t i = 0; i < count; ++i) {
        const base::program_id id(fmt::format("{:032x}", i));
        open_program(map, id);
        for (std::uint32_t number = 1; number <= turns; ++number) {
            for (const auto& record : call_records(id, number, text, "")) {
                refused += program::apply_record(map, record).ok() ? 0 : 1;
            }
        }
    }
    const double applied = processor_microseconds() - began;
    const double held = heap_bytes() - before;
    std::string snapshot;
    const double encode = cost(2, [&] { snapshot = program::encode_snapshot(map); });
    const double restore = cost(2, [&] { (void)program::restore(snapshot, {}); });
    const auto records = call_records(base::program_id(std::string(32, '0')), 1, text, "");
    std::size_t bytes = 0;
    for (const auto& record : records) {
        bytes += wire::encode(record).size();
    }
    fmt::print(
        "programs count={} turns={} refused_records={} heap_bytes_a_call={:.0f} "
        "apply_us_a_call={:.2f} snapshot_bytes_a_call={:.0f} snapshot_encode_ms={:.1f} "
        "snapshot_restore_ms={:.1f} journal_bytes_a_call_beside_text={}\n",
        count, turns, refused, held / count / turns, applied / count / turns,
        static_cast<double>(snapshot.size()) / count / turns, encode / 1e3, restore / 1e3,
        bytes - 2 * text);
}

placement::cell_scheduler cell_of(std::uint32_t count) {
    placement::cell_scheduler scheduler({});
    placement::engines_changed_event event;
    event.region = base::region_name("region-1");
    for (std::uint32_t i = 0; i < count; ++i) {
        placement::cell_engine engine;
        engine.backend = base::backend_id(fmt::format("engine-{}", i));
        engine.models = {base::model_name("small")};
        event.engines.push_back(std::move(engine));
    }
    scheduler.apply(event, base::instant(base::seconds(100)));
    return scheduler;
}

void placement_of(std::uint32_t engine_count) {
    constexpr int calls = 4'000;
    auto scheduler = cell_of(engine_count);
    base::instant now(base::seconds(100));
    std::shared_ptr<const placement::decision_record> newest;
    int granted = 0;
    int number = 0;
    const double each = cost(calls, [&] {
        ++number;
        now += base::milliseconds(10);
        wire::placement_offer offer;
        offer.attempt = base::attempt_id(fmt::format("{:032x}.1.1", number));
        offer.program = base::program_id(fmt::format("{:032x}", number % 1'700));
        offer.tenant = base::tenant_id("tenant-00017");
        offer.program_class = "agent";
        offer.model = base::model_name("small");
        offer.prompt_tokens = 1'000;
        offer.max_output_tokens = 200;
        for (const auto& action : scheduler.apply(placement::offer_event{offer}, now)) {
            if (const auto* grant = std::get_if<placement::grant_action>(&action)) {
                ++granted;
                newest = grant->decision;
                wire::placement_finished finished;
                finished.attempt = grant->attempt;
                finished.program = offer.program;
                finished.backend = grant->backend;
                finished.history_tokens = 1'200;
                finished.output_tokens = 100;
                finished.service_us = 1'000'000;
                scheduler.apply(placement::finished_event{finished}, now);
            }
        }
    });
    const double verify = cost(1'000, [&] { (void)placement::verify(*newest); });
    fmt::print(
        "placement engines={} offers={} granted={} offer_grant_finish_us={:.2f} "
        "verify_us={:.2f} decision_bytes={}\n",
        engine_count, calls, granted, each, verify, placement::encode_record(*newest).size());
}

void placement_figures() {
    for (const std::uint32_t count : {4U, 8U, engines_of_cell}) {
        placement_of(count);
    }
}

}  // namespace

int main(int count, char** arguments) {
    const std::vector<std::string> chosen(arguments + 1, arguments + count);
    const auto wanted = [&](const char* name) {
        return chosen.empty() || std::find(chosen.begin(), chosen.end(), name) != chosen.end();
    };
    const std::pair<const char*, void (*)()> parts[] = {{"rendezvous", rendezvous},
                                                        {"configuration", configuration},
                                                        {"programs", programs},
                                                        {"placement", placement_figures}};
    for (const auto& [name, run] : parts) {
        if (wanted(name)) {
            run();
        }
    }
    return 0;
}
