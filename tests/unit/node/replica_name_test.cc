#include "pearbarrow/node/replica_name.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using node::parse_replica_name;
using node::replica_name;

Test(replica_name, reads_back_what_it_writes) {
    for (const wire::journal_member& member :
         {wire::journal_member{base::node_id("node-1"), "ab12", 0},
          wire::journal_member{base::node_id("a@b.c"), "ab12", 7}}) {
        const auto parsed = parse_replica_name(replica_name(member).value());
        cr_assert(parsed.has_value());
        cr_assert(*parsed == member);
    }
}

Test(replica_name, refuses_what_names_no_store) {
    for (const char* text : {"node-1", "@store", "node-1@", "node-1@.3", "node-1@store.x",
                             "node-1@store.", "node-1@store.99999999999"}) {
        cr_assert(!parse_replica_name(text).has_value(), "%s", text);
    }
}

Test(replica_name, a_set_with_an_unreadable_name_is_no_set) {
    config::shard_assignment shard;
    shard.epoch = 4;
    shard.replicas = {base::node_id("a@1"), base::node_id("b@2")};
    const auto set = node::replica_set_of(shard);
    cr_assert(set.has_value());
    cr_assert(set->epoch == 4 && set->members.size() == 2);
    shard.replicas.push_back(base::node_id("c"));
    cr_assert(!node::replica_set_of(shard).has_value());
    shard.replicas.clear();
    cr_assert(!node::replica_set_of(shard).has_value());
}
