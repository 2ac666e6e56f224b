#include "pearbarrow/node/quota_service.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/node/backoff.h"
#include "pearbarrow/wire/codec.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds report_period{500};
constexpr base::milliseconds ask_timeout{400};
constexpr base::milliseconds unavailable_wait{500};
constexpr int most_tries = 3;

std::string subject_of(const program::quota_key& key) {
    switch (key.source.kind) {
        case config::object_kind::tenant:
            return "tenant";
        case config::object_kind::program_class:
            return "class";
        default:
            return "limit";
    }
}

std::string counted(program::quota_counter counter) {
    switch (counter) {
        case program::quota_counter::programs:
            return "concurrency";
        case program::quota_counter::tokens:
            return "tokens_in_flight";
        case program::quota_counter::calls:
            break;
    }
    return "rate";
}

absl::Status refusal_of(const program::quota_key& key, const base::node_id& home,
                        std::uint64_t retry_after_ms) {
    base::error_details details{.step = "admit",
                                .peer = home.value(),
                                .reason = subject_of(key) + "_" + counted(key.counter),
                                .was_executed = base::executed::no};
    if (retry_after_ms > 0) {
        details.retry_after = base::milliseconds(retry_after_ms);
    }
    return base::make_error(absl::StatusCode::kResourceExhausted,
                            "the limit of " + config::to_string(key.source) + " is reached",
                            std::move(details));
}

}  // namespace

struct quota_service::acquisition {
    std::vector<program::quota_need> needs;
    std::function<void(const absl::Status&)> done;
    std::size_t next = 0;
    int tries = 0;
    base::node_id home;
    backoff retry{base::milliseconds(20), base::milliseconds(100)};
    std::unique_ptr<net::peer_call_handle> call;
    std::unique_ptr<net::timer_handle> timer;
};

quota_service::quota_service(node_context& context, membership_service& membership,
                             const configuration_view& configuration, peer_health& health)
    : context_(context), membership_(membership), configuration_(configuration), health_(health) {}

quota_service::~quota_service() = default;

void quota_service::register_methods() {
    context_.rpc.register_method(wire::quota_claim, [this](auto payload, auto responder) {
        const auto request = wire::decode<quota_request>(payload);
        if (!request.ok()) {
            responder->fail(request.status());
            return;
        }
        const config::configuration_ptr configuration = configuration_.current();
        quota_reply reply;
        for (const quota_claim& claim : request->claims) {
            reply.verdicts.push_back(
                home_.claim(responder->caller(), claim, *configuration, context_.now()));
        }
        responder->finish(wire::encode(reply));
    });
}

void quota_service::start(use_reader use) {
    use_ = std::move(use);
    ticker_ = context_.loop.every(report_period, [this] { report(); });
}

void quota_service::update() {
    if (use_) {
        report();
    }
}

base::node_id quota_service::home_of(const program::quota_key& key) const {
    std::vector<membership::member> candidates = health_.reachable(membership_.live_members());
    std::erase_if(candidates, [](const membership::member& each) { return !each.accepts_work(); });
    const auto best = membership::rank("quota/" + config::to_string(key.source), candidates, 1);
    return best.empty() ? context_.self() : best.front();
}

std::uint64_t quota_service::used(const program::quota_use_map& use,
                                  const program::quota_key& key) const {
    const auto found = use.find(key.source);
    const auto waiting = pending_.find(key);
    return (found == use.end() ? 0 : found->second.of(key.counter)) +
           (waiting == pending_.end() ? 0 : waiting->second);
}

std::unique_ptr<net::peer_call_handle> quota_service::call(const base::node_id& home,
                                                           std::string payload,
                                                           net::peer_call_callbacks callbacks) {
    const auto address = membership_.peer_address(home);
    if (!address.has_value()) {
        return nullptr;
    }
    return context_.rpc.call(home, *address, wire::quota_claim, std::move(payload), ask_timeout,
                             std::move(callbacks));
}

void quota_service::acquire(std::vector<program::quota_need> needs,
                            std::function<void(const absl::Status&)> done) {
    auto item = std::make_shared<acquisition>();
    item->needs = std::move(needs);
    item->done = std::move(done);
    open_.insert(item);
    ask(item);
}

void quota_service::ask(const std::shared_ptr<acquisition>& item) {
    const program::quota_need& need = item->needs[item->next];
    quota_request request;
    request.claims.push_back(quota_claim::of(need.key, used(use_(), need.key), need.amount));
    item->home = home_of(need.key);
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this,
                         weak = std::weak_ptr(item)](const absl::StatusOr<std::string>& payload) {
        if (const auto asked = weak.lock()) {
            take_reply(asked, payload);
        }
    };
    pending_[need.key] += need.amount;
    item->call = call(item->home, wire::encode(request), std::move(callbacks));
    if (item->call == nullptr) {
        ask_again(item);
    }
}

void quota_service::take_reply(const std::shared_ptr<acquisition>& item,
                               const absl::StatusOr<std::string>& payload) {
    if (!payload.ok()) {
        if (base::details_of(payload.status()).reason == "connect_failed") {
            health_.connect_failed(item->home);
        }
        ask_again(item);
        return;
    }
    const auto reply = wire::decode<quota_reply>(*payload);
    if (!reply.ok() || reply->verdicts.size() != 1) {
        ask_again(item);
        return;
    }
    const quota_verdict verdict = reply->verdicts.front();
    const program::quota_key key = item->needs[item->next].key;
    ++item->next;
    item->tries = 0;
    if (!verdict.granted) {
        finish(item, refusal_of(key, item->home, verdict.retry_after_ms));
    } else if (item->next == item->needs.size()) {
        finish(item, absl::OkStatus());
    } else {
        ask(item);
    }
}

void quota_service::ask_again(const std::shared_ptr<acquisition>& item) {
    const program::quota_need& need = item->needs[item->next];
    if (++item->tries >= most_tries) {
        ++item->next;
        finish(item, base::make_error(absl::StatusCode::kUnavailable,
                                      "the node that counts " + config::to_string(need.key.source) +
                                          " does not answer",
                                      {.step = "admit",
                                       .peer = item->home.value(),
                                       .reason = "limits_unavailable",
                                       .was_executed = base::executed::no,
                                       .retry_after = unavailable_wait}));
        return;
    }
    pending_[need.key] -= need.amount;
    item->timer =
        context_.loop.after(item->retry.next(context_.random), [this, weak = std::weak_ptr(item)] {
            if (const auto asked = weak.lock()) {
                ask(asked);
            }
        });
}

void quota_service::finish(std::shared_ptr<acquisition> item, const absl::Status& status) {
    open_.erase(item);
    // The owner takes the request inside, so that it is counted at every moment.
    item->done(status);
    for (std::size_t index = 0; index < item->next; ++index) {
        const program::quota_need& need = item->needs[index];
        if (need.key.counter != program::quota_counter::calls) {
            // Told to the home once more, in case that nothing is used any longer by then.
            reported_.insert(need.key);
        }
        auto& waiting = pending_[need.key];
        waiting -= std::min(waiting, need.amount);
        if (waiting == 0) {
            pending_.erase(need.key);
        }
    }
}

void quota_service::report() {
    const program::quota_use_map use = use_();
    const config::configuration& configuration = *configuration_.current();
    std::set<program::quota_key> now_used;
    for (const auto& [source, amounts] : use) {
        for (const auto counter :
             {program::quota_counter::programs, program::quota_counter::tokens}) {
            const program::quota_key key{source, counter};
            if (amounts.of(counter) > 0 && limit_of(configuration, key).has_value()) {
                now_used.insert(key);
            }
        }
    }
    std::set<program::quota_key> told = std::exchange(reported_, now_used);
    told.merge(now_used);
    std::map<base::node_id, quota_request> requests;
    for (const program::quota_key& key : told) {
        requests[home_of(key)].claims.push_back(quota_claim::of(key, used(use, key), 0));
    }
    reports_.clear();
    for (const auto& [home, request] : requests) {
        net::peer_call_callbacks callbacks;
        callbacks.on_done = [](const absl::StatusOr<std::string>&) {};
        reports_[home] = call(home, wire::encode(request), std::move(callbacks));
    }
    home_.forget(context_.now());
}

}  // namespace pearbarrow::node
