// A soak of the whole fleet under random faults; what must always hold is checked at the end of
// each request. Replay: PEARBARROW_SOAK_SEED and PEARBARROW_SOAK_SECONDS.
#include <array>
#include <cstdlib>
#include <deque>
#include <map>
#include <set>

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;
using base::milliseconds;
using emulator::metadata_store;
using emulator::runner_fault;

namespace {

constexpr std::uint64_t program_budget = 2'000;
constexpr std::uint64_t unlimited_budget = 1'000'000'000;
constexpr std::uint64_t most_tokens = 50;
constexpr std::uint64_t tokens_per_event = 10;

/// Zone of the second back end of each service. Zones are emptied, and what reaches them is
/// checked, where this differs from the first one's.
constexpr char second_zone[] = "b";
/// Longest time until a zone or a back end that may not be used gets nothing more, while the
/// outside service is well: a node rests for a second at most between two watches, and what is
/// placed is sent at once.
constexpr milliseconds shut_bound{2'000};
/// For how long a zone stays emptied and an entry unreadable.
constexpr milliseconds shut_time{3'500};

std::uint64_t number_from(const char* variable, std::uint64_t otherwise) {
    const char* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// What the events of a stream said, a line each.
std::string event_data(const std::string& body) {
    std::string data;
    net::server_sent_event_parser parser(
        [&data](const net::server_sent_event& event) { data += event.data + "\n"; });
    parser.feed(body);
    return data;
}

/// One agent program: turns one after the other, each going on from any of its earlier ones.
struct soak_program {
    std::string id;
    /// Whole turns, and what a prompt that goes on from each begins with.
    std::vector<std::pair<std::string, std::string>> turns;
    std::uint64_t tokens_handed = 0;
    std::optional<client_answer> answer;
    std::string open_turn;
    std::string open_prompt;
    bool is_open = false;
};

/// A back end that may not be used, and what it had run when the bound had passed.
struct shut_back_end {
    base::instant since;
    std::optional<std::size_t> runs;
};

struct soak_call {
    std::string id;
    std::optional<client_answer> answer;
};

class soak {
  public:
    soak(std::uint64_t seed, std::size_t storage_count, std::uint32_t groups)
        : random_(seed), fleet_(storage_count, 3, false) {
        if (groups > 1) {
            for (settings::fleet_settings& one : fleet_.storage_settings) {
                one.tolerated_losses = 0;
            }
        }
        fleet_.start_everything();
        fleet_.make_ready();
        const auto& view = fleet_.edges[0]->node.parts().directory().state().current().storage;
        cr_assert(view->groups == groups, "%u groups", view->groups);
        models_ = {fleet_.model, &fleet_.add_runner("model", "i-model-b", second_zone)};
        tools_ = {fleet_.tool, &fleet_.add_runner("tool", "i-tool-b", second_zone)};
        cr_assert(run_until(fleet_.loop, [this] { return fleet_.is_settled(); }));
        for (int index = 0; index < 6; ++index) {
            programs_.emplace_back().id = "p" + std::to_string(index);
        }
    }

    void run(std::chrono::seconds time) {
        const auto work = fleet_.loop.every(milliseconds{10}, [this] { step(); });
        const auto faults = fleet_.loop.every(milliseconds{250}, [this] { inject(); });
        const auto more = fleet_.loop.every(milliseconds{300}, [this] { inject_at_back_ends(); });
        run_for(fleet_.loop, time);
    }

    /// After the faults have ended, every turn that was answered whole can be gone on from.
    void check_all_turns() {
        heal();
        cr_assert(run_until(fleet_.loop, [this] { return all_up() && !retiring_.has_value(); }));
        for (const soak_program& program : programs_) {
            for (const auto& [turn, text] : program.turns) {
                check_turn(turn, text);
            }
        }
    }

    void tell(std::uint64_t seed) const {
        cr_log_info(
            "seed %lu: %d faults, %d retirements, %d restarts, %d foreign entries, "
            "%d emptied zones, %d checks of shut ones, %d whole turns, %d whole calls",
            seed, faults, retirements, restarts, foreign_entries, emptied_zones, shut_checks,
            whole_turns, whole_calls);
    }

    int whole_turns = 0;
    int whole_calls = 0;
    int faults = 0;
    int retirements = 0;
    int restarts = 0;
    int foreign_entries = 0;
    int emptied_zones = 0;
    int shut_checks = 0;

  private:
    void step() {
        check_shut();
        for (soak_program& program : programs_) {
            if (program.is_open) {
                take_turn(program);
            } else {
                begin_turn(program);
            }
        }
        for (auto at = calls_.begin(); at != calls_.end();) {
            if (at->answer.has_value()) {
                check_call(*at);
                at = calls_.erase(at);
            } else {
                ++at;
            }
        }
        if (calls_.size() < 4) {
            soak_call& call = calls_.emplace_back();
            call.id = "c" + std::to_string(++last_id_);
            fleet_.start_call(some_edge(), "/once/x", call.id, {{"Pearbarrow-Deadline-Ms", "1500"}},
                              "hold", call.answer);
        }
    }

    std::size_t some_edge() { return random_.below(fleet_.edges.size()); }

    void begin_turn(soak_program& program) {
        program.answer.reset();
        program.open_turn = "t" + std::to_string(++last_id_);
        std::string previous;
        program.open_prompt.clear();
        if (!program.turns.empty()) {
            const auto& [turn, text] = program.turns[random_.below(program.turns.size())];
            previous = turn;
            program.open_prompt = text;
        }
        const std::string input = "in " + program.open_turn + "\n";
        program.open_prompt += input;
        net::http_headers headers{{"Pearbarrow-Program-Id", program.id},
                                  {"Pearbarrow-Deadline-Ms", "2500"},
                                  {"Pearbarrow-Token-Budget", std::to_string(program_budget)},
                                  {"Pearbarrow-Token-Usage", "10," + std::to_string(most_tokens)}};
        if (!previous.empty()) {
            headers.add("Pearbarrow-Previous-Turn", previous);
        }
        program.is_open = true;
        fleet_.start_call(some_edge(), "/turn/x", program.open_turn, headers, input,
                          program.answer);
    }

    void take_turn(soak_program& program) {
        if (!program.answer.has_value()) {
            return;
        }
        program.is_open = false;
        const client_answer& answer = *program.answer;
        const std::string said = event_data(answer.status == 200 ? answer.body : "");
        program.tokens_handed += tokens_per_event * static_cast<std::uint64_t>(
                                                        std::count(said.begin(), said.end(), '\n'));
        cr_assert(program.tokens_handed <= program_budget + most_tokens, "%s was handed %lu tokens",
                  program.id.c_str(), program.tokens_handed);
        cr_assert(answer.status != 404, "turn %s: a turn it goes on from is lost",
                  program.open_turn.c_str());
        const auto runs = runs_of(models_, program.open_turn);
        cr_assert(runs.size() <= 1, "turn %s ran %zu times", program.open_turn.c_str(),
                  runs.size());
        if (answer.status == 503 || answer.status == 402) {
            cr_assert(runs.empty(), "turn %s was refused and has run", program.open_turn.c_str());
        }
        for (const std::string& body : runs) {
            cr_assert(body == program.open_prompt, "turn %s: another prompt than was said",
                      program.open_turn.c_str());
        }
        if (answer.status == 200 && answer.whole) {
            ++whole_turns;
            program.turns.emplace_back(program.open_turn, program.open_prompt + said);
        }
        if (answer.status == 402) {
            // Its budget is spent: a new program takes its place.
            program.id = "p" + std::to_string(++last_id_);
            program.tokens_handed = 0;
        }
    }

    void check_call(const soak_call& call) {
        const auto runs = runs_of(tools_, call.id);
        cr_assert(runs.size() <= 1, "call %s ran %zu times", call.id.c_str(), runs.size());
        if (call.answer->status == 503) {
            cr_assert(runs.empty(), "call %s was refused and has run", call.id.c_str());
        }
        whole_calls += call.answer->status == 200 && call.answer->whole ? 1 : 0;
    }

    static std::vector<std::string> runs_of(const std::vector<emulator::runner*>& runners,
                                            const std::string& id) {
        std::vector<std::string> bodies;
        for (const emulator::runner* runner : runners) {
            for (const emulator::run_record& run : runner->runs()) {
                if (run.request_id == id) {
                    bodies.push_back(run.body);
                }
            }
        }
        return bodies;
    }

    void check_turn(const std::string& turn, const std::string& text) {
        for (int attempt = 0; attempt < 20; ++attempt) {
            const std::string id = "z" + std::to_string(++last_id_);
            const auto answer = fleet_.turn(some_edge(), id, turn, "last", unlimited_budget);
            cr_assert(answer.status != 404, "turn %s is lost", turn.c_str());
            if (answer.status == 200 && answer.whole) {
                cr_assert(runs_of(models_, id).front() == text + "last", "turn %s was mixed up",
                          turn.c_str());
                return;
            }
            run_for(fleet_.loop, milliseconds{50});
        }
        cr_assert_fail("turn %s can't be gone on from", turn.c_str());
    }

    /// At most one storage member is away or catching up at a time, as far as disks are lost.
    void inject() {
        ++faults;
        switch (random_.below(9)) {
            case 0:
                restart_edge();
                return;
            case 1:
                restart_storage(false);
                return;
            case 2:
                restart_storage(true);
                return;
            case 3:
                trouble_store();
                return;
            case 4:
                end_store_trouble();
                return;
            case 5:
                some_runner().set_fault(random_.chance(0.5) ? runner_fault::lose_answer
                                                            : runner_fault::cut_stream);
                return;
            case 6:
                some_runner().set_fault(random_.chance(0.5) ? runner_fault::refuse
                                                            : runner_fault::foreign_answer);
                return;
            case 7:
                retire_storage();
                return;
            default:
                for (emulator::runner& runner : fleet_.runners) {
                    runner.set_fault(runner_fault::none);
                }
                return;
        }
    }

    void inject_at_back_ends() {
        ++faults;
        switch (random_.below(4)) {
            case 0:
                restart_runner();
                return;
            case 1:
                empty_zone();
                return;
            default:
                write_foreign_entry();
                return;
        }
    }

    /// The process starts again under its id and address; now and then its clock is set back.
    void restart_runner() {
        emulator::runner& runner = some_runner();
        const auto now = static_cast<std::uint64_t>(fleet_.clock.unix_microseconds() / 1'000);
        const std::uint64_t born = random_.chance(0.2) ? now - 60'000 : now;
        cr_assert(runner.start_again(born).ok());
        ++restarts;
        if (&runner != foreign_) {
            list(runner);
        }
    }

    std::string entry_of(const emulator::runner& runner) const {
        const bool is_model = std::find(models_.begin(), models_.end(), &runner) != models_.end();
        return runner.list_entry(is_model ? "model" : "tool");
    }

    void list(const emulator::runner& runner) {
        fleet_.store.put("servers/" + runner.id(), entry_of(runner));
    }

    /// The entry of a back end is overwritten by one that names none, until `heal_entry`.
    void write_foreign_entry() {
        if (foreign_ != nullptr) {
            return;
        }
        foreign_ = &some_runner();
        ++foreign_entries;
        auto entry = nlohmann::json::parse(entry_of(*foreign_));
        constexpr std::array needed{"service", "address", "zone", "slots", "state"};
        const char* field = needed.at(random_.below(needed.size()));
        if (random_.chance(0.7)) {
            entry.erase(field);
        } else {
            entry[field] = nlohmann::json::array();
        }
        const bool is_text = random_.chance(0.8);
        fleet_.store.put("servers/" + foreign_->id(), is_text ? entry.dump() : "\xff\xfe");
        shut(*foreign_);
        entry_timer_ = fleet_.loop.after(shut_time, [this] { heal_entry(); });
    }

    void heal_entry() {
        if (foreign_ == nullptr) {
            return;
        }
        list(*foreign_);
        if (!zone_is_emptied_ || foreign_->zone() != second_zone) {
            shut_.erase(foreign_);
        }
        foreign_ = nullptr;
    }

    void empty_zone() {
        if (std::string_view(second_zone) == fleet_.tool->zone() || zone_is_emptied_) {
            return;
        }
        zone_is_emptied_ = true;
        ++emptied_zones;
        fleet_.store.put("op/evacuate/" + std::string(second_zone), "{}");
        shut(*models_.back());
        shut(*tools_.back());
        zone_timer_ = fleet_.loop.after(shut_time, [this] { take_back_zone(); });
    }

    void take_back_zone() {
        if (zone_is_emptied_) {
            zone_is_emptied_ = false;
            fleet_.store.remove("op/evacuate/" + std::string(second_zone));
            std::erase_if(shut_, [this](const auto& item) { return item.first != foreign_; });
        }
    }

    /// Most often the outside service is well meanwhile: else nothing could be said of the bound.
    void shut(const emulator::runner& runner) {
        if (random_.chance(0.9)) {
            end_store_trouble();
        }
        shut_[&runner] = {.since = fleet_.clock.now(), .runs = std::nullopt};
    }

    /// A back end that may not be used runs nothing once the bound has passed. The bound runs only
    /// while the outside service is well: nobody hears of it else.
    void check_shut() {
        const base::instant now = fleet_.clock.now();
        for (auto& [runner, state] : shut_) {
            if (store_is_troubled_) {
                state = {.since = now, .runs = std::nullopt};
            } else if (state.runs.has_value()) {
                ++shut_checks;
                cr_assert(runner->runs().size() == *state.runs, "%s got a request it may not get",
                          runner->id().c_str());
            } else if (now - state.since > shut_bound) {
                state.runs = runner->runs().size();
            }
        }
    }

    void end_store_trouble() {
        store_is_troubled_ = false;
        fleet_.store.set_trouble(metadata_store::trouble::none);
    }

    emulator::runner& some_runner() {
        return random_.chance(0.5) ? *models_[random_.below(models_.size())]
                                   : *tools_[random_.below(tools_.size())];
    }

    void trouble_store() {
        if (!shut_.empty() && random_.chance(0.9)) {
            return;
        }
        constexpr std::array troubles{
            metadata_store::trouble::refusing, metadata_store::trouble::silent,
            metadata_store::trouble::losing_answers, metadata_store::trouble::deaf_watches};
        store_is_troubled_ = true;
        fleet_.store.set_trouble(troubles.at(random_.below(troubles.size())));
    }

    /// A member is emptied, taken away with its disk, and comes back with an empty one.
    void retire_storage() {
        if (!all_up() || retiring_.has_value()) {
            return;
        }
        retiring_ = random_.below(fleet_.storages.size());
        taken_away_ = false;
        fleet_.store.put("op/retire/storage-" + std::to_string(*retiring_), R"({"period_s":5})");
        retirement_ = fleet_.loop.every(milliseconds{20}, [this] { finish_retirement(); });
    }

    void finish_retirement() {
        if (!retiring_.has_value() || taken_away_) {
            return;
        }
        const std::string name = "storage-" + std::to_string(*retiring_);
        if (fleet_.store.value("status/retire/" + name).find("completed") == std::string::npos) {
            return;
        }
        ++retirements;
        taken_away_ = true;
        fleet_.wipe_storage(*retiring_);
        fleet_.store.remove("op/retire/" + name);
        fleet_.store.remove("status/retire/" + name);
        later([this, index = *retiring_] {
            fleet_.start_storage(index);
            retiring_.reset();
        });
    }

    void restart_edge() {
        const std::size_t index = some_edge();
        if (fleet_.edges[index] == nullptr) {
            return;
        }
        fleet_.edges[index].reset();
        later([this, index] { fleet_.start_edge(index); });
    }

    void restart_storage(bool wipe) {
        if (!all_up() || retiring_.has_value()) {
            return;
        }
        const std::size_t index = random_.below(fleet_.storages.size());
        if (wipe) {
            fleet_.wipe_storage(index);
        } else {
            fleet_.storages[index].reset();
        }
        later([this, index] { fleet_.start_storage(index); });
    }

    bool all_up() const {
        return std::all_of(fleet_.storages.begin(), fleet_.storages.end(),
                           [](const auto& storage) {
                               return storage != nullptr && storage->node.is_complete();
                           }) &&
               std::all_of(fleet_.edges.begin(), fleet_.edges.end(),
                           [](const auto& edge) { return edge != nullptr; });
    }

    void heal() {
        end_store_trouble();
        heal_entry();
        take_back_zone();
        for (emulator::runner& runner : fleet_.runners) {
            runner.set_fault(runner_fault::none);
        }
    }

    void later(std::function<void()> task) {
        const milliseconds delay{100 + static_cast<std::int64_t>(random_.below(400))};
        timers_.push_back(fleet_.loop.after(delay, std::move(task)));
    }

    base::random_source random_;
    fleet_fixture fleet_;
    std::vector<emulator::runner*> models_;
    std::vector<emulator::runner*> tools_;
    std::deque<soak_program> programs_;
    std::list<soak_call> calls_;
    std::vector<std::unique_ptr<net::timer_handle>> timers_;
    /// The member that is to be emptied, until its successor has started.
    std::optional<std::size_t> retiring_;
    bool taken_away_ = false;
    std::unique_ptr<net::timer_handle> retirement_;
    std::uint64_t last_id_ = 0;
    std::map<const emulator::runner*, shut_back_end> shut_;
    /// The back end whose entry another writer has overwritten.
    const emulator::runner* foreign_ = nullptr;
    std::unique_ptr<net::timer_handle> entry_timer_;
    std::unique_ptr<net::timer_handle> zone_timer_;
    bool zone_is_emptied_ = false;
    bool store_is_troubled_ = false;
};

}  // namespace

Test(soak, nothing_is_lost_doubled_or_overspent_under_faults, .timeout = 200) {
    const std::uint64_t seed = number_from("PEARBARROW_SOAK_SEED", 1);
    const std::uint64_t seconds = number_from("PEARBARROW_SOAK_SECONDS", 8);
    soak run(seed, 4, 1);
    run.run(std::chrono::seconds(seconds));
    run.check_all_turns();
    run.tell(seed);
    cr_assert(run.whole_turns > 0 && run.whole_calls > 0);
}

// Programs of three groups; at the end one of another group goes on from each turn.
Test(soak, nothing_is_lost_with_replica_groups, .timeout = 200) {
    const std::uint64_t seed = number_from("PEARBARROW_SOAK_SEED", 1);
    const std::uint64_t seconds = number_from("PEARBARROW_SOAK_SECONDS", 8);
    soak run(seed, 9, 3);
    run.run(std::chrono::seconds(seconds));
    run.check_all_turns();
    run.tell(seed);
    cr_assert(run.whole_turns > 0 && run.whole_calls > 0);
}
