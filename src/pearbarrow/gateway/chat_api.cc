#include "pearbarrow/gateway/chat_api.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/chat_request.h"
#include "pearbarrow/gateway/chat_stream.h"
#include "pearbarrow/gateway/request_json.h"

namespace pearbarrow::gateway {
namespace {

constexpr base::milliseconds deadline_slack{5'000};
/// A one-call program whose end was lost with its gateway ends by itself after this long.
constexpr std::uint64_t one_call_idle_ms = 60'000;
constexpr std::int64_t microseconds_per_second = 1'000'000;

absl::Status chat_error(absl::StatusCode code, std::string_view message, std::string reason) {
    return base::make_error(code, message, {.step = "chat", .reason = std::move(reason)});
}

bool same_message(const wire::chat_message& left, const wire::chat_message& right) {
    return left.role == right.role && left.content == right.content;
}

/// One chat request on its way: opens a program if needed, makes the call, ends the program.
class chat_flow : public std::enable_shared_from_this<chat_flow> {
  public:
    chat_flow(caller_request_ptr request, chat_request chat)
        : request_(std::move(request)), chat_(std::move(chat)) {}

    void start() {
        if (chat_.program.value().empty()) {
            open();
        } else if (!is_program_id(chat_.program.value())) {
            request_->fail(chat_error(absl::StatusCode::kNotFound, "there is no such program",
                                      "program_not_found"));
        } else if (chat_.scope == message_scope::conversation) {
            read_history();
        } else {
            submit();
        }
    }

  private:
    /// Without a key nobody could ask for the answer again, so nothing of the program is kept.
    bool ends_program() const { return one_call_ && chat_.idempotency_key.empty(); }

    wire::program_request message() {
        request_->set_program(chat_.program);
        wire::program_request result;
        result.tenant = request_->tenant();
        result.program = chat_.program;
        return result;
    }

    void open() {
        one_call_ = true;
        chat_.number = base::call_number(1);
        chat_.program =
            program_id_for(request_->context(), request_->tenant(),
                           chat_.idempotency_key.empty() ? "" : "chat/" + chat_.idempotency_key);
        auto opening = message();
        opening.open.emplace();
        opening.open->program_class = chat_.program_class;
        opening.open->labels = chat_.labels;
        opening.open->token_budget = token_bound(chat_.call);
        opening.open->limits.idle_ms = one_call_idle_ms;
        request_->route(std::move(opening), request_->context().options.request_timeout, nullptr,
                        [self = shared_from_this()](absl::StatusOr<wire::program_reply> reply) {
                            if (!reply.ok()) {
                                self->request_->fail(reply.status());
                            } else {
                                self->submit();
                            }
                        });
    }

    void read_history() {
        auto reading = message();
        reading.history.emplace();
        request_->route(std::move(reading), request_->context().options.request_timeout, nullptr,
                        [self = shared_from_this()](absl::StatusOr<wire::program_reply> reply) {
                            self->take_history(std::move(reply));
                        });
    }

    void take_history(absl::StatusOr<wire::program_reply> reply) {
        if (!reply.ok()) {
            request_->fail(reply.status());
            return;
        }
        static const wire::history_view nothing;
        const auto& history = reply->history.has_value() ? *reply->history : nothing;
        auto compared = difference(history.messages, std::move(chat_.call.new_messages));
        if (!compared.ok()) {
            request_->fail(compared.status());
        } else if (!compared->already_made) {
            chat_.call.new_messages = std::move(compared->new_messages);
            submit();
        } else if (chat_.number.value() != 0) {
            attach();
        } else {
            request_->fail(chat_error(absl::StatusCode::kFailedPrecondition,
                                      "the conversation holds nothing that the program's history "
                                      "lacks; X-Call-Number reads the answer of an earlier call",
                                      "history_mismatch"));
        }
    }

    void submit() {
        auto submitting = message();
        submitting.submit.emplace();
        submitting.submit->number = chat_.number;
        submitting.submit->body.model = chat_.call;
        submitting.submit->stream = chat_.stream;
        submitting.submit->deadline_ms = chat_.deadline_ms;
        submitting.submit->priority_class = chat_.priority_class;
        submitting.submit->idempotency_key = chat_.idempotency_key;
        if (ends_program()) {
            request_->on_gone([self = shared_from_this()] { self->end(); });
        }
        route_call(std::move(submitting));
    }

    void attach() {
        auto attaching = message();
        attaching.attach = wire::attach_call_request{chat_.number, chat_.stream, ""};
        route_call(std::move(attaching));
    }

    void route_call(wire::program_request call) {
        const auto timeout = chat_.deadline_ms == 0
                                 ? request_->context().options.call_timeout
                                 : base::milliseconds(chat_.deadline_ms) + deadline_slack;
        const auto self = shared_from_this();
        if (!chat_.stream) {
            request_->route(std::move(call), timeout, nullptr,
                            [self](absl::StatusOr<wire::program_reply> reply) {
                                self->take_result(nullptr, reply);
                            });
            return;
        }
        const auto stream = std::make_shared<chat_stream>(request_, head(), chat_.include_usage);
        request_->route(
            std::move(call), timeout, [stream](const wire::reply_part& part) { stream->add(part); },
            [self, stream](absl::StatusOr<wire::program_reply> reply) {
                self->take_result(stream.get(), reply);
            });
    }

    void take_result(chat_stream* stream, const absl::StatusOr<wire::program_reply>& reply) {
        request_->on_gone(nullptr);
        if (!reply.ok() || !reply->call.has_value()) {
            const auto status =
                reply.ok() ? chat_error(absl::StatusCode::kInternal,
                                        "the owner answered without a result", "malformed_reply")
                           : reply.status();
            stream != nullptr ? stream->fail(status) : request_->fail(status);
        } else if (stream != nullptr) {
            stream->finish(*reply->call);
        } else {
            request_->respond_json(
                200, chat_completion(head(), *reply->call),
                {{"X-Program-Id", chat_.program.value()},
                 {"X-Call-Number", fmt::format("{}", reply->call->number.value())}});
        }
        if (ends_program()) {
            end();
        }
    }

    chat_answer_head head() const {
        return {.id = fmt::format("chatcmpl-{}", chat_.program.value()),
                .model = chat_.call.model.value(),
                .created = request_->context().clock.unix_microseconds() / microseconds_per_second};
    }

    /// Ends the program, whether or not the caller is still there. A lost end is made good by the
    /// program's own time limit.
    void end() {
        struct detached {
            std::unique_ptr<program_route> route;
        };
        const auto holder = std::make_shared<detached>();
        auto ending = message();
        ending.end.emplace();
        program_route_callbacks callbacks;
        callbacks.on_done = [holder](const absl::StatusOr<wire::program_reply>& reply) {
            if (!reply.ok()) {
                base::log(base::log_level::warning, "one_call_program_not_ended",
                          base::log_fields(reply.status()));
            }
            const auto finished = std::move(holder->route);
        };
        auto& context = request_->context();
        holder->route = context.router.start(std::move(ending), context.options.request_timeout,
                                             std::move(callbacks));
    }

    caller_request_ptr request_;
    chat_request chat_;
    bool one_call_ = false;
};

}  // namespace

absl::StatusOr<conversation_difference> difference(const std::vector<wire::chat_message>& history,
                                                   std::vector<wire::chat_message> conversation) {
    const auto shared = std::min(history.size(), conversation.size());
    if (!std::equal(history.begin(), history.begin() + static_cast<std::ptrdiff_t>(shared),
                    conversation.begin(), same_message)) {
        return chat_error(absl::StatusCode::kFailedPrecondition,
                          "the conversation differs from the program's history",
                          "history_mismatch");
    }
    conversation_difference result;
    result.already_made = conversation.size() <= history.size();
    conversation.erase(conversation.begin(),
                       conversation.begin() + static_cast<std::ptrdiff_t>(shared));
    result.new_messages = std::move(conversation);
    return result;
}

void chat_completions(const caller_request_ptr& request) {
    request->set_error_style(error_style::openai);
    auto chat = parse_chat_request(request->http());
    if (!chat.ok()) {
        request->fail(chat.status());
        return;
    }
    std::make_shared<chat_flow>(request, std::move(*chat))->start();
}

void list_models(const caller_request_ptr& request) {
    request->set_error_style(error_style::openai);
    request->respond_json(200, model_list(request->context().tenants.models(request->tenant())));
}

}  // namespace pearbarrow::gateway
