#include "pearbarrow/tenants/quota_client.h"

#include <map>
#include <optional>

#include "../net/net_fixture.h"
#include "../turns/counting_caller.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/tenants/quota_members.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::tenants;
using net::testing::run_until;
using turns::testing::view_of_three;

namespace {

/// Replies at once with the reply configured for a member, or fails if there is none.
class scripted_caller final : public turns::member_caller {
  public:
    std::unique_ptr<net::peer_call_handle> call(const directory::storage_member& member,
                                                net::method_number /*method*/, std::string payload,
                                                base::milliseconds /*timeout*/,
                                                reply_handler on_reply) override {
        this->called_members.push_back(member.node);
        this->requests.push_back(*wire::decode<grant_request>(payload));
        const auto reply = this->replies.find(member.node);
        if (reply == this->replies.end()) {
            on_reply(base::make_error(absl::StatusCode::kDeadlineExceeded, "silent", {}));
        } else {
            on_reply(wire::encode(reply->second));
        }
        return nullptr;
    }

    std::map<base::node_id, grant_reply> replies;
    std::vector<base::node_id> called_members;
    std::vector<grant_request> requests;
};

struct client_fixture {
    client_fixture() { this->client.set_view(view_of_three()); }

    quota_decision ask(std::uint64_t program = 0) {
        std::optional<quota_decision> decision;
        this->caller.called_members.clear();
        const auto operation = this->client.request_grant(
            {"shop", program, false}, [&](const auto& result) { decision = result; });
        cr_assert(!decision.has_value(), "done was called before ask returned");
        cr_assert(run_until(this->loop, [&] { return decision.has_value(); }));
        return *decision;
    }
    void set_all_replies(const grant_reply& reply) {
        for (const auto& member : view_of_three().members) {
            this->caller.replies[member.node] = reply;
        }
    }

    net::event_loop loop;
    base::system_clock_source clock;
    scripted_caller caller;
    quota_client client{loop, clock, caller, {}};
};

}  // namespace

Test(quota_client, grant_from_one_member_is_sufficient) {
    client_fixture fixture;
    fixture.set_all_replies({.outcome = quota_outcome::granted});
    cr_assert(fixture.ask().verdict == quota_verdict::granted);
    cr_assert(fixture.caller.called_members.size() == 1);
}

Test(quota_client, program_starts_with_the_same_member_each_time) {
    client_fixture fixture;
    fixture.set_all_replies({.outcome = quota_outcome::granted});
    fixture.ask(4);
    const base::node_id first = fixture.caller.called_members.front();
    fixture.ask(5);
    cr_assert(fixture.caller.called_members.front() != first);
    fixture.ask(4);
    cr_assert(fixture.caller.called_members.front() == first);
}

Test(quota_client, request_is_over_limit_after_all_members_refused) {
    client_fixture fixture;
    fixture.set_all_replies({.outcome = quota_outcome::refused, .retry_after_ms = 700});
    const quota_decision decision = fixture.ask();
    cr_assert(decision.verdict == quota_verdict::over_limit);
    cr_assert(decision.retry_after == base::milliseconds{700});
    cr_assert(fixture.caller.called_members.size() == 3);
}

Test(quota_client, unresponsive_member_is_skipped_and_then_tried_last) {
    client_fixture fixture;
    const auto order = quota_members(view_of_three(), "shop");
    fixture.set_all_replies({.outcome = quota_outcome::granted});
    fixture.caller.replies.erase(order[0].node);
    cr_assert(fixture.ask().verdict == quota_verdict::granted);
    cr_assert(fixture.caller.called_members.size() == 2);
    cr_assert(fixture.ask().verdict == quota_verdict::granted);
    cr_assert(fixture.caller.called_members.size() == 1 &&
              fixture.caller.called_members[0] != order[0].node);
}

Test(quota_client, request_without_reply_is_unanswered) {
    client_fixture fixture;
    cr_assert(fixture.ask().verdict == quota_verdict::no_reply);
    cr_assert(fixture.caller.called_members.size() == 3);
    fixture.client.set_view({});
    cr_assert(fixture.ask().verdict == quota_verdict::no_reply);
}

Test(quota_client, not_counted_here_is_no_decision) {
    client_fixture fixture;
    fixture.set_all_replies({.outcome = quota_outcome::not_counted_here});
    cr_assert(fixture.ask().verdict == quota_verdict::no_reply);
}

Test(quota_client, destroyed_operation_never_calls_back) {
    client_fixture fixture;
    fixture.set_all_replies({.outcome = quota_outcome::granted});
    bool called = false;
    fixture.client.request_grant({"shop", 0, false}, [&](const auto&) { called = true; }).reset();
    net::testing::run_for(fixture.loop, std::chrono::milliseconds(5));
    cr_assert(!called && fixture.caller.called_members.empty());
}
