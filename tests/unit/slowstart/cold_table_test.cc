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

/// A table that has had two back ends for a long time, so that both are warm.
struct table_fixture {
    table_fixture() {
        directory::configuration config;
        config.services.push_back(
            {.name = "engine", .cold_start_ms = cold_time.count(), .cold_rate = 32});
        config.services.push_back({.name = "tool", .cold_start_ms = cold_time.count()});
        this->table.set_configuration(config);
        this->list.backends = {{"e", backend_of("e")}, {"t", backend_of("t", "tool")}};
        this->publish();
        this->now += long_after;
    }
    void publish() { this->table.set_backends(this->list, this->now); }
    bool is_cold_after(milliseconds wait, const std::string& id = "e") const {
        return this->table.is_cold(id, this->now + wait);
    }

    cold_table table;
    directory::backend_list list;
    base::instant now{};
};

}  // namespace

Test(cold_table, back_end_listed_for_long_is_warm) {
    const table_fixture fixture;
    cr_assert(!fixture.is_cold_after(milliseconds{0}));
    cr_assert(!fixture.table.find("e", fixture.now).has_value());
    cr_assert(fixture.table.cold_count(fixture.now) == 0);
}

Test(cold_table, reported_cold_time_counts_from_its_receipt) {
    table_fixture fixture;
    fixture.list.backends["e"].cold_left_ms = 2'500;
    fixture.publish();
    cr_assert(fixture.is_cold_after(milliseconds{2'499}));
    cr_assert(!fixture.is_cold_after(milliseconds{2'500}));
    const auto found = fixture.table.find("e", fixture.now);
    cr_assert(found.has_value() && found->rate == 32 && found->started_at == 1'000);
}

Test(cold_table, unchanged_entry_does_not_extend_the_cold_time) {
    table_fixture fixture;
    fixture.list.backends["e"].cold_left_ms = 2'500;
    fixture.publish();
    fixture.now += milliseconds{2'000};
    fixture.publish();
    cr_assert(!fixture.is_cold_after(milliseconds{500}));
}

Test(cold_table, shorter_report_does_not_shorten_the_cold_time) {
    table_fixture fixture;
    fixture.list.backends["e"].started_at = 2'000;
    fixture.publish();
    fixture.now += milliseconds{500};
    fixture.list.backends["e"].cold_left_ms = 1;
    fixture.publish();
    fixture.list.backends["e"].cold_left_ms = 0;
    fixture.publish();
    cr_assert(fixture.is_cold_after(milliseconds{2'499}));
    cr_assert(!fixture.is_cold_after(milliseconds{2'500}));
}

Test(cold_table, restarted_new_and_returning_back_ends_are_cold) {
    table_fixture fixture;
    fixture.list.backends["e"].started_at = 2'000;
    fixture.list.backends["new"] = backend_of("new");
    fixture.publish();
    cr_assert(fixture.is_cold_after(milliseconds{2'999}));
    cr_assert(fixture.is_cold_after(milliseconds{2'999}, "new"));
    cr_assert(fixture.table.cold_count(fixture.now) == 2);
    fixture.now += long_after;
    cr_assert(!fixture.is_cold_after(milliseconds{0}));
    fixture.list.backends.erase("e");
    fixture.publish();
    fixture.now += milliseconds{100};
    fixture.list.backends["e"] = backend_of("e");
    fixture.list.backends["e"].started_at = 2'000;
    fixture.publish();
    cr_assert(fixture.is_cold_after(milliseconds{2'999}));
}

Test(cold_table, back_ends_of_a_zone_back_in_use_are_cold) {
    table_fixture fixture;
    fixture.table.set_emptied_zones({.revision = 1, .zones = {{.zone = "a", .since = 1}}},
                                    fixture.now);
    cr_assert(!fixture.is_cold_after(milliseconds{0}), "no requests are sent to an emptied zone");
    fixture.table.set_emptied_zones({.revision = 2, .zones = {}}, fixture.now);
    cr_assert(fixture.is_cold_after(milliseconds{2'999}));
    cr_assert(!fixture.is_cold_after(milliseconds{3'000}));
}

Test(cold_table, unreachable_back_end_is_cold_from_its_first_response) {
    table_fixture fixture;
    fixture.table.on_unreachable("e");
    cr_assert(fixture.is_cold_after(long_after));
    fixture.now += long_after;
    fixture.table.on_response("e", fixture.now);
    cr_assert(fixture.is_cold_after(milliseconds{2'999}));
    fixture.table.on_response("e", fixture.now + milliseconds{1'000});
    cr_assert(!fixture.is_cold_after(milliseconds{3'000}),
              "only the first response starts the cold time");
}

Test(cold_table, back_ends_of_a_service_without_cold_rate_are_never_cold) {
    table_fixture fixture;
    fixture.list.backends["t"].started_at = 2'000;
    fixture.list.backends["t"].cold_left_ms = 2'500;
    fixture.publish();
    fixture.table.on_unreachable("t");
    cr_assert(!fixture.is_cold_after(milliseconds{0}, "t"));
    cr_assert(!fixture.table.find("t", fixture.now).has_value());
}

Test(cold_table, later_configuration_applies_to_earlier_entries) {
    table_fixture fixture;
    fixture.table.set_configuration({});
    fixture.list.backends["e"].started_at = 2'000;
    fixture.publish();
    cr_assert(!fixture.is_cold_after(milliseconds{0}));
    directory::configuration config;
    config.services.push_back(
        {.name = "engine", .cold_start_ms = cold_time.count(), .cold_rate = 32});
    fixture.table.set_configuration(config);
    cr_assert(fixture.is_cold_after(milliseconds{2'999}));
}
