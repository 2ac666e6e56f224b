#include "pearbarrow/turns/turn_index.h"

#include <malloc.h>

#include <cstdlib>

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using base::seconds;

namespace {

stored_turn turn_of(turn_index& index, const std::string& turn, const std::string& previous) {
    return {index.next_number(),
            0,
            {.turn = turn_id(turn), .previous = turn_id(previous), .retention_seconds = 60}};
}

stored_reservation reservation_of(turn_index& index, const std::string& turn, std::uint64_t tokens,
                                  bool settled) {
    return {index.next_number(), 0, {base::program_id("p"), turn_id(turn), tokens, settled}};
}

}  // namespace

Test(turn_index, chain_is_returned_oldest_first_or_not_at_all) {
    turn_index index({});
    const base::instant now{};
    index.add(turn_of(index, "a", ""), now);
    index.add(turn_of(index, "b", "a"), now);
    index.add(turn_of(index, "c", "missing"), now);
    cr_assert(*index.chain(turn_id("b")) == (std::vector<turn_id>{turn_id("a"), turn_id("b")}));
    cr_assert(!index.chain(turn_id("c")).has_value());
    cr_assert(!index.chain(turn_id("d")).has_value());
}

Test(turn_index, cyclic_chain_is_not_returned) {
    turn_index index({});
    index.add(turn_of(index, "a", "b"), {});
    index.add(turn_of(index, "b", "a"), {});
    cr_assert(!index.chain(turn_id("a")).has_value());
}

Test(turn_index, settled_reservation_stays_settled) {
    turn_index index({});
    index.add(reservation_of(index, "a", 50, false), {});
    index.add(reservation_of(index, "a", 30, true), {});
    index.add(reservation_of(index, "a", 50, false), {});
    const auto held = index.reservations(base::program_id("p"));
    cr_assert(held.size() == 1 && held.front().tokens == 30 && held.front().settled);
    cr_assert(!index.adds_information(held.front()));
}

Test(turn_index, ages_of_reservations_with_the_same_content_are_returned) {
    turn_index index({});
    const auto add = [&index](const std::string& turn, std::uint64_t content, base::instant now) {
        stored_reservation entry = reservation_of(index, turn, 50, false);
        entry.value.content = content;
        index.add(entry, now);
        return entry.value;
    };
    add("a", 7, base::instant{});
    add("b", 8, base::instant{});
    add("unknown", 0, base::instant{});
    const reservation wanted = add("c", 7, base::instant{} + seconds{2});
    const auto ages = index.ages(wanted, base::instant{} + seconds{3});
    cr_assert(ages.size() == 1 && ages.front().turn == turn_id("a"));
    cr_assert(ages.front().milliseconds == 3'000);
}

Test(turn_index, listing_continues_where_the_last_one_ended) {
    turn_index index({});
    index.add(turn_of(index, "a", ""), {});
    index.add(reservation_of(index, "a", 50, false), {});
    index.add(turn_of(index, "b", ""), {});
    const auto first = index.list(change_number(), 2);
    cr_assert(first.more && first.turns.size() == 1 && first.reservations.size() == 1);
    const auto rest = index.list(first.through, 2);
    cr_assert(!rest.more && rest.turns == std::vector<turn_id>{turn_id("b")});
    cr_assert(rest.through == index.last_listed());
    // Settling a reservation is a separate change.
    index.add(reservation_of(index, "a", 10, true), {});
    cr_assert(index.list(rest.through, 2).reservations.size() == 1);
}

Test(turn_index, turns_and_programs_expire) {
    turn_index index({});
    index.add(turn_of(index, "a", ""), {});
    index.add(reservation_of(index, "a", 50, false), {});
    cr_assert(index.expire(base::instant{} + seconds{60}).dropped_turns.empty());
    cr_assert(index.expire(base::instant{} + seconds{76}).dropped_turns.size() == 1);
    cr_assert(index.expire(base::instant{} + seconds{601}).dropped_reservations.size() == 1);
    cr_assert(index.list({}, 10).turns.empty() && index.list({}, 10).reservations.empty());
}

Test(turn_index, clock_jump_shortens_retention_by_half_at_most) {
    store_contents contents;
    contents.turns.push_back(
        {change_number(1), 0, {.turn = turn_id("a"), .retention_seconds = 60}});
    turn_index index({});
    index.load(contents, {}, std::int64_t{3'600} * 1'000'000);
    cr_assert(index.expire(base::instant{} + seconds{30}).dropped_turns.empty());
}

// Other members request the changes after the largest number that they have seen.
Test(turn_index, number_of_dropped_change_is_not_reused) {
    turn_index index({.reservation_retention = seconds{10}});
    const base::instant now{};
    index.add(reservation_of(index, "a", 10, false), now);
    const store_change dropped = index.expire(now + seconds{20});
    cr_assert(dropped.dropped_reservations.size() == 1);
    turn_index again({});
    again.load({.disk = disk_id("disk"), .last_number = *dropped.last_number}, now, 0);
    cr_assert(again.next_number() == change_number(2));
}

Test(turn_index, reservations_are_kept_for_configured_time) {
    turn_index index({});
    index.set_reservation_retention(seconds{75});
    index.add(reservation_of(index, "a", 50, false), {});
    index.add(reservation_of(index, "b", 50, false), base::instant{seconds{70}});
    index.expire(base::instant{seconds{144}});
    cr_assert(index.reservations(base::program_id("p")).size() == 2, "the program went on");
    index.expire(base::instant{seconds{146}});
    cr_assert(index.program_count() == 0);
}

namespace {

/// Stores turns with 16-digit ids, four per program, each reserved, stored and settled. The rate of
/// 500 turns per second is the share of one member at the planned 3,000 per second over six groups.
class busy_member {
  public:
    void run_until(seconds end) {
        for (; this->at < end; ++this->at) {
            const base::instant now{this->at};
            for (int turn = 0; turn < 500; ++turn) {
                this->add_turn(now);
            }
            if (this->at.count() % 5 == 0) {
                this->index.expire(now);
            }
        }
    }
    const turn_index& kept() const { return this->index; }
    turn_index index{{}};

  private:
    void add_turn(base::instant now) {
        char name[17];
        std::snprintf(name, sizeof(name), "%016llx", static_cast<unsigned long long>(++this->last));
        const turn_id turn{std::string(name)};
        std::snprintf(name, sizeof(name), "%014llx",
                      static_cast<unsigned long long>(this->last / 4));
        const base::program_id program{std::string(name)};
        this->index.add(
            stored_reservation{this->index.next_number(), 0, {program, turn, 288, false}}, now);
        this->index.add(stored_turn{this->index.next_number(),
                                    0,
                                    {.turn = turn, .program = program, .retention_seconds = 60}},
                        now);
        this->index.add(stored_reservation{this->index.next_number(), 0, {program, turn, 36, true}},
                        now);
    }

    seconds at{0};
    std::uint64_t last = 0;
};

double megabytes_in_use() {
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

}  // namespace

// The smallest members have 120 MB of memory. INDEX_SECONDS=3600 simulates an hour.
Test(turn_index, memory_is_constant_at_the_planned_rate) {
    const char* wanted = std::getenv("INDEX_SECONDS");
    const seconds length{wanted == nullptr ? 400 : std::atoi(wanted)};
    const double before = megabytes_in_use();
    busy_member member;
    member.index.set_reservation_retention(seconds{90});
    member.run_until(seconds{200});
    const double filled = megabytes_in_use() - before;
    member.run_until(length);
    const double last = megabytes_in_use() - before;
    std::printf("%.1f MB after 200 s, %.1f after %lld s: %zu turns, %zu programs\n", filled, last,
                static_cast<long long>(length.count()), member.kept().turn_count(),
                member.kept().program_count());
    cr_assert(last <= 1.05 * filled, "%.1f MB, then %.1f", filled, last);
    cr_assert(last < 60, "%.1f MB of a machine's 120", last);
}

Test(turn_index, later_choice_of_software_replaces_the_reservation) {
    turn_index index({});
    const base::instant now{};
    for (const std::uint32_t choice : {1U, 2U, 1U}) {
        stored_reservation entry = reservation_of(index, "a", 10, false);
        entry.value.software = stream_software{
            .service = "model", .version = {"v" + std::to_string(choice), true}, .choice = choice};
        index.add(entry, now);
    }
    const auto held = index.reservations(base::program_id("p"));
    cr_assert(held.size() == 1 && held.front().software->version.name == "v2");
    cr_assert(index.list({}, 10).reservations.size() == 1);
}
