#include "pearbarrow/bench/faults_backends.h"

#include <algorithm>
#include <memory>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/tokens.h"

namespace pearbarrow::bench::faults {

namespace event = program::event;

namespace {

constexpr std::uint64_t longest_delay_us = 30'000;
constexpr std::uint64_t longest_token_us = 20'000;
constexpr std::uint64_t longest_tool_us = 300'000;
constexpr base::seconds hanging{30};
constexpr double tool_error_chance = 0.05;
constexpr double tool_refusal_chance = 0.05;

std::uint64_t tokens_of(const std::vector<wire::chat_message>& messages) {
    std::uint64_t tokens = base::response_header_tokens;
    for (const wire::chat_message& message : messages) {
        tokens += base::message_overhead_tokens + base::estimate_tokens(message.content);
    }
    return tokens;
}

std::uint64_t digest_of(const std::vector<wire::chat_message>& messages) {
    std::vector<backend::chat_message> plain;
    plain.reserve(messages.size());
    for (const wire::chat_message& message : messages) {
        plain.push_back({message.role, message.content});
    }
    return emulator::conversation_digest(plain);
}

absl::Status engine_error(std::string_view reason, base::executed executed) {
    return base::make_error(
        absl::StatusCode::kUnavailable, reason,
        {.step = "generate", .reason = std::string(reason), .was_executed = executed});
}

std::string output_of(const std::string& key) {
    return "output of " + key;
}

}  // namespace

void ordered_link::send(event_queue::task arrive) {
    last_ = std::max(last_ + base::microseconds(1),
                     queue_.now() + base::microseconds(random_.below(longest_delay_us)));
    queue_.at(last_, std::move(arrive));
}

std::shared_ptr<ordered_link> model_engine::new_link() {
    return std::make_shared<ordered_link>(queue_, random_);
}

void model_engine::answer(receiver to, program::shard_event event) {
    const int copies = random_.chance(faults_.repeat_answer) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        queue_.after(base::microseconds(random_.below(longest_delay_us)),
                     [to, event] { to(event); });
    }
}

void model_engine::start(const program::action::start_model_attempt& request, receiver to) {
    const std::uint64_t epoch = epoch_;
    queue_.after(base::microseconds(random_.below(longest_delay_us)), [this, request, to, epoch] {
        if (epoch != epoch_) {
            answer(to, event::model_lost{request.attempt});
        } else if (refused_.contains(request.attempt)) {
            answer(to, event::model_failed{request.attempt,
                                           engine_error("attempt_cancelled", base::executed::no),
                                           std::nullopt});
        } else if (streams_.contains(request.attempt)) {
            attach(request.attempt, 1, to);
        } else {
            run(request, to);
        }
    });
}

void model_engine::run(const program::action::start_model_attempt& request, receiver to) {
    stream started;
    started.run = history_.model_runs.size();
    started.program = request.program;
    started.length = 1 + base::stable_hash(request.attempt.value()) % request.max_output_tokens;
    started.text = emulator::answer_text(digest_of(request.messages), request.attempt);
    started.to = to;
    started.link = new_link();
    model_run run;
    run.call = {request.program, request.call};
    run.attempt = request.attempt;
    run.backend = id_;
    run.messages = request.messages;
    run.prompt_tokens = tokens_of(request.messages);
    run.started = queue_.now();
    history_.model_runs.push_back(std::move(run));
    pinned_.insert(request.program);
    streams_[request.attempt] = std::move(started);
    produce(request.attempt, epoch_);
}

void model_engine::produce(const base::attempt_id& attempt, std::uint64_t epoch) {
    queue_.after(base::microseconds(random_.below(longest_token_us)), [this, attempt, epoch] {
        const auto found = streams_.find(attempt);
        if (epoch != epoch_ || found == streams_.end() || found->second.cancelled) {
            return;
        }
        stream& of = found->second;
        model_run& run = history_.model_runs[of.run];
        ++of.produced;
        run.text += of.text.token(of.produced);
        ++run.generated_tokens;
        pump(attempt);
        if (of.produced < of.length) {
            produce(attempt, epoch);
        }
    });
}

void model_engine::pump(const base::attempt_id& attempt) {
    stream& of = streams_.at(attempt);
    if (!of.to) {
        return;
    }
    const receiver to = of.to;
    while (of.next_to_send <= of.produced) {
        if (random_.chance(faults_.break_stream)) {
            of.link->send([to, attempt] { to(event::model_lost{attempt}); });
            of.to = nullptr;
            return;
        }
        const event::model_part part{attempt, of.next_to_send, of.text.token(of.next_to_send)};
        const int copies = random_.chance(faults_.repeat_part) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            of.link->send([to, part] { to(part); });
        }
        ++of.next_to_send;
    }
    if (of.produced == of.length) {
        const event::model_finished finished{attempt, usage_of(of), "stop"};
        of.link->send([to, finished] { to(finished); });
        of.to = nullptr;
    }
}

wire::token_usage model_engine::usage_of(const stream& of) const {
    return {.prompt_tokens = history_.model_runs[of.run].prompt_tokens,
            .cached_tokens = 0,
            .generated_tokens = of.produced};
}

void model_engine::attach(const base::attempt_id& attempt, std::uint64_t from, receiver to) {
    stream& of = streams_.at(attempt);
    if (of.cancelled) {
        answer(to,
               event::model_failed{attempt, engine_error("attempt_cancelled", base::executed::yes),
                                   usage_of(of)});
        return;
    }
    of.to = to;
    of.link = new_link();
    of.next_to_send = from;
    pump(attempt);
}

void model_engine::resume(const base::attempt_id& attempt, std::uint64_t from, receiver to) {
    queue_.after(base::microseconds(random_.below(longest_delay_us)), [this, attempt, from, to] {
        if (!streams_.contains(attempt)) {
            answer(to, event::model_failed{attempt,
                                           engine_error("stream_unknown", base::executed::unknown),
                                           std::nullopt});
            return;
        }
        attach(attempt, from, to);
    });
}

void model_engine::cancel(const base::attempt_id& attempt, receiver to) {
    queue_.after(base::microseconds(random_.below(longest_delay_us)), [this, attempt, to] {
        const auto found = streams_.find(attempt);
        program::shard_event outcome;
        if (found == streams_.end()) {
            refused_.insert(attempt);
            outcome = event::model_failed{
                attempt, engine_error("attempt_unknown", base::executed::unknown), std::nullopt};
        } else if (found->second.produced == found->second.length) {
            outcome = event::model_failed{attempt, engine_error("ended", base::executed::yes),
                                          usage_of(found->second)};
        } else {
            found->second.cancelled = true;
            found->second.to = nullptr;
            outcome = event::model_finished{attempt, usage_of(found->second), "cancelled"};
        }
        if (random_.chance(faults_.lose_answer)) {
            outcome = event::model_lost{attempt};
        }
        answer(to, outcome);
    });
}

void model_engine::release(const base::program_id& program, receiver to) {
    queue_.after(base::microseconds(random_.below(longest_delay_us)), [this, program, to] {
        if (random_.chance(faults_.lose_answer)) {
            return;
        }
        pinned_.erase(program);
        if (!random_.chance(faults_.lose_answer)) {
            to(event::cache_released{program, {}});
        }
    });
}

void model_engine::crash() {
    ++epoch_;
    for (const auto& [attempt, lost] : streams_) {
        if (lost.to) {
            answer(lost.to, event::model_lost{attempt});
        }
    }
    streams_.clear();
    refused_.clear();
    pinned_.clear();
}

std::set<base::program_id> model_engine::holdings() const {
    return pinned_;
}

void model_tool::answer(receiver to, program::shard_event event) {
    const int copies = random_.chance(faults_.repeat_answer) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        queue_.after(base::microseconds(random_.below(longest_delay_us)),
                     [to, event] { to(event); });
    }
}

void model_tool::invoke(const program::action::start_tool_attempt& request,
                        const wire::tool_call& body, receiver to) {
    queue_.after(base::microseconds(random_.below(longest_delay_us)), [this, request, body, to] {
        const std::string& key = request.idempotency_key;
        const auto refuse = [&] {
            answer(to, event::tool_failed{request.attempt,
                                          engine_error("tool_refused", base::executed::no)});
        };
        const bool remembers = memory_ == tool_memory::full;
        const bool is_known = remembers && !refused_.contains(key) && keys_.contains(key);
        if (is_known) {
            answer(to, event::tool_finished{request.attempt, output_of(key)});
        } else if ((remembers && refused_.contains(key)) || random_.chance(tool_refusal_chance)) {
            refuse();
        } else {
            run(request, body, to);
        }
    });
}

void model_tool::run(const program::action::start_tool_attempt& request,
                     const wire::tool_call& body, receiver to) {
    const std::string key = request.idempotency_key;
    keys_.emplace(key, key_state::running);
    history_.tool_runs.push_back({.call = {request.program, request.call},
                                  .attempt = request.attempt,
                                  .backend = id_,
                                  .repeatable = body.repeatable,
                                  .cost = body.declared_cost,
                                  .started = queue_.now()});
    const base::microseconds duration = random_.chance(faults_.hang)
                                            ? base::microseconds(hanging)
                                            : base::microseconds(random_.below(longest_tool_us));
    queue_.after(duration, [this, key, to, attempt = request.attempt] {
        keys_[key] = key_state::ran;
        if (random_.chance(faults_.lose_answer)) {
            answer(to, event::tool_lost{attempt});
        } else if (random_.chance(tool_error_chance)) {
            answer(to,
                   event::tool_failed{attempt, engine_error("tool_failed", base::executed::yes)});
        } else {
            answer(to, event::tool_finished{attempt, output_of(key)});
        }
    });
}

void model_tool::query(const program::action::query_tool_attempt& request, receiver to) {
    queue_.after(base::microseconds(random_.below(longest_delay_us)), [this, request, to] {
        event::tool_status status{.attempt = request.attempt, .output = {}, .error = {}};
        const auto known = keys_.find(request.idempotency_key);
        if (random_.chance(faults_.lose_answer)) {
            status.state = event::tool_state::unreachable;
        } else if (memory_ == tool_memory::none) {
            status.state = event::tool_state::cannot_tell;
        } else if (known != keys_.end()) {
            const bool over = known->second == key_state::ran;
            status.state = over ? event::tool_state::ran : event::tool_state::running;
            status.output = over ? output_of(request.idempotency_key) : "";
        } else if (memory_ == tool_memory::full) {
            refused_.insert(request.idempotency_key);
            status.state = event::tool_state::never_seen_and_fenced;
        } else {
            status.state = event::tool_state::never_seen;
        }
        answer(to, status);
    });
}

}  // namespace pearbarrow::bench::faults
