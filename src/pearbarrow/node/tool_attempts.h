/// Attempts at tool calls that one shard's owner has under way at tool services.
#pragma once

#include <map>
#include <memory>

#include "pearbarrow/backend/tool_client.h"
#include "pearbarrow/node/model_attempts.h"

namespace pearbarrow::node {

class tool_attempts {
  public:
    tool_attempts(node_context& context, backend_service& backends, shard_event_sink sink);
    ~tool_attempts();
    tool_attempts(const tool_attempts&) = delete;
    tool_attempts& operator=(const tool_attempts&) = delete;

    void start(const program::action::start_tool_attempt& action);
    /// Stops waiting for the answer; the tool may run on.
    void cancel(const program::action::cancel_tool_attempt& action);
    void query(const program::action::query_tool_attempt& action);
    void report_lost(const base::attempt_id& attempt);

    std::size_t running() const { return handles_.size(); }

  private:
    void take_result(const base::attempt_id& attempt,
                     const absl::StatusOr<backend::tool_result>& result);
    void take_status(const base::attempt_id& attempt,
                     const absl::StatusOr<backend::tool_query_result>& result);
    void emit_later(program::shard_event event);

    node_context& context_;
    backend_service& backends_;
    shard_event_sink sink_;
    std::map<base::attempt_id, std::unique_ptr<backend::tool_handle>> handles_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
