#include "pearbarrow/base/ids.h"

#include <sstream>
#include <type_traits>

#include <criterion/criterion.h>

using namespace pearbarrow::base;

Test(ids, families_are_not_convertible) {
    cr_assert(!(std::is_convertible_v<program_id, tenant_id>));
    cr_assert(!(std::is_convertible_v<std::string, program_id>));
}

Test(ids, are_serialized_as_their_value) {
    std::stringstream buffer;
    msgpack::pack(buffer, program_id("abc"));
    const std::string bytes = buffer.str();
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    cr_assert(handle.get().as<std::string>() == "abc");
    cr_assert(handle.get().as<program_id>() == program_id("abc"));
}

Test(ids, ballots_order_by_round_then_node) {
    const ballot low{1, node_id("b")};
    const ballot tie{1, node_id("c")};
    const ballot high{2, node_id("a")};
    cr_assert(low < tie);
    cr_assert(tie < high);
}
