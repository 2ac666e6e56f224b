#include "pearbarrow/slowstart/cold_table.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::slowstart;
using base::milliseconds;

namespace {

constexpr milliseconds cold_time{3'000};
constexpr milliseconds long_after{20'000};

directory::backend backend_of(const std::string& id, const std::string& service = "engine") {
    return {.id = id, .service = service, .zone = "a", .slots = 6, .started_at = 1'000};
}

/// A table that has known two back ends for long, so that both are warm.
struct table_fixture {
    table_fixture() {
        directory::configuration config;
        config.services.push_back(
            {.name = "engine", .cold_start_ms = cold_time.count(), .cold_rate = 32});
        config.services.push_back({.name = "tool", .cold_start_ms = cold_time.count()});
        this->table.set_configuration(config);
        this->list.backends = {{"e", backend_of("e")}, {"t", backend_of("t", "tool")}};
        this->tell();
        this->now += long_after;
    }
    void tell() { this->table.set_backends(this->list, this->now); }
    bool is_cold_after(milliseconds wait, const std::string& id = "e") const {
        return this->table.is_cold(id, this->now + wait);
    }

    cold_table table;
    directory::backend_list list;
    base::instant now{};
};

}  // namespace

Test(cold_table, one_known_for_long_is_warm) {
    const table_fixture known;
    cr_assert(!known.is_cold_after(milliseconds{0}));
    cr_assert(!known.table.find("e", known.now).has_value());
    cr_assert(known.table.cold_count(known.now) == 0);
}

Test(cold_table, its_own_word_counts_from_when_it_was_heard) {
    table_fixture known;
    known.list.backends["e"].cold_left_ms = 2'500;
    known.tell();
    cr_assert(known.is_cold_after(milliseconds{2'499}));
    cr_assert(!known.is_cold_after(milliseconds{2'500}));
    const auto found = known.table.find("e", known.now);
    cr_assert(found.has_value() && found->rate == 32 && found->started_at == 1'000);
}

Test(cold_table, an_unchanged_entry_prolongs_nothing) {
    table_fixture known;
    known.list.backends["e"].cold_left_ms = 2'500;
    known.tell();
    known.now += milliseconds{2'000};
    known.tell();
    cr_assert(!known.is_cold_after(milliseconds{500}));
}

Test(cold_table, a_word_is_not_taken_back_by_an_older_one) {
    table_fixture known;
    known.list.backends["e"].started_at = 2'000;
    known.tell();
    known.now += milliseconds{500};
    known.list.backends["e"].cold_left_ms = 1;
    known.tell();
    known.list.backends["e"].cold_left_ms = 0;
    known.tell();
    cr_assert(known.is_cold_after(milliseconds{2'499}));
    cr_assert(!known.is_cold_after(milliseconds{2'500}));
}

Test(cold_table, a_new_start_a_new_id_and_a_return_are_cold_whatever_the_entry_says) {
    table_fixture known;
    known.list.backends["e"].started_at = 2'000;
    known.list.backends["new"] = backend_of("new");
    known.tell();
    cr_assert(known.is_cold_after(milliseconds{2'999}));
    cr_assert(known.is_cold_after(milliseconds{2'999}, "new"));
    cr_assert(known.table.cold_count(known.now) == 2);
    known.now += long_after;
    cr_assert(!known.is_cold_after(milliseconds{0}));
    known.list.backends.erase("e");
    known.tell();
    known.now += milliseconds{100};
    known.list.backends["e"] = backend_of("e");
    known.list.backends["e"].started_at = 2'000;
    known.tell();
    cr_assert(known.is_cold_after(milliseconds{2'999}));
}

Test(cold_table, a_zone_that_is_taken_back_is_cold) {
    table_fixture known;
    known.table.set_emptied_zones({.revision = 1, .zones = {{.zone = "a", .since = 1}}}, known.now);
    cr_assert(!known.is_cold_after(milliseconds{0}), "nothing is sent there anyway");
    known.table.set_emptied_zones({.revision = 2, .zones = {}}, known.now);
    cr_assert(known.is_cold_after(milliseconds{2'999}));
    cr_assert(!known.is_cold_after(milliseconds{3'000}));
}

Test(cold_table, one_that_could_not_be_reached_is_cold_from_its_first_answer) {
    table_fixture known;
    known.table.note_unreachable("e");
    cr_assert(known.is_cold_after(long_after));
    known.now += long_after;
    known.table.note_reached("e", known.now);
    cr_assert(known.is_cold_after(milliseconds{2'999}));
    known.table.note_reached("e", known.now + milliseconds{1'000});
    cr_assert(!known.is_cold_after(milliseconds{3'000}), "only the first answer counts");
}

Test(cold_table, back_ends_of_a_service_that_bears_any_rate_are_never_cold) {
    table_fixture known;
    known.list.backends["t"].started_at = 2'000;
    known.list.backends["t"].cold_left_ms = 2'500;
    known.tell();
    known.table.note_unreachable("t");
    cr_assert(!known.is_cold_after(milliseconds{0}, "t"));
    cr_assert(!known.table.find("t", known.now).has_value());
}

Test(cold_table, a_configuration_that_comes_later_counts_for_what_was_heard_before) {
    table_fixture known;
    known.table.set_configuration({});
    known.list.backends["e"].started_at = 2'000;
    known.tell();
    cr_assert(!known.is_cold_after(milliseconds{0}));
    directory::configuration config;
    config.services.push_back(
        {.name = "engine", .cold_start_ms = cold_time.count(), .cold_rate = 32});
    known.table.set_configuration(config);
    cr_assert(known.is_cold_after(milliseconds{2'999}));
}
