/// How a shard host carries out what its programs' owner asks for.
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/node/shard_host.h"

namespace pearbarrow::node {

namespace {

/// Longest time for a request between owners; the asking owner repeats it after that.
constexpr base::milliseconds exchange_timeout{5'000};

}  // namespace

void shard_host::act(const program::action::append_record& action) {
    journal::append append;
    append.token = action.sequence;
    append.payload = action.payload;
    append.retention_key = action.retention_key;
    append.dropped_prefixes = std::exchange(dropped_prefixes_, {});
    journal_->feed(append);
}

void shard_host::act(const program::action::reply_part& action) {
    const auto found = responders_.find(action.token);
    if (found != responders_.end()) {
        found->second->send_part(wire::encode(action.part));
    }
}

void shard_host::act(const program::action::reply_final& action) {
    const auto respond = [this, action] {
        answer(action.token, [&](net::peer_responder& responder) {
            responder.finish(wire::encode(action.reply));
        });
    };
    if (action.confirm.has_value()) {
        when_leading(*action.confirm, respond);
    } else {
        respond();
    }
}

void shard_host::act(const program::action::reply_error& action) {
    const auto respond = [this, action] {
        answer(action.token,
               [&](net::peer_responder& responder) { responder.fail(action.status); });
    };
    if (action.confirm.has_value()) {
        when_leading(*action.confirm, respond);
    } else {
        respond();
    }
}

void shard_host::act(const program::action::offer_call& action) {
    const base::attempt_id attempt = action.call.attempt;
    offers_[action.offer] = attempt;
    placements_.insert(attempt);
    placement_callbacks callbacks;
    const std::weak_ptr<int> alive = alive_;
    callbacks.on_granted = [this, alive, offer = action.offer](const placement_grant& grant) {
        if (!alive.expired()) {
            feed(program::event::placement_granted{offer, grant.backend, grant.decision,
                                                   grant.engine_priority, grant.pin_lease});
        }
    };
    callbacks.on_refused = [this, alive, attempt,
                            offer = action.offer](const placement_refusal& refusal) {
        if (!alive.expired()) {
            placements_.erase(attempt);
            offers_.erase(offer);
            feed(program::event::placement_refused{offer, refusal.status, refusal.decision});
        }
    };
    services_.dispatchers.offer(action.call, std::move(callbacks));
}

void shard_host::act(const program::action::withdraw_offer& action) {
    const auto found = offers_.extract(action.offer);
    if (!found.empty()) {
        placements_.erase(found.mapped());
        services_.dispatchers.withdraw(found.mapped());
    }
}

void shard_host::act(const program::action::finish_placement& action) {
    offers_.erase(action.offer);
    placements_.erase(action.attempt);
    services_.dispatchers.finish(action);
}

void shard_host::act(const program::action::announce_program_end& action) {
    services_.dispatchers.announce_end(action.program, action.engines);
}

void shard_host::act(const program::action::register_in_flight& action) {
    offers_[action.offer] = action.call.attempt;
    placements_.insert(action.call.attempt);
    services_.dispatchers.register_in_flight(action.backend, action.call);
}

bool shard_host::is_in_time(const base::attempt_id& attempt, base::instant start_by) {
    if (services_.context.now() <= start_by) {
        return true;
    }
    feed(program::event::start_expired{attempt});
    return false;
}

void shard_host::act(const program::action::start_model_attempt& action) {
    when_leading(action.confirm, [this, action] {
        if (is_in_time(action.attempt, action.start_by)) {
            models_->start(action);
        }
    });
}

void shard_host::act(const program::action::resume_model_attempt& action) {
    models_->resume(action);
}

void shard_host::act(const program::action::cancel_model_attempt& action) {
    models_->cancel(action);
}

void shard_host::act(const program::action::start_tool_attempt& action) {
    when_leading(action.confirm, [this, action] {
        if (is_in_time(action.attempt, action.start_by)) {
            tools_->start(action);
        }
    });
}

void shard_host::act(const program::action::cancel_tool_attempt& action) {
    tools_->cancel(action);
}

void shard_host::act(const program::action::query_tool_attempt& action) {
    tools_->query(action);
}

void shard_host::act(const program::action::release_cache& action) {
    models_->release_cache(action);
}

void shard_host::act(const program::action::send_to_owner& action) {
    when_leading(action.confirm, [this, action] {
        gateway::program_route_callbacks callbacks;
        callbacks.on_done = [this, exchange =
                                       action.exchange](absl::StatusOr<wire::program_reply> reply) {
            const auto route = exchanges_.extract(exchange);
            feed(program::event::owner_answered{exchange, std::move(reply)});
        };
        exchanges_[action.exchange] =
            services_.router.start(action.request, exchange_timeout, std::move(callbacks));
    });
}

void shard_host::act(const program::action::read_retained& action) {
    const std::uint64_t token = ++last_token_;
    retained_reads_[token] = action.program;
    journal_->feed(journal::read_retained{token, action.key_prefix});
}

void shard_host::act(const program::action::drop_retained& action) {
    dropped_prefixes_.push_back(action.key_prefix);
}

void shard_host::act(const program::action::store_snapshot& action) {
    base::log_index index;
    while (!appended_.empty() && appended_.front().sequence <= action.through) {
        index = appended_.front().index;
        appended_.pop_front();
    }
    if (index.value() > 0) {
        journal_->feed(journal::snapshot_taken{index, action.payload});
    }
}

void shard_host::act(const program::action::journal_unusable& action) {
    base::log(base::log_level::error, "journal_unusable",
              {{"shard", shard_.value()}, {"error", base::log_fields(action.status)}});
    services_.context.loop.post([this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            resign();
        }
    });
}

}  // namespace pearbarrow::node
