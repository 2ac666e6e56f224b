#include <algorithm>
#include <map>
#include <optional>

#include "journal_fixture.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/journal/leader.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::journal;
using namespace pearbarrow::journal::testing;

namespace {

/// A leader with three replicas whose links work unless cut.
class group {
  public:
    group() : leader_(shard, base::node_id("owner")) {
        for (const auto* name : {"r1", "r2", "r3", "r4"}) {
            add_node(name);
        }
        set_.epoch = 1;
        for (const auto* name : {"r1", "r2", "r3"}) {
            set_.members.push_back(member(name));
        }
    }

    wire::journal_member member(const std::string& name) {
        return replicas_.at(name)->member(shard);
    }
    wire::journal_replica_set& set() { return set_; }
    void cut(const std::string& name) { cut_[name] = true; }
    void mend(const std::string& name) { cut_[name] = false; }
    void wipe(const std::string& name) { add_node(name, "new-"); }

    void apply(const leader_event& event) { collect(leader_.apply(event, now_)); }
    void pass(base::milliseconds time) {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += base::milliseconds(50);
            apply(tick{});
        }
    }
    void lead() { apply(campaign{set_, 77}); }
    std::uint64_t append_one(std::string payload, std::string key = "") {
        apply(append{.token = ++token_, .payload = std::move(payload), .retention_key = key});
        return token_;
    }

    /// The newest report of this type.
    template <typename Report>
    std::optional<Report> last() const {
        const auto found = std::find_if(
            reports_.rbegin(), reports_.rend(),
            [](const leader_action& report) { return std::holds_alternative<Report>(report); });
        return found == reports_.rend() ? std::nullopt : std::optional(std::get<Report>(*found));
    }
    leader_core& leader() { return leader_; }
    void forget_reports() { reports_.clear(); }

  private:
    void add_node(const std::string& name, const std::string& prefix = "") {
        replicas_.erase(name);
        stores_[name] = std::make_unique<memory_replica_store>(prefix + "disk-" + name, true);
        replicas_[name] = std::make_unique<replica>(base::node_id(name), *stores_[name]);
        cr_assert(replicas_[name]->open().ok());
    }
    void collect(std::vector<leader_action> actions) {
        for (auto& action : actions) {
            if (const auto* sent = std::get_if<send_request>(&action)) {
                carry(*sent);
            } else {
                reports_.push_back(std::move(action));
            }
        }
    }
    void carry(const send_request& sent) {
        const auto name = sent.to.node.value();
        if (cut_[name]) {
            return;
        }
        std::optional<wire::journal_reply> reply;
        replicas_.at(name)->handle(sent.request, [&reply](const auto& given) { reply = given; });
        replicas_.at(name)->flush();
        cr_assert(reply.has_value());
        collect(leader_.apply(replica_replied{*reply}, now_));
    }

    std::map<std::string, std::unique_ptr<memory_replica_store>> stores_;
    std::map<std::string, std::unique_ptr<replica>> replicas_;
    std::map<std::string, bool> cut_;
    wire::journal_replica_set set_;
    leader_core leader_;
    base::instant now_{base::seconds(1)};
    std::vector<leader_action> reports_;
    std::uint64_t token_ = 0;
};

}  // namespace

Test(leader, leads_appends_and_hands_its_records_to_the_next) {
    group one;
    one.append_one("too early");
    cr_assert(one.last<append_refused>()->reason == "not_leading");
    one.lead();
    cr_assert(one.last<recovered>()->records.empty());
    cr_assert(one.last<epoch_established>()->epoch == 1);
    one.append_one("a");
    one.append_one("b");
    cr_assert(one.last<committed>()->through == one.last<appended>()->index);
    one.lead();
    const auto again = *one.last<recovered>();
    cr_assert(again.records.size() == 2 && again.records[1].payload == "b");
    cr_assert(again.ballot.round == 2);
}

Test(leader, needs_a_majority_and_reports_its_absence) {
    group one;
    one.lead();
    one.cut("r1");
    one.append_one("two of three");
    cr_assert(one.last<committed>()->through == one.last<appended>()->index);
    one.cut("r2");
    one.append_one("one of three");
    one.pass(base::seconds(3));
    cr_assert(one.last<committed>()->through < one.last<appended>()->index);
    cr_assert(one.last<unavailable>().has_value());
    one.mend("r2");
    one.pass(base::seconds(2));
    cr_assert(one.last<committed>()->through == one.last<appended>()->index);
    cr_assert(one.last<available_again>().has_value());
}

Test(leader, confirms_only_by_a_majority_heard_after_the_question) {
    group one;
    one.lead();
    one.cut("r1");
    one.cut("r2");
    one.apply(confirm{9});
    one.pass(base::seconds(1));
    cr_assert(!one.last<confirmed>().has_value());
    one.mend("r1");
    one.pass(base::seconds(2));
    cr_assert(one.last<confirmed>()->token == 9);
}

Test(leader, a_lost_disk_is_named_and_replaced_by_adding_the_new_store_first) {
    group one;
    one.lead();
    for (int record = 0; record < 20; ++record) {
        one.append_one("r" + std::to_string(record), "p1/h");
    }
    one.apply(snapshot_taken{one.leader().commit_index(), "state"});
    one.append_one("tail");
    const auto old = one.member("r3");
    one.wipe("r3");
    one.pass(base::seconds(2));
    cr_assert(one.last<replica_lost>()->member == old);
    cr_assert(one.last<replica_lost>()->found == one.member("r3"));
    one.apply(learner_added{one.member("r3")});
    one.pass(base::seconds(2));
    cr_assert(one.last<learner_caught_up>()->member == one.member("r3"));
    one.set() = {2, one.set().members};
    one.set().members.push_back(one.member("r3"));
    one.apply(replica_set_changed{one.set()});
    one.pass(base::seconds(1));
    cr_assert(one.last<epoch_established>()->epoch == 2);
    one.set().epoch = 3;
    std::erase(one.set().members, old);
    one.apply(replica_set_changed{one.set()});
    one.pass(base::seconds(1));
    cr_assert(one.last<epoch_established>()->epoch == 3);
    // The repaired replica and one other carry everything, the history too.
    one.cut("r1");
    one.lead();
    one.pass(base::seconds(2));
    cr_assert(one.last<recovered>()->snapshot == "state");
    cr_assert(one.last<recovered>()->records.back().payload == "tail");
    one.cut("r2");
    one.mend("r3");
    one.apply(read_retained{5, "p1/"});
    one.pass(base::seconds(2));
    cr_assert(one.last<retained_read>()->status.ok());
    cr_assert(one.last<retained_read>()->entries.size() == 20);
}

Test(leader, asks_a_replica_that_failed_to_promise_again) {
    leader_core one(shard, base::node_id("owner"));
    const wire::journal_member member{base::node_id("r1"), "disk"};
    const base::instant began{base::seconds(1)};
    const auto asked = one.apply(campaign{{1, {member}}, 5}, began);
    const auto& request = std::get<send_request>(asked.at(0)).request;
    wire::journal_reply failure;
    failure.request_id = wire::header_of(request).request_id;
    failure.outcome = wire::journal_outcome::failed;
    failure.reason = "journal_storage_failed";
    cr_assert(one.apply(replica_replied{failure}, began).empty());
    const auto again = one.apply(tick{}, began + base::seconds(1));
    cr_assert(again.size() == 1 && std::holds_alternative<send_request>(again[0]));
}

Test(leader, skipping_an_epoch_while_leading_ends_the_reign) {
    group one;
    one.lead();
    one.set().epoch = 3;
    one.apply(replica_set_changed{one.set()});
    cr_assert(one.last<fenced>()->reason == "stale_epoch");
    cr_assert(!one.leader().is_leading());
}

Test(leader, bounds_what_is_not_committed) {
    group one;
    one.lead();
    one.cut("r1");
    one.cut("r2");
    const std::string big(8 << 20, 'x');
    for (int record = 0; record < 10; ++record) {
        one.append_one(big);
    }
    cr_assert(one.last<append_refused>()->reason == "journal_queue_full");
    one.append_one("x", std::string("a\0b", 3));
    cr_assert(one.last<append_refused>()->reason == "bad_retention_key");
}
