/// Asks the members that count a tenant whether a request of it may be sent.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/tenants/quota_types.h"
#include "pearbarrow/turns/member_caller.h"
#include "pearbarrow/turns/turn_operation.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::tenants {

struct quota_client_options {
    /// The question that members are asked.
    net::method_number method = wire::tenant_quota;
    /// A member that leaves a question unanswered for this long is passed over. Answers take 3 to
    /// 8 ms between zones; a machine whose share of a core is spent stands still for up to 100 ms.
    base::milliseconds patience{120};
    /// For how long it is then asked after the others.
    base::milliseconds avoid_silent{1'000};
    /// A grant is good for this long: it is asked for just before the request is sent. Members
    /// count their windows longer by it (`quota_options`).
    base::milliseconds grant_lifetime{200};
    /// Bounds of the time told to callers beyond the limit.
    base::milliseconds least_retry_after{100};
    base::milliseconds most_retry_after{5'000};
};

enum class quota_verdict {
    granted,
    /// The tenant is at its limit.
    over_limit,
    /// No member that counts the tenant answered.
    unanswered,
};

std::string_view to_string(quota_verdict verdict);

/// What came of a question, and by what it was decided.
struct quota_decision {
    quota_verdict verdict = quota_verdict::unanswered;
    base::milliseconds retry_after{0};
    /// The last answer, and the member that gave it.
    quota_answer answer;
    std::string member;
};

class quota_client {
  public:
    quota_client(net::event_loop& loop, const base::clock& clock, turns::member_caller& caller,
                 quota_client_options options);
    ~quota_client();
    quota_client(const quota_client&) = delete;
    quota_client& operator=(const quota_client&) = delete;

    void set_view(const directory::storage_view& view) { this->view = view; }
    /// `done` runs once, never before this returns; the operation may not be destroyed inside it.
    /// Destroying it before ends the question.
    [[nodiscard]] std::unique_ptr<turns::turn_operation> ask(
        quota_question question, std::function<void(const quota_decision&)> done);
    const quota_client_options& limits() const { return this->options; }

  private:
    class inquiry;

    std::vector<directory::storage_member> order_for(const quota_question& question);
    void note_silent(const base::node_id& node);

    net::event_loop& loop;
    const base::clock& clock;
    turns::member_caller& caller;
    quota_client_options options;
    directory::storage_view view;
    /// Members that left a question unanswered, until when they are asked last.
    std::map<base::node_id, base::instant> silent_until;
};

}  // namespace pearbarrow::tenants
