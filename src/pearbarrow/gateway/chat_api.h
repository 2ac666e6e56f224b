/// The OpenAI-compatible API: POST /v1/chat/completions and GET /v1/models.
///
/// Without `X-Program-Id` a program is opened and ended around the one call. With it the call joins
/// that program; of a conversation sent whole only what the program's history lacks is new.
#pragma once

#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/gateway/native_api.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::gateway {

/// POST /v1/chat/completions
void chat_completions(const caller_request_ptr& request);
/// GET /v1/models
void list_models(const caller_request_ptr& request);

/// What of a conversation is not in the history yet.
struct conversation_difference {
    std::vector<wire::chat_message> new_messages;
    /// The conversation is a beginning of the history, or all of it: the call was made before.
    bool already_made = false;
};

/// Compares roles and contents. Fails with kFailedPrecondition, reason `history_mismatch`, when
/// neither is the beginning of the other.
absl::StatusOr<conversation_difference> difference(const std::vector<wire::chat_message>& history,
                                                   std::vector<wire::chat_message> conversation);

}  // namespace pearbarrow::gateway
