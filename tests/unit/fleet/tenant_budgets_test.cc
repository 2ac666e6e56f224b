// Tests that tenants with equal program ids have budgets of their own.
#include "tenants_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;

Test(tenants, equal_program_ids_of_two_tenants_have_separate_budgets) {
    tenants_fixture fleet;
    cr_assert(fleet.turn_of(key_of_a, "t1", "").status == 200);
    cr_assert(fleet.turn_of(key_of_a, "t2", "").status == 200);
    cr_assert(fleet.turn_of(key_of_a, "t3", "").status == 402,
              "a budget of 100 covers two turns of 50");
    cr_assert(fleet.turn_of(key_of_b, "t4", "").status == 200);
}
