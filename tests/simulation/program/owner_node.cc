#include <utility>

#include "program_world.h"

namespace pearbarrow::simulation {

namespace action = program::action;
namespace event = program::event;

namespace {

constexpr base::milliseconds tick_interval{50};
constexpr double refuse_chance = 0.01;
constexpr double lose_offer_chance = 0.05;
constexpr double pause_between_actions_chance = 0.0005;
constexpr std::uint64_t max_pause_ms = 4'000;
constexpr double repeat_message_chance = 0.3;
constexpr std::uint64_t max_repeat_delay_ms = 3'000;

absl::Status owner_lost() {
    return base::make_error(
        absl::StatusCode::kUnavailable, "connection to the owner broke",
        {.step = "route", .reason = "owner_lost", .was_executed = base::executed::unknown});
}

}  // namespace

owner_node::owner_node(program_world& world, std::size_t shard, std::uint64_t term)
    : world_(world), shard_(shard), term_(term), owner_(world.options.owner) {}

void owner_node::deliver(program::shard_event event) {
    if (!alive_) {
        return;
    }
    inbox_.push_back(std::move(event));
    work();
}

void owner_node::work() {
    while (alive_ && world_.queue.now() >= paused_until_) {
        if (!outbox_.empty()) {
            const program::shard_action next = std::move(outbox_.front());
            outbox_.pop_front();
            perform(next);
            if (world_.random.chance(pause_between_actions_chance)) {
                pause(world_.queue.now() + base::milliseconds(world_.random.below(max_pause_ms)));
            }
            continue;
        }
        if (inbox_.empty()) {
            return;
        }
        const program::shard_event next = std::move(inbox_.front());
        inbox_.pop_front();
        for (program::shard_action& produced : owner_.apply(next, world_.queue.now())) {
            outbox_.push_back(std::move(produced));
        }
    }
}

void owner_node::pause(base::instant until) {
    paused_until_ = std::max(paused_until_, until);
    world_.queue.at(paused_until_, [self = shared_from_this()] { self->work(); });
}

void owner_node::crash() {
    alive_ = false;
    for (const auto& [token, caller] : std::exchange(callers_, {})) {
        world_.queue.after(world_.network_delay(),
                           [caller = caller] { caller.on_done(owner_lost()); });
    }
}

void owner_node::keep_ticking() {
    if (!alive_) {
        return;
    }
    deliver(event::tick{});
    world_.queue.after(tick_interval, [self = shared_from_this()] { self->keep_ticking(); });
}

void owner_node::request(const wire::program_request& request, reply_callbacks callbacks) {
    if (!alive_) {
        callbacks.on_done(owner_lost());
        return;
    }
    const program::reply_token token(++last_token_);
    callers_[token] = std::move(callbacks);
    deliver(event::request_received{token, request});
}

receiver owner_node::receive() {
    return [self = shared_from_this()](const program::shard_event& event) { self->deliver(event); };
}

void owner_node::lose_ownership() {
    deliver(event::ownership_lost{});
}

void owner_node::if_leader(const action::leadership& known, std::function<void()> act) {
    const bool fresh = world_.queue.now() - known.known_at <= known.trusted_for;
    if (fresh || !world_.options.confirm_leadership) {
        act();
        return;
    }
    world_.journals[shard_]->confirm(term_,
                                     [self = shared_from_this(), act = std::move(act)](bool leads) {
                                         if (leads && self->alive_) {
                                             act();
                                         } else {
                                             self->lose_ownership();
                                         }
                                     });
}

void owner_node::finish(program::reply_token token,
                        const absl::StatusOr<wire::program_reply>& reply) {
    const auto found = callers_.find(token);
    if (found == callers_.end()) {
        return;
    }
    const reply_callbacks caller = std::move(found->second);
    callers_.erase(found);
    world_.queue.after(world_.network_delay(), [caller, reply] { caller.on_done(reply); });
}

void owner_node::perform(const program::shard_action& action) {
    std::visit([this](const auto& specific) { perform(specific); }, action);
}

void owner_node::perform(const action::append_record& action) {
    world_.journals[shard_]->append(
        term_, {action.payload, action.retention_key},
        [self = shared_from_this(), sequence = action.sequence](bool durable) {
            if (durable) {
                self->deliver(event::records_committed{sequence});
            } else {
                self->lose_ownership();
            }
        });
}

void owner_node::perform(const action::reply_part& action) {
    // Parts and the final reply share a connection, so the final reply arrives last.
    const auto caller = callers_.find(action.token);
    if (caller != callers_.end()) {
        caller->second.on_part(action.part);
    }
}

void owner_node::perform(const action::reply_final& action) {
    const auto send = [self = shared_from_this(), action] {
        self->finish(action.token, action.reply);
    };
    if (action.confirm) {
        if_leader(*action.confirm, send);
        return;
    }
    send();
}

void owner_node::perform(const action::reply_error& action) {
    const auto send = [self = shared_from_this(), action] {
        self->finish(action.token, action.status);
    };
    if (action.confirm) {
        if_leader(*action.confirm, send);
        return;
    }
    send();
}

void owner_node::perform(const action::offer_call& action) {
    program::shard_event reply;
    if (world_.random.chance(lose_offer_chance)) {
        reply = event::placement_lost{action.offer};
    } else if (world_.random.chance(refuse_chance)) {
        reply = event::placement_refused{
            action.offer,
            base::make_error(absl::StatusCode::kResourceExhausted, "no room",
                             {.step = "place", .reason = "no_room"}),
            "refused"};
    } else {
        const base::backend_id backend =
            action.call.tool ? world_.tool_for(*action.call.tool) : world_.any_engine();
        reply = event::placement_granted{action.offer, backend, "granted"};
    }
    world_.queue.after(world_.network_delay(),
                       [self = shared_from_this(), reply] { self->deliver(reply); });
}

void owner_node::perform(const action::start_model_attempt& action) {
    if_leader(action.confirm, [self = shared_from_this(), action] {
        self->world_.engines.at(action.engine)->start(action, self->receive());
    });
}

void owner_node::perform(const action::resume_model_attempt& action) {
    world_.engines.at(action.engine)->resume(action.attempt, action.from_index, receive());
}

void owner_node::perform(const action::cancel_model_attempt& action) {
    world_.engines.at(action.engine)->cancel(action.attempt, receive());
}

void owner_node::perform(const action::start_tool_attempt& action) {
    if_leader(action.confirm, [self = shared_from_this(), action] {
        self->world_.tools.at(action.backend)
            ->invoke(action, self->world_.tool_bodies.at(action.arguments_json), self->receive());
    });
}

void owner_node::perform(const action::query_tool_attempt& action) {
    world_.tools.at(action.backend)->query(action, receive());
}

void owner_node::perform(const action::release_cache& action) {
    world_.engines.at(action.backend)
        ->release(action.program, [self = shared_from_this(), action](const auto&) {
            self->deliver(event::cache_released{action.program, action.backend});
        });
}

void owner_node::perform(const action::send_to_owner& action) {
    if_leader(action.confirm, [self = shared_from_this(), action] {
        const reply_callbacks callbacks{
            [](const wire::reply_part&) {},
            [self, action](const absl::StatusOr<wire::program_reply>& reply) {
                self->deliver(event::owner_answered{action.exchange, reply});
            }};
        self->world_.send(action.request, callbacks);
        if (self->world_.random.chance(repeat_message_chance)) {
            self->world_.queue.after(
                base::milliseconds(self->world_.random.below(max_repeat_delay_ms)),
                [self, action, callbacks] { self->world_.send(action.request, callbacks); });
        }
    });
}

void owner_node::perform(const action::read_retained& action) {
    world_.queue.after(world_.network_delay(), [self = shared_from_this(), action] {
        self->deliver(event::retained_read{
            action.program, self->world_.journals[self->shard_]->retained(action.key_prefix)});
    });
}

void owner_node::perform(const action::drop_retained& action) {
    world_.journals[shard_]->drop(action.key_prefix);
}

void owner_node::perform(const action::store_snapshot& action) {
    world_.journals[shard_]->snapshot(term_, action.through, action.payload);
}

void owner_node::perform(const action::journal_unusable& action) {
    ++world_.history.unusable_journals;
}

}  // namespace pearbarrow::simulation
