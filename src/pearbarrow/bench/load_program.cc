#include "pearbarrow/bench/load_program.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/bench/history.h"
#include "pearbarrow/emulator/answer_text.h"

namespace pearbarrow::bench {
namespace {

using nlohmann::json;

constexpr int most_tries = 200;
constexpr base::milliseconds pause_between_tries{150};
/// Enough for a call or two of the usual shape.
constexpr std::uint64_t tight_budget = 350;
/// An abandoned program is ended by its owner after this; longer than any pause of a living one.
constexpr base::milliseconds idle_limit{8'000};

}  // namespace

load_program::load_program(load_context& context, const load_shape& shape, load_tenant tenant,
                           load_tenant stranger, done_handler done)
    : context_(context),
      shape_(shape),
      tenant_(std::move(tenant)),
      stranger_(std::move(stranger)),
      done_(std::move(done)) {}

void load_program::start() {
    started_at_ = context_.clock.now();
    open_key_ = context_.random.hex_id();
    is_tight_ = context_.random.chance(shape_.tight_budget_share);
    outcome_.abandoned = context_.random.chance(shape_.abandoned_share);
    token_budget_ = is_tight_ ? tight_budget : shape_.token_budget;
    const std::uint64_t span = shape_.most_turns - shape_.fewest_turns + 1;
    calls_left_ = 2 * (shape_.fewest_turns + context_.random.below(span)) - 1;
    open();
}

void load_program::open() {
    const json body = {{"program_class", shape_.program_class},
                       {"token_budget", token_budget_},
                       {"limits", {{"idle_ms", idle_limit.count()}}}};
    net::http_call call;
    call.method = "POST";
    call.target = "/v1/programs";
    call.headers.add("Idempotency-Key", open_key_);
    call.body = body.dump();
    fetch_anywhere(std::move(call), most_tries,
                   [this](const net::http_response& response) { opened(response); });
}

void load_program::opened(const net::http_response& response) {
    const json view = json::parse(response.body, nullptr, false);
    if (response.status >= 300 || !view.is_object()) {
        outcome_.failure = fmt::format("open: {} {}", response.status, response.body);
        finish();
        return;
    }
    outcome_.opened = true;
    program_ = base::program_id(view.at("id").get<std::string>());
    context_.history.write(to_json(program_opened{.tenant = tenant_.tenant,
                                                  .program = program_,
                                                  .token_budget = token_budget_,
                                                  .at = context_.clock.unix_microseconds()}));
    next_call();
}

void load_program::next_call() {
    if (calls_left_ == 0) {
        outcome_.abandoned ? abandon() : end();
        return;
    }
    --calls_left_;
    call_ = base::call_number(call_.value() + 1);
    const bool is_model_call = calls_left_ % 2 == 0;
    const bool repeatable = is_model_call || shape_.single_run_tool.empty() ||
                            (!shape_.repeatable_tool.empty() && context_.random.chance(0.5));
    const load_request request =
        is_model_call ? model_request()
                      : tool_request(repeatable ? shape_.repeatable_tool : shape_.single_run_tool,
                                     repeatable);
    write_sent(is_model_call, repeatable);
    current_ = std::make_unique<load_call>(
        context_, request,
        [this, request](load_outcome outcome) { called(request, std::move(outcome)); });
    current_->start();
}

load_request load_program::model_request() {
    std::string question = fmt::format("turn {} of {}:", call_.value(), program_.value());
    for (std::uint64_t word = 0; word < shape_.prompt_words; ++word) {
        question += fmt::format(" w{}", context_.random.below(1000));
    }
    conversation_.push_back({.role = "user", .content = question});
    return {.api_key = tenant_.api_key,
            .program = program_,
            .call = call_,
            .body = {{"number", call_.value()},
                     {"stream", true},
                     {"deadline_ms", context_.deadline.count()},
                     {"model", shape_.model},
                     {"messages", json::array({{{"role", "user"}, {"content", question}}})},
                     {"max_output_tokens", shape_.output_tokens}}};
}

load_request load_program::tool_request(const std::string& tool, bool repeatable) {
    return {.api_key = tenant_.api_key,
            .program = program_,
            .call = call_,
            .body = {{"number", call_.value()},
                     {"stream", true},
                     {"deadline_ms", context_.deadline.count()},
                     {"tool", tool},
                     {"arguments", {{"item", context_.random.below(1000)}}},
                     {"repeatable", repeatable}}};
}

void load_program::write_sent(bool is_model_call, bool repeatable) {
    context_.history.write(to_json(call_sent{
        .program = program_,
        .call = call_,
        .at = context_.clock.unix_microseconds(),
        .is_model_call = is_model_call,
        .repeatable = repeatable,
        .conversation = is_model_call ? emulator::conversation_digest(conversation_) : 0}));
}

void load_program::called(const load_request& request, load_outcome outcome) {
    auto pause =
        base::microseconds(context_.random.below(2 * shape_.think_time.count() * 1000 + 1));
    if (outcome.answered) {
        add_to_conversation(request, outcome.output);
    } else if (outcome.may_use_next_number && repeats_left_ > 0) {
        // The refused turn is no part of the history: the next number asks anew.
        --repeats_left_;
        ++calls_left_;
        pause = outcome.next_call_after;
        if (request.body.contains("model")) {
            conversation_.pop_back();
        }
    } else {
        outcome_.all_answered = false;
        outcome_.refused_as_meant = is_tight_ && outcome.reason == "budget_exhausted" &&
                                    outcome.executed == base::executed::no;
        outcome_.failure =
            fmt::format("call {}: {} {}", call_.value(), outcome.status, outcome.reason);
        // What the model would see next is not known to this caller: the program ends here.
        calls_left_ = 0;
    }
    outcome_.calls.push_back(std::move(outcome));
    try_foreign_read();
    timer_ = context_.loop.after(pause, [this] {
        current_.reset();
        next_call();
    });
}

void load_program::add_to_conversation(const load_request& request, const std::string& output) {
    const bool is_model_call = request.body.contains("model");
    conversation_.push_back({.role = is_model_call ? "assistant" : "tool", .content = output});
}

void load_program::end() {
    net::http_call call;
    call.method = "DELETE";
    call.target = "/v1/programs/" + program_.value();
    fetch_anywhere(std::move(call), most_tries, [this](const net::http_response& response) {
        if (response.status < 300) {
            outcome_.ended = true;
            context_.history.write(to_json(
                program_ended{.program = program_, .at = context_.clock.unix_microseconds()}));
        } else {
            outcome_.failure = fmt::format("end: {} {}", response.status, response.body);
        }
        finish();
    });
}

void load_program::abandon() {
    // The owner's idle limit ends it: its memory must be given back all the same.
    context_.history.write(
        to_json(program_ended{.program = program_, .at = context_.clock.unix_microseconds()}));
    finish();
}

void load_program::try_foreign_read() {
    if (!context_.random.chance(shape_.foreign_read_share)) {
        return;
    }
    net::http_call call;
    call.server = context_.nodes[context_.random.below(context_.nodes.size())];
    call.method = "GET";
    call.target = fmt::format("/v1/programs/{}/history", program_.value());
    call.headers.add("Authorization", "Bearer " + stranger_.api_key);
    context_.client.fetch(
        std::move(call), [&context = context_, program = program_,
                          reader = stranger_.tenant](absl::StatusOr<net::http_response> response) {
            if (response.ok()) {
                context.history.write(to_json(foreign_read{.program = program,
                                                           .reader = reader,
                                                           .at = context.clock.unix_microseconds(),
                                                           .status = response->status}));
            }
        });
}

void load_program::fetch_anywhere(net::http_call call, int tries_left,
                                  std::function<void(const net::http_response&)> answered) {
    call.server = context_.nodes[context_.random.below(context_.nodes.size())];
    if (!call.headers.find("Authorization").has_value()) {
        call.headers.add("Authorization", "Bearer " + tenant_.api_key);
    }
    context_.client.fetch(call, [this, call, tries_left, answered = std::move(answered)](
                                    absl::StatusOr<net::http_response> response) mutable {
        const bool is_final = response.ok() && response->status != 503 && response->status != 429 &&
                              response->status != 504;
        if (is_final) {
            answered(*response);
            return;
        }
        if (tries_left == 0) {
            outcome_.failure = call.target + ": no node answered";
            finish();
            return;
        }
        timer_ = context_.loop.after(
            pause_between_tries, [this, call = std::move(call), tries_left, answered]() mutable {
                fetch_anywhere(std::move(call), tries_left - 1, std::move(answered));
            });
    });
}

void load_program::finish() {
    outcome_.total = context_.clock.now() - started_at_;
    const auto done = std::move(done_);
    done(std::move(outcome_));
}

}  // namespace pearbarrow::bench
