/// Attempts at model calls that one shard's owner has under way at engines.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/node/backend_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/program/shard_actions.h"
#include "pearbarrow/program/shard_events.h"

namespace pearbarrow::node {

/// Where runners put what became of an attempt; called from the event loop, never inside a call.
using shard_event_sink = std::function<void(program::shard_event)>;

class model_attempts {
  public:
    model_attempts(node_context& context, backend_service& backends, shard_event_sink sink);
    ~model_attempts();
    model_attempts(const model_attempts&) = delete;
    model_attempts& operator=(const model_attempts&) = delete;

    void start(const program::action::start_model_attempt& action);
    void resume(const program::action::resume_model_attempt& action);
    void cancel(const program::action::cancel_model_attempt& action);
    /// Answers for an attempt that was not sent, because this owner may no longer lead.
    void report_lost(const base::attempt_id& attempt);
    void release_cache(const program::action::release_cache& action);

    std::size_t running() const { return streams_.size(); }

  private:
    struct stream {
        std::unique_ptr<backend::stream_handle> handle;
        /// Tells callbacks of this stream from those of an earlier one of the same attempt.
        std::uint64_t serial = 0;
    };

    backend::generate_callbacks callbacks_for(const base::attempt_id& attempt,
                                              std::uint64_t serial);
    void take_end(const base::attempt_id& attempt, std::uint64_t serial,
                  const absl::StatusOr<backend::generate_result>& result);
    void take_cancel(const base::attempt_id& attempt,
                     const absl::StatusOr<backend::cancel_result>& result);
    void fail_later(const base::attempt_id& attempt, absl::Status status);
    void emit_later(program::shard_event event);

    node_context& context_;
    backend_service& backends_;
    shard_event_sink sink_;
    std::map<base::attempt_id, stream> streams_;
    std::uint64_t last_serial_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
