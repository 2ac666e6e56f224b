/// How a simulated shard host carries out what its programs' owner asks for.
#include <utility>
#include <variant>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/bench/faults_node.h"
#include "pearbarrow/bench/faults_route.h"
#include "pearbarrow/bench/faults_shard_host.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench::faults {

namespace action = program::action;
namespace event = program::event;

namespace {

constexpr base::milliseconds exchange_timeout{5'000};
constexpr double repeat_message_chance = 0.2;
constexpr std::int64_t longest_repeat_us = 3'000'000;

absl::Status timed_out() {
    return base::make_error(
        absl::StatusCode::kDeadlineExceeded, "no answer from the owner",
        {.step = "route", .reason = "timed_out", .was_executed = base::executed::unknown});
}

}  // namespace

void sim_shard_host::perform(const program::shard_action& action) {
    std::visit([this](const auto& item) { act(item); }, action);
}

void sim_shard_host::act(const action::append_record& action) {
    journal::append append;
    append.token = action.sequence;
    append.payload = action.payload;
    append.retention_key = action.retention_key;
    append.dropped_prefixes = std::exchange(dropped_prefixes_, {});
    feed_leader(append);
}

void sim_shard_host::act(const action::reply_part& action) {
    const auto found = routes_.find(action.token);
    if (found != routes_.end()) {
        found->second->part(action.part);
    }
}

void sim_shard_host::act(const action::reply_final& action) {
    const auto respond = [this, action] { answer(action.token, action.reply); };
    if (action.confirm) {
        when_leading(*action.confirm, respond);
    } else {
        respond();
    }
}

void sim_shard_host::act(const action::reply_error& action) {
    const auto respond = [this, action] { answer(action.token, action.status); };
    if (action.confirm) {
        when_leading(*action.confirm, respond);
    } else {
        respond();
    }
}

bool sim_shard_host::is_in_time(const base::attempt_id& attempt, base::instant start_by) {
    if (node_.now() <= start_by) {
        return true;
    }
    receive()(event::start_expired{attempt});
    return false;
}

void sim_shard_host::act(const action::start_model_attempt& action) {
    when_leading(action.confirm, [this, action] {
        if (!is_in_time(action.attempt, action.start_by)) {
            return;
        }
        world_.log(fmt::format("{} starts {} at {}", node_.process(), action.attempt.value(),
                               action.engine.value()));
        world_.engines.at(action.engine)->start(action, receive());
    });
}

void sim_shard_host::act(const action::resume_model_attempt& action) {
    world_.engines.at(action.engine)->resume(action.attempt, action.from_index, receive());
}

void sim_shard_host::act(const action::cancel_model_attempt& action) {
    world_.log(fmt::format("{} cancels {}", node_.process(), action.attempt.value()));
    world_.engines.at(action.engine)->cancel(action.attempt, receive());
}

void sim_shard_host::act(const action::start_tool_attempt& action) {
    when_leading(action.confirm, [this, action] {
        if (!is_in_time(action.attempt, action.start_by)) {
            return;
        }
        world_.log(fmt::format("{} starts {} at tool {}", node_.process(), action.attempt.value(),
                               action.backend.value()));
        world_.tools.at(action.backend)
            ->invoke(action, world_.tool_bodies.at(action.arguments_json), receive());
    });
}

void sim_shard_host::act(const action::query_tool_attempt& action) {
    world_.tools.at(action.backend)->query(action, receive());
}

void sim_shard_host::act(const action::release_cache& action) {
    world_.engines.at(action.backend)
        ->release(action.program, [to = receive(), action](const program::shard_event&) {
            to(event::cache_released{action.program, action.backend});
        });
}

void sim_shard_host::act(const action::send_to_owner& action) {
    when_leading(action.confirm, [this, action] {
        const receiver to = receive();
        const auto answered = [to, exchange = action.exchange](const auto& reply) {
            to(event::owner_answered{exchange, reply});
        };
        const answer_callbacks callbacks{[](const wire::reply_part&) {}, answered};
        const auto send = [this, action, callbacks] {
            world_.route(node_.number(), action.request, callbacks);
        };
        send();
        if (world_.faulty() && world_.random.chance(repeat_message_chance)) {
            run_in_term(world_.between(0, longest_repeat_us), send);
        }
        run_in_term(exchange_timeout,
                    [answered] { answered(absl::StatusOr<wire::program_reply>(timed_out())); });
    });
}

void sim_shard_host::act(const action::read_retained& action) {
    const std::uint64_t token = ++last_token_;
    retained_reads_[token] = action.program;
    feed_leader(journal::read_retained{token, action.key_prefix});
}

void sim_shard_host::act(const action::drop_retained& action) {
    dropped_prefixes_.push_back(action.key_prefix);
}

void sim_shard_host::act(const action::store_snapshot& action) {
    base::log_index index;
    while (!appended_.empty() && appended_.front().sequence <= action.through) {
        index = appended_.front().index;
        appended_.pop_front();
    }
    if (index.value() > 0) {
        feed_leader(journal::snapshot_taken{index, action.payload});
    }
}

void sim_shard_host::act(const action::journal_unusable& action) {
    ++world_.history.unusable_journals;
    world_.log(fmt::format("{}: journal unusable: {}", node_.process(),
                           std::string(action.status.message())));
    run_in_term(base::microseconds(0), [this] { resign(); });
}

}  // namespace pearbarrow::bench::faults
