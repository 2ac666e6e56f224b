#include "pearbarrow/tenants/quota_client.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/tenants/quota_members.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::tenants {

std::string_view to_string(quota_verdict verdict) {
    switch (verdict) {
        case quota_verdict::granted:
            return "granted";
        case quota_verdict::over_limit:
            return "over_limit";
        case quota_verdict::unanswered:
            return "quota_unanswered";
    }
    return "unknown";
}

/// One question on its way from member to member.
class quota_client::inquiry final : public turns::turn_operation {
  public:
    inquiry(quota_client& client, quota_question question,
            std::function<void(const quota_decision&)> done)
        : client(client),
          question(std::move(question)),
          members(client.order_for(this->question)),
          done(std::move(done)) {}

    /// From the loop: whoever asks has not got this operation yet.
    void start() {
        this->next = this->client.loop.after(base::milliseconds{0}, [this] { this->ask_next(); });
    }

  private:
    void ask_next() {
        if (this->asked == this->members.size()) {
            this->finish();
            return;
        }
        const directory::storage_member& member = this->members[this->asked];
        ++this->asked;
        this->call = this->client.caller.call(
            member, this->client.options.method, wire::encode(this->question),
            this->client.options.patience,
            [this, node = member.node](const absl::StatusOr<std::string>& payload) {
                this->take(node, payload);
            });
    }

    void take(const base::node_id& node, const absl::StatusOr<std::string>& payload) {
        const auto answer = payload.ok() ? wire::decode<quota_answer>(*payload)
                                         : absl::StatusOr<quota_answer>(payload.status());
        if (!answer.ok()) {
            this->client.note_silent(node);
            this->go_on();
            return;
        }
        this->decision.answer = *answer;
        this->decision.member = node.value();
        switch (answer->outcome) {
            case quota_outcome::granted:
                this->decision.verdict = quota_verdict::granted;
                this->finish();
                return;
            case quota_outcome::refused:
                this->note_refusal(*answer);
                return;
            case quota_outcome::not_counted_here:
                this->go_on();
                return;
        }
    }

    void note_refusal(const quota_answer& answer) {
        const base::milliseconds wait{answer.retry_after_ms};
        const bool is_first = this->decision.verdict != quota_verdict::over_limit;
        this->decision.verdict = quota_verdict::over_limit;
        this->decision.retry_after = is_first ? wait : std::min(this->decision.retry_after, wait);
        this->go_on();
    }

    /// From the loop, so that the call that ended is not replaced inside its own callback.
    void go_on() {
        this->next = this->client.loop.after(base::milliseconds{0}, [this] { this->ask_next(); });
    }

    void finish() {
        const quota_client_options& limits = this->client.options;
        this->decision.retry_after = std::clamp(this->decision.retry_after,
                                                limits.least_retry_after, limits.most_retry_after);
        this->done(this->decision);
    }

    quota_client& client;
    quota_question question;
    std::vector<directory::storage_member> members;
    std::size_t asked = 0;
    std::function<void(const quota_decision&)> done;
    quota_decision decision;
    std::unique_ptr<net::peer_call_handle> call;
    std::unique_ptr<net::timer_handle> next;
};

quota_client::quota_client(net::event_loop& loop, const base::clock& clock,
                           turns::member_caller& caller, quota_client_options options)
    : loop(loop), clock(clock), caller(caller), options(options) {}

quota_client::~quota_client() = default;

std::unique_ptr<turns::turn_operation> quota_client::ask(
    quota_question question, std::function<void(const quota_decision&)> done) {
    auto inquiry =
        std::make_unique<quota_client::inquiry>(*this, std::move(question), std::move(done));
    inquiry->start();
    return inquiry;
}

/// A program begins with the same member each time, which so knows what is under way; members that
/// have been silent of late come last.
std::vector<directory::storage_member> quota_client::order_for(const quota_question& question) {
    auto members = quota_members(this->view, question.tenant);
    if (members.empty()) {
        return members;
    }
    const auto first = static_cast<std::ptrdiff_t>(question.program % members.size());
    std::rotate(members.begin(), members.begin() + first, members.end());
    const base::instant now = this->clock.now();
    std::erase_if(this->silent_until, [now](const auto& item) { return item.second <= now; });
    std::stable_partition(members.begin(), members.end(), [this](const auto& member) {
        return this->silent_until.count(member.node) == 0;
    });
    return members;
}

void quota_client::note_silent(const base::node_id& node) {
    this->silent_until[node] = this->clock.now() + this->options.avoid_silent;
}

}  // namespace pearbarrow::tenants
