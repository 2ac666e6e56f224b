#include "pearbarrow/emulator/engine_server.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/backend/url.h"
#include "pearbarrow/base/hash.h"
#include "pearbarrow/emulator/engine_request.h"
#include "pearbarrow/emulator/http_answers.h"
#include "pearbarrow/net/server_sent_events.h"

namespace pearbarrow::emulator {
namespace {

using nlohmann::json;

constexpr base::milliseconds tick_period{1'000};
constexpr std::string_view heartbeat = ": waiting\n\n";
constexpr base::milliseconds busy_retry_after{500};

int status_of(refusal reason) {
    switch (reason) {
        case refusal::queue_full:
            return 429;
        case refusal::model_loading:
        case refusal::leaving:
            return 503;
        case refusal::model_not_loaded:
        case refusal::adapter_not_loaded:
            return 404;
        case refusal::sequence_too_long:
            return 400;
        case refusal::none:
        case refusal::attempt_cancelled:
        case refusal::attempt_already_ran:
            break;
    }
    return 409;
}

}  // namespace

engine_server::engine_server(net::event_loop& loop, const base::clock& clock,
                             engine_server_options options, history_writer& history)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      history_(history),
      model_(options_.model),
      ticker_(loop.every(tick_period, [this] { tick(); })) {}

engine_server::~engine_server() = default;

void engine_server::handle_generate(const exchange_pointer& exchange) {
    const auto request = parse_generate(exchange->request(), ++unnamed_requests_);
    if (!request.ok()) {
        respond_bad_request(*exchange, std::string(request.status().message()));
        return;
    }
    stream record;
    const generation planned = plan(*request, record);
    const start_outcome outcome = model_.start(planned, clock_.now());
    record_arrival(*request, planned, record.text, outcome);
    if (outcome.kind == start_kind::refused) {
        refuse(*exchange, outcome);
        return;
    }
    if (outcome.kind == start_kind::accepted) {
        streams_[request->generate.attempt] = std::move(record);
    }
    subscribe(request->generate.attempt, exchange, 1, request->streamed);
}

generation engine_server::plan(const engine_request& request, stream& record) const {
    const backend::generate_request& generate = request.generate;
    const std::uint64_t digest = conversation_digest(generate.messages);
    record.text = answer_text(digest, generate.attempt);
    record.model = generate.model.value();
    record.arrived_at = clock_.unix_microseconds();
    const answer_length& length = options_.answers;
    const std::uint64_t range = length.longest - std::min(length.longest, length.shortest) + 1;
    const std::uint64_t natural =
        length.shortest + base::stable_hash(generate.attempt.value(), digest) % range;
    generation planned{.attempt = generate.attempt,
                       .program = generate.program,
                       .call = generate.call,
                       .model = generate.model,
                       .adapter = generate.adapter,
                       .prompt_tokens = backend::count_prompt_tokens(generate.messages),
                       .output_tokens = std::min<std::uint64_t>(natural, generate.max_tokens),
                       .priority = generate.priority,
                       .pin_lease = generate.pin_lease};
    record.reason = natural > generate.max_tokens ? backend::finish_reason::length
                                                  : backend::finish_reason::stop;
    const std::string rendered =
        render_sequence(generate.messages, record.text.tokens(1, planned.output_tokens));
    planned.blocks = hash_blocks(model_.current_namespace(generate.adapter), rendered);
    return planned;
}

void engine_server::refuse(net::http_exchange& exchange, const start_outcome& outcome) const {
    backend::problem problem{
        .status = status_of(outcome.reason),
        .reason = std::string(to_string(outcome.reason)),
        .was_executed = outcome.has_run ? base::executed::yes : base::executed::no};
    if (problem.status == 429 || problem.status == 503) {
        problem.retry_after = busy_retry_after;
    }
    respond_problem(exchange, problem);
}

void engine_server::subscribe(const base::attempt_id& attempt, const exchange_pointer& exchange,
                              std::uint64_t from, bool streamed) {
    stream& record = streams_.at(attempt);
    const std::uint64_t id = ++next_subscriber_;
    if (streamed) {
        exchange->start_stream(200, {{"Content-Type", "text/event-stream"},
                                     {"Cache-Control", "no-store"},
                                     {std::string(backend::request_id_header), attempt.value()}});
    }
    record.subscribers[id] = {exchange, from, streamed};
    exchange->on_closed([this, attempt, id] {
        if (const auto known = streams_.find(attempt); known != streams_.end()) {
            known->second.subscribers.erase(id);
        }
    });
    deliver_to(attempt, record);
}

void engine_server::deliver() {
    for (const stream_progress& progress : model_.take_progress()) {
        stream& record = streams_.at(progress.attempt);
        if (record.first_token_at == 0 && progress.last > 0) {
            record.first_token_at = clock_.unix_microseconds();
        }
        if (progress.ended) {
            record_end(progress.attempt, record);
        }
        deliver_to(progress.attempt, record);
    }
}

void engine_server::deliver_to(const base::attempt_id& attempt, stream& record) {
    const auto view = model_.find(attempt);
    const bool ended =
        view->state == stream_state::finished || view->state == stream_state::cancelled;
    // On a copy: a write may find that the client has gone, which removes the subscriber.
    const auto targets = record.subscribers;
    for (const auto& [id, unused] : targets) {
        const auto known = record.subscribers.find(id);
        if (known == record.subscribers.end()) {
            continue;
        }
        subscriber& target = known->second;
        const exchange_pointer exchange = target.exchange;
        if (target.streamed) {
            send_tokens(attempt, record, target, view->produced);
        }
        if (!ended) {
            continue;
        }
        if (const auto last = record.subscribers.extract(id); !last.empty()) {
            send_end(attempt, record, *view, last.mapped());
        }
    }
}

void engine_server::send_tokens(const base::attempt_id& attempt, const stream& record,
                                subscriber& target, std::uint64_t last) {
    std::string events;
    for (; target.next <= last; ++target.next) {
        events += net::format_event(
            {.id = std::to_string(target.next),
             .event = {},
             .data = backend::chunk_body(attempt.value(), record.model,
                                         {.text = record.text.token(target.next)})});
    }
    if (!events.empty()) {
        const exchange_pointer exchange = target.exchange;
        exchange->write(std::move(events));
    }
}

void engine_server::send_end(const base::attempt_id& attempt, const stream& record,
                             const stream_view& view, const subscriber& target) {
    const auto reason =
        view.state == stream_state::cancelled ? backend::finish_reason::cancelled : record.reason;
    if (target.streamed) {
        const std::string last = backend::chunk_body(attempt.value(), record.model,
                                                     {.reason = reason, .usage = view.usage});
        target.exchange->write(net::format_event({.id = {}, .event = {}, .data = last}) +
                               net::format_event({.id = {}, .event = {}, .data = "[DONE]"}));
        target.exchange->finish();
        return;
    }
    const json message = {{"role", "assistant"}, {"content", record.text.tokens(1, view.produced)}};
    respond_json(*target.exchange,
                 {{"id", attempt.value()},
                  {"object", "chat.completion"},
                  {"model", record.model},
                  {"choices", json::array({{{"index", 0},
                                            {"message", message},
                                            {"finish_reason", backend::to_string(reason)}}})},
                  {"usage", view.usage}});
}

void engine_server::record_arrival(const engine_request& request, const generation& planned,
                                   const answer_text& text, const start_outcome& outcome) {
    static constexpr std::string_view kinds[] = {"accepted", "attached", "refused"};
    history_.write({{"event", "engine_arrival"},
                    {"engine", options_.name},
                    {"at_us", clock_.unix_microseconds()},
                    {"attempt", planned.attempt.value()},
                    {"program", planned.program.value()},
                    {"call", planned.call.value()},
                    {"outcome", kinds[static_cast<std::size_t>(outcome.kind)]},
                    {"reason", to_string(outcome.reason)},
                    {"prompt_tokens", planned.prompt_tokens},
                    {"max_tokens", request.generate.max_tokens},
                    {"messages", request.generate.messages.size()},
                    {"conversation", fmt::format("{:016x}", text.conversation())}});
}

void engine_server::record_end(const base::attempt_id& attempt, const stream& record) {
    const auto view = model_.find(attempt);
    history_.write({{"event", "engine_end"},
                    {"engine", options_.name},
                    {"at_us", clock_.unix_microseconds()},
                    {"attempt", attempt.value()},
                    {"program", view->program.value()},
                    {"call", view->call.value()},
                    {"state", to_string(view->state)},
                    {"arrived_us", record.arrived_at},
                    {"first_token_us", record.first_token_at},
                    {"usage", view->usage},
                    {"conversation", fmt::format("{:016x}", record.text.conversation())}});
}

void engine_server::advance() {
    model_.advance(clock_.now());
    deliver();
}

void engine_server::schedule() {
    const auto next = model_.next_event();
    if (!next) {
        step_timer_.reset();
        return;
    }
    const auto delay = std::max(*next - clock_.now(), base::microseconds{0});
    step_timer_ = loop_.after(delay, [this] {
        advance();
        schedule();
    });
}

void engine_server::tick() {
    advance();
    schedule();
    for (auto at = streams_.begin(); at != streams_.end();) {
        const auto current = at++;
        const auto view = model_.find(current->first);
        if (!view || !view->retained) {
            streams_.erase(current);
            continue;
        }
        const auto targets = current->second.subscribers;
        for (const auto& [id, target] : targets) {
            if (target.streamed) {
                target.exchange->write(std::string(heartbeat));
            }
        }
    }
}

void engine_server::handle(const exchange_pointer& exchange) {
    advance();
    route(exchange);
    deliver();
    schedule();
}

}  // namespace pearbarrow::emulator
