#include "pearbarrow/node/shard_host.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::node {

namespace {

/// Requests that may wait for the end of a campaign, and for how long they may.
constexpr std::size_t max_held_requests = 1'024;
constexpr base::milliseconds max_hold{2'000};

}  // namespace

shard_host::shard_host(shard_services& services, base::shard_id shard,
                       std::function<void(const journal::fenced&)> on_lost)
    : services_(services), shard_(shard), on_lost_(std::move(on_lost)) {
    journal_ = std::make_unique<journal_link>(services_.context, services_.membership, shard_,
                                              journal_callbacks());
    const auto sink = [this](program::shard_event event) { feed(std::move(event)); };
    models_ = std::make_unique<model_attempts>(services_.context, services_.backends, sink);
    tools_ = std::make_unique<tool_attempts>(services_.context, services_.backends, sink);
}

shard_host::~shard_host() {
    on_lost_ = nullptr;
    end_term();
}

journal_link_callbacks shard_host::journal_callbacks() {
    journal_link_callbacks callbacks;
    callbacks.on_recovered = [this](const journal::recovered& item) { start_term(item); };
    callbacks.on_appended = [this](const journal::appended& item) {
        appended_.push_back({item.token, item.index});
    };
    callbacks.on_append_refused = [this](const journal::append_refused& item) {
        base::log(base::log_level::error, "append_refused",
                  {{"shard", shard_.value()}, {"reason", item.reason}});
        services_.context.loop.post([this, alive = std::weak_ptr<int>(alive_)] {
            if (!alive.expired()) {
                resign();
            }
        });
    };
    callbacks.on_committed = [this](base::log_index through) { records_committed(through); };
    callbacks.on_fenced = [this](const journal::fenced& item) {
        base::log(base::log_level::info, "shard_fenced",
                  {{"shard", shard_.value()},
                   {"by", item.by.node.value()},
                   {"round", item.by.round},
                   {"reason", item.reason}});
        end_term();
        set_state(shard_state::idle);
        if (on_lost_) {
            on_lost_(item);
        }
    };
    callbacks.on_availability = [this](bool available) {
        available_ = available;
        feed(program::event::journal_availability{available});
    };
    callbacks.on_retained = [this](const journal::retained_read& item) {
        const auto found = retained_reads_.extract(item.token);
        if (found.empty()) {
            return;
        }
        if (!item.status.ok()) {
            feed(program::event::retained_read{found.mapped(), item.status});
            return;
        }
        std::vector<std::string> payloads;
        payloads.reserve(item.entries.size());
        for (const wire::journal_entry& entry : item.entries) {
            payloads.push_back(entry.payload);
        }
        feed(program::event::retained_read{found.mapped(), std::move(payloads)});
    };
    callbacks.on_confirmed = [this](std::uint64_t token) {
        const auto found = waiting_for_confirmation_.extract(token);
        if (!found.empty()) {
            found.mapped()();
        }
    };
    return callbacks;
}

void shard_host::set_state(shard_state state) {
    state_ = state;
    state_since_ = services_.context.now();
}

void shard_host::campaign(const wire::journal_replica_set& set) {
    end_term();
    set_state(shard_state::campaigning);
    journal_->feed(journal::campaign{set, services_.context.random.next()});
}

void shard_host::change_replica_set(const wire::journal_replica_set& set) {
    if (state_ != shard_state::idle && set.epoch > leader().replica_set().epoch) {
        journal_->feed(journal::replica_set_changed{set});
    }
}

void shard_host::resign() {
    if (state_ == shard_state::idle) {
        return;
    }
    journal_->feed(journal::resign{});
    end_term();
    set_state(shard_state::idle);
}

void shard_host::tick() {
    if (state_ == shard_state::idle) {
        return;
    }
    journal_->feed(journal::tick{});
    feed(program::event::tick{});
    if (state_ == shard_state::campaigning && services_.context.now() - state_since_ > max_hold) {
        fail_held();
    }
}

void shard_host::configuration_changed() {
    if (owner_ == nullptr) {
        return;
    }
    feed(program::event::configuration_changed{
        services_.configuration.current(), base::region_name(services_.context.settings.region)});
}

void shard_host::start_term(const journal::recovered& recovered) {
    base::log(base::log_level::info, "shard_recovered",
              {{"shard", shard_.value()},
               {"round", recovered.ballot.round},
               {"records", recovered.records.size()},
               {"commit_index", recovered.committed_through.value()}});
    program::owner_options options;
    const auto& settings = services_.context.settings;
    options.history_cache_bytes =
        std::max<std::uint64_t>(settings.limits.history_cache_bytes / settings.shard_count, 1);
    options.default_deadline = settings.timing.call_timeout;
    owner_ = std::make_unique<program::shard_owner>(options);
    set_state(shard_state::serving);
    available_ = true;
    program::event::journal_recovered event;
    event.snapshot = recovered.snapshot;
    event.payloads.reserve(recovered.records.size());
    for (const wire::journal_entry& entry : recovered.records) {
        event.payloads.push_back(entry.payload);
    }
    // The bounds first: a program is not to be ended by a default that the configuration widens.
    configuration_changed();
    feed(std::move(event));
    release_held();
}

void shard_host::end_term() {
    if (owner_ != nullptr) {
        feed(program::event::ownership_lost{});
    }
    if (feeding_) {
        // The owner is inside its own call; the loop in `feed` drops it.
        return;
    }
    owner_.reset();
    events_.clear();
    appended_.clear();
    dropped_prefixes_.clear();
    waiting_for_confirmation_.clear();
    retained_reads_.clear();
    exchanges_.clear();
    for (const base::attempt_id& attempt : std::exchange(placements_, {})) {
        services_.dispatchers.withdraw(attempt);
    }
    offers_.clear();
    const auto sink = [this](program::shard_event event) { feed(std::move(event)); };
    models_ = std::make_unique<model_attempts>(services_.context, services_.backends, sink);
    tools_ = std::make_unique<tool_attempts>(services_.context, services_.backends, sink);
    for (const auto& [token, responder] : std::exchange(responders_, {})) {
        responder->fail(not_owner());
    }
    fail_held();
}

absl::Status shard_host::not_owner() const {
    return base::make_error(absl::StatusCode::kUnavailable, "this node does not own the shard",
                            {.step = "route",
                             .peer = services_.context.self().value(),
                             .reason = "not_owner",
                             .retry_after = base::milliseconds(100)});
}

void shard_host::request(wire::program_request request,
                         std::shared_ptr<net::peer_responder> responder) {
    if (state_ == shard_state::serving) {
        deliver(std::move(request), std::move(responder));
    } else if (state_ == shard_state::campaigning && held_.size() < max_held_requests) {
        held_.push_back({std::move(request), std::move(responder)});
    } else {
        responder->fail(not_owner());
    }
}

void shard_host::release_held() {
    for (held_request& item : std::exchange(held_, {})) {
        deliver(std::move(item.request), std::move(item.responder));
    }
}

void shard_host::fail_held() {
    for (held_request& item : std::exchange(held_, {})) {
        item.responder->fail(not_owner());
    }
}

void shard_host::deliver(wire::program_request request,
                         std::shared_ptr<net::peer_responder> responder) {
    std::vector<program::quota_need> needs = owner_->needs_of(request);
    if (needs.empty()) {
        take(std::move(request), std::move(responder));
        return;
    }
    services_.quotas.acquire(
        std::move(needs), [this, alive = std::weak_ptr<int>(alive_), request = std::move(request),
                           responder = std::move(responder)](const absl::Status& room) {
            if (alive.expired()) {
                responder->fail(base::make_error(absl::StatusCode::kUnavailable,
                                                 "the shard was given up",
                                                 {.step = "route", .reason = "not_owner"}));
                return;
            }
            if (!room.ok()) {
                responder->fail(room);
            } else if (state_ == shard_state::serving) {
                take(request, responder);
            } else {
                responder->fail(not_owner());
            }
        });
}

void shard_host::take(wire::program_request request,
                      std::shared_ptr<net::peer_responder> responder) {
    const program::reply_token token(++last_token_);
    responder->on_cancelled([this, token, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired() && responders_.erase(token) > 0) {
            feed(program::event::requester_gone{token});
        }
    });
    responders_[token] = std::move(responder);
    feed(program::event::request_received{token, std::move(request)});
}

void shard_host::add_quota_use(program::quota_use_map& sum) const {
    if (owner_ == nullptr) {
        return;
    }
    for (const auto& [source, use] : owner_->quota_use()) {
        sum[source].programs += use.programs;
        sum[source].tokens += use.tokens;
    }
}

std::size_t shard_host::program_count() const {
    return owner_ == nullptr ? 0 : owner_->program_count();
}

bool shard_host::idle() const {
    return owner_ == nullptr || owner_->idle();
}

void shard_host::feed(program::shard_event event) {
    if (owner_ == nullptr) {
        return;
    }
    events_.push_back(std::move(event));
    if (feeding_) {
        return;
    }
    feeding_ = true;
    bool lost = false;
    while (!events_.empty() && !lost) {
        const program::shard_event next = std::move(events_.front());
        events_.pop_front();
        lost = std::holds_alternative<program::event::ownership_lost>(next);
        for (const program::shard_action& action : owner_->apply(next, services_.context.now())) {
            carry_out(action);
        }
    }
    feeding_ = false;
    if (lost) {
        owner_.reset();
        end_term();
    }
}

void shard_host::carry_out(const program::shard_action& action) {
    std::visit([this](const auto& item) { act(item); }, action);
}

void shard_host::records_committed(base::log_index through) {
    // Records stay in `appended_` until the next snapshot, so a scan would grow with them.
    const auto after = std::upper_bound(
        appended_.begin(), appended_.end(), through,
        [](base::log_index index, const appended_record& record) { return index < record.index; });
    if (after != appended_.begin()) {
        feed(program::event::records_committed{std::prev(after)->sequence});
    }
}

void shard_host::when_leading(const program::action::leadership& proof,
                              std::function<void()> then) {
    if (services_.context.now() - proof.known_at <= proof.trusted_for) {
        then();
        return;
    }
    const std::uint64_t token = ++last_token_;
    waiting_for_confirmation_[token] = std::move(then);
    journal_->feed(journal::confirm{token});
}

void shard_host::answer(program::reply_token token,
                        const std::function<void(net::peer_responder&)>& respond) {
    const auto found = responders_.extract(token);
    if (!found.empty()) {
        respond(*found.mapped());
    }
}

}  // namespace pearbarrow::node
