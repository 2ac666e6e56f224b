#include "pearbarrow/gateway/chat_stream.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/problem.h"

namespace pearbarrow::gateway {
namespace {

absl::Status answer_changed() {
    return base::make_error(
        absl::StatusCode::kAborted,
        "the answer was begun again and differs from what was sent; "
        "the whole answer can be read at the native API",
        {.step = "stream", .reason = "answer_changed", .was_executed = base::executed::yes});
}

}  // namespace

chat_stream::chat_stream(caller_request_ptr request, chat_answer_head head, bool include_usage)
    : request_(std::move(request)), head_(std::move(head)), include_usage_(include_usage) {}

void chat_stream::start(base::call_number call) {
    if (request_->streaming()) {
        return;
    }
    request_->start_events({{"X-Program-Id", request_->program().value()},
                            {"X-Call-Number", fmt::format("{}", call.value())}});
    send_chunk(chat_chunk(head_, {{"role", "assistant"}, {"content", ""}}, nullptr), "");
}

void chat_stream::send_chunk(const nlohmann::json& chunk, const std::string& event_id) {
    request_->send_event({.id = event_id, .event = {}, .data = dump_json(chunk)});
}

bool chat_stream::send_new(const std::string& text, const std::string& event_id) {
    const std::size_t known = std::min(text.size(), sent_.size() - position_);
    if (sent_.compare(position_, known, text, 0, known) != 0) {
        return false;
    }
    position_ += text.size();
    if (known < text.size()) {
        sent_.append(text, known);
        send_chunk(chat_chunk(head_, {{"content", text.substr(known)}}, nullptr), event_id);
    }
    return true;
}

void chat_stream::add(const wire::reply_part& part) {
    start(part.call);
    if (part.restart) {
        position_ = 0;
    }
    const auto text = text_.add(part);
    if (text.has_value() && !text->empty() && !send_new(*text, part.event_id)) {
        fail(answer_changed());
    }
}

void chat_stream::finish(const wire::call_result& result) {
    start(result.number);
    position_ = 0;
    if (!send_new(result.output, result.last_event_id) || sent_.size() > result.output.size()) {
        fail(answer_changed());
        return;
    }
    send_chunk(chat_chunk(head_, nlohmann::json::object(), result.finish_reason), "");
    if (include_usage_) {
        send_chunk(chat_usage_chunk(head_, result.usage), "");
    }
    request_->send_event({.id = {}, .event = {}, .data = "[DONE]"});
    request_->finish_events();
}

void chat_stream::fail(const absl::Status& status) {
    if (!request_->streaming()) {
        request_->fail(status);
        return;
    }
    send_chunk(request_->error_body(status), "");
    request_->finish_events();
}

}  // namespace pearbarrow::gateway
