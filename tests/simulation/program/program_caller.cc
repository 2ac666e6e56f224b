#include "program_caller.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::simulation {

namespace {

constexpr base::milliseconds reply_timeout{4'000};
constexpr std::uint64_t max_think_us = 400'000;
constexpr std::uint64_t call_deadline_ms = 15'000;

/// Returns whether the same numbered request may be sent again after this error.
bool is_retryable(const std::string& reason) {
    return reason == "owner_lost" || reason == "not_owner" || reason == "no_quorum" ||
           reason == "call_number_gap" || reason == "timed_out";
}

bool is_definite(const std::string& reason) {
    return reason != "owner_lost" && reason != "no_quorum" && reason != "timed_out";
}

wire::call_body random_model_call(program_world& world, const base::program_id& program) {
    constexpr std::uint64_t max_tokens = 20;
    wire::call_body body;
    const std::string content =
        fmt::format("{} says {}", program.value(), world.random.below(1'000'000));
    body.model =
        wire::model_call{.model = base::model_name("model"),
                         .new_messages = {{.role = "user", .content = content, .name = {}}},
                         .max_output_tokens = 1 + world.random.below(max_tokens),
                         .parameters_json = {}};
    return body;
}

wire::call_body random_tool_call(program_world& world, const base::program_id& program) {
    static const std::vector<std::string> names{"full", "remembers", "none"};
    constexpr std::uint64_t max_cost = 60;
    wire::call_body body;
    wire::tool_call call;
    call.tool = base::tool_name(names[world.random.below(names.size())]);
    call.arguments_json = fmt::format("{} {}", program.value(), world.random.hex_id());
    call.repeatable = world.random.chance(0.3);
    call.declared_cost = world.random.below(max_cost);
    world.tool_bodies[call.arguments_json] = call;
    body.tool = call;
    return body;
}

}  // namespace

program_plan random_plan(program_world& world, const base::program_id& program,
                         bool may_have_child) {
    constexpr std::uint64_t max_calls = 10;
    constexpr std::uint64_t calls_to_spend_all = 40;
    constexpr std::uint64_t tight_budget = 400;
    constexpr std::uint64_t wide_budget = 4'000;
    constexpr std::uint64_t min_budget = 100;
    base::random_source& random = world.random;
    program_plan plan;
    plan.program = program;
    plan.tenant = base::tenant_id(random.chance(0.5) ? "cellar" : "market");
    plan.budget = min_budget + random.below(random.chance(0.5) ? tight_budget : wide_budget);
    const bool spends_all = random.chance(0.15);
    const std::uint64_t calls = spends_all ? calls_to_spend_all : 1 + random.below(max_calls);
    for (std::uint64_t i = 0; i < calls; ++i) {
        const bool tool = random.chance(spends_all ? 0.9 : 0.4);
        plan.calls.push_back(tool ? random_tool_call(world, program)
                                  : random_model_call(world, program));
    }
    plan.window = 1 + random.below(3);
    plan.cancel_chance = random.chance(0.3) ? 0.2 : 0;
    plan.twice_chance = random.chance(0.5) ? 0.3 : 0;
    if (may_have_child && random.chance(0.4)) {
        plan.child = std::make_shared<program_plan>(
            random_plan(world, base::program_id(program.value() + "c"), false));
        plan.child->tenant = plan.tenant;
        plan.child->budget = 1 + random.below(plan.budget);
        plan.wait_for_child = random.chance(0.7);
        plan.child->parent = wire::parent_reference{program, base::call_number(1)};
    }
    return plan;
}

program_caller::program_caller(program_world& world, program_plan plan)
    : world_(world), plan_(std::move(plan)) {}

wire::program_request program_caller::blank() const {
    wire::program_request request;
    request.tenant = plan_.tenant;
    request.program = plan_.program;
    return request;
}

call_replies& program_caller::replies(std::uint64_t index) {
    return world_.history.calls[{plan_.program, base::call_number(index + 1)}];
}

void program_caller::persist(wire::program_request request,
                             std::function<void(const absl::StatusOr<wire::program_reply>&)> done) {
    const auto over = std::make_shared<bool>(false);
    const auto again = [self = shared_from_this(), request, done] { self->persist(request, done); };
    world_.queue.after(reply_timeout, [over, again] {
        if (!std::exchange(*over, true)) {
            again();
        }
    });
    world_.send(request,
                {[](const wire::reply_part&) {},
                 [self = shared_from_this(), over, again, done](const auto& reply) {
                     if (std::exchange(*over, true)) {
                         return;
                     }
                     if (!reply.ok() && is_retryable(base::details_of(reply.status()).reason)) {
                         self->world_.queue.after(self->world_.network_delay(), again);
                         return;
                     }
                     done(reply);
                 }});
}

void program_caller::start() {
    ++world_.running_callers;
    open();
}

void program_caller::open() {
    wire::program_request request = blank();
    request.open = wire::open_program_request{
        .program_class = "class", .token_budget = plan_.budget, .parent = plan_.parent};
    persist(request, [self = shared_from_this()](const auto& reply) {
        if (!reply.ok()) {
            self->finish();
            return;
        }
        const program_plan& plan = self->plan_;
        opened_program opened{.budget = plan.budget, .parent = {}, .tenant = plan.tenant};
        if (plan.parent) {
            opened.parent = plan.parent->program;
        }
        self->world_.history.programs[plan.program] = opened;
        self->submit_window();
    });
}

void program_caller::submit_window() {
    if (window_begin_ > 0 && plan_.child && !child_opened_) {
        open_child();
        if (plan_.wait_for_child) {
            return;
        }
    }
    if (window_begin_ >= plan_.calls.size() || out_of_budget_) {
        read_history();
        return;
    }
    window_end_ = std::min<std::uint64_t>(window_begin_ + plan_.window, plan_.calls.size());
    for (std::uint64_t index = window_begin_; index < window_end_; ++index) {
        concluded_[index] = false;
        world_.queue.after(base::microseconds(world_.random.below(max_think_us)),
                           [self = shared_from_this(), index] { self->submit(index); });
    }
}

void program_caller::submit(std::uint64_t index) {
    replies(index).body = plan_.calls[index];
    send_submit(index);
    if (world_.random.chance(plan_.twice_chance)) {
        send_submit(index);
    }
    if (world_.random.chance(plan_.cancel_chance)) {
        cancel_later(index);
    }
    probe();
}

void program_caller::send_submit(std::uint64_t index) {
    if (concluded_[index]) {
        return;
    }
    const auto reader = std::make_shared<reading>(latest_[index]);
    wire::program_request request = blank();
    request.submit = wire::submit_call_request{.number = base::call_number(index + 1),
                                               .body = plan_.calls[index],
                                               .stream = true,
                                               .deadline_ms = call_deadline_ms,
                                               .last_event_id = reader->last_event_id};
    ++replies(index).requests;
    // Set by the reply or by the timer, so that the request is repeated at most once.
    const auto settled = std::make_shared<bool>(false);
    world_.queue.after(reply_timeout + base::microseconds(world_.random.below(max_think_us)),
                       [self = shared_from_this(), index, settled] {
                           if (!std::exchange(*settled, true)) {
                               self->send_submit(index);
                           }
                       });
    world_.send(request, {[self = shared_from_this(), index, reader](const wire::reply_part& part) {
                              reader->text = part.restart ? part.text : reader->text + part.text;
                              reader->last_event_id = part.event_id;
                              self->latest_[index] = *reader;
                          },
                          [self = shared_from_this(), index, reader, settled](const auto& reply) {
                              const bool repeated = std::exchange(*settled, true);
                              self->on_reply(index, *reader, reply, repeated);
                          }});
}

void program_caller::on_reply(std::uint64_t index, const reading& reader,
                              const absl::StatusOr<wire::program_reply>& reply, bool repeated) {
    if (reply.ok()) {
        on_success(index, reader, *reply->call);
        return;
    }
    const base::error_details details = base::details_of(reply.status());
    if (is_definite(details.reason)) {
        ++replies(index).definite;
        replies(index).errors.push_back({details.reason, details.was_executed});
    }
    if (is_retryable(details.reason)) {
        if (repeated) {
            return;
        }
        world_.queue.after(base::microseconds(world_.random.below(max_think_us)),
                           [self = shared_from_this(), index] { self->send_submit(index); });
        return;
    }
    out_of_budget_ = out_of_budget_ || details.reason == "budget_exhausted";
    conclude(index);
}

void program_caller::on_success(std::uint64_t index, const reading& reader,
                                const wire::call_result& result) {
    call_replies& known = replies(index);
    ++known.definite;
    known.successes.push_back(result);
    known.streamed.push_back(reader.text);
    if (!known.first_success) {
        known.first_success = world_.queue.now();
    }
    conclude(index);
}

void program_caller::conclude(std::uint64_t index) {
    if (std::exchange(concluded_[index], true)) {
        return;
    }
    for (std::uint64_t i = window_begin_; i < window_end_; ++i) {
        if (!concluded_[i]) {
            return;
        }
    }
    window_begin_ = window_end_;
    submit_window();
}

void program_caller::cancel_later(std::uint64_t index) {
    world_.queue.after(base::microseconds(world_.random.below(max_think_us)),
                       [self = shared_from_this(), index] {
                           wire::program_request request = self->blank();
                           request.cancel = wire::cancel_call_request{base::call_number(index + 1)};
                           self->world_.send(request, {[](const auto&) {}, [](const auto&) {}});
                       });
}

void program_caller::probe() {
    wire::program_request request = blank();
    request.tenant = base::tenant_id("rival");
    request.history = wire::get_history_request{};
    world_.send(request, {[](const auto&) {},
                          [self = shared_from_this()](const auto& reply) {
                              const std::string reason =
                                  reply.ok() ? "" : base::details_of(reply.status()).reason;
                              const bool hidden =
                                  reason == "program_not_found" || is_retryable(reason);
                              self->world_.history.leaks += hidden ? 0 : 1;
                          }});
}

void program_caller::open_child() {
    child_opened_ = true;
    const auto child = std::make_shared<program_caller>(world_, *plan_.child);
    if (plan_.wait_for_child) {
        child->when_done([self = shared_from_this()] { self->submit_window(); });
    }
    child->start();
}

void program_caller::finish() {
    --world_.running_callers;
    if (done_) {
        done_();
    }
}

void program_caller::read_history() {
    wire::program_request request = blank();
    request.history = wire::get_history_request{};
    persist(request, [self = shared_from_this()](const auto& reply) {
        if (reply.ok()) {
            self->world_.history.histories[self->plan_.program] = reply->history->messages;
        }
        self->end();
    });
}

void program_caller::end() {
    wire::program_request request = blank();
    request.end = wire::end_program_request{};
    persist(request, [self = shared_from_this()](const auto& reply) {
        self->world_.history.programs[self->plan_.program].ended = reply.ok();
        self->finish();
    });
}

}  // namespace pearbarrow::simulation
