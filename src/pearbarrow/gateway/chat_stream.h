/// A call's streamed answer in the OpenAI convention's chunks.
#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "pearbarrow/gateway/chat_request.h"
#include "pearbarrow/gateway/event_text.h"
#include "pearbarrow/gateway/native_api.h"

namespace pearbarrow::gateway {

/// The convention can't take text back. When an answer starts afresh, as after the loss of an
/// engine, text equal to what was already sent is left out; an answer that differs ends with an
/// error chunk, reason `answer_changed`, without `finish_reason` and `[DONE]`.
class chat_stream {
  public:
    chat_stream(caller_request_ptr request, chat_answer_head head, bool include_usage);

    void add(const wire::reply_part& part);
    void finish(const wire::call_result& result);
    void fail(const absl::Status& status);

  private:
    void start(base::call_number call);
    void send_chunk(const nlohmann::json& chunk, const std::string& event_id);
    /// Sends what of `text`, which begins at `position_`, was not sent yet. False: it differs.
    bool send_new(const std::string& text, const std::string& event_id);

    caller_request_ptr request_;
    chat_answer_head head_;
    bool include_usage_;
    event_text text_;
    std::string sent_;
    /// Bytes of the present attempt's text that have come.
    std::size_t position_ = 0;
};

}  // namespace pearbarrow::gateway
