/// Client of a tool service, in typed calls. docs/backend-protocol.md describes the protocol.
///
/// All callbacks run on the event loop, exactly once unless the handle is destroyed first. Failed
/// statuses carry step, peer (the service's address), reason and `executed`.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/endpoint.h"

namespace pearbarrow::net {
class http_client;
}

namespace pearbarrow::backend {

struct tool_invocation {
    base::tool_name tool;
    /// The tool runs a key once and answers repeats with the first result, if it can tell.
    std::string idempotency_key;
    base::attempt_id attempt;
    base::program_id program;
    base::call_number call;
    /// A JSON document.
    std::string arguments;
    /// Time left to the answer. After it the client gives up with `tool_timeout` (executed
    /// unknown).
    base::milliseconds deadline{30'000};
};

struct tool_result {
    /// A JSON document: the tool's answer.
    std::string output;
    /// The answer came from an earlier request with the same key.
    bool repeated = false;
};

/// What a tool knows of an idempotency key.
enum class tool_request_state {
    /// It ran; `tool_query_result::result` (or `failure`) holds the outcome.
    completed,
    running,
    /// It did not run, and the key is refused from now on only if the tool says so (`fenced`).
    never_seen,
    /// The service keeps no record of keys.
    cannot_tell,
};

struct tool_query_result {
    tool_request_state state = tool_request_state::cannot_tell;
    /// Whether the service refuses the key from now on (asked for by `fence`).
    bool fenced = false;
    /// Set when completed with success.
    tool_result result;
    /// Set when completed with failure: the tool's own error, executed yes.
    absl::Status failure;
};

/// An invocation under way. Destroying it closes the connection, without further callbacks; the
/// tool may still run.
class tool_handle {
  public:
    virtual ~tool_handle() = default;
};

class tool_client {
  public:
    virtual ~tool_client() = default;

    virtual const net::endpoint& address() const = 0;

    /// Reasons of failure: `tool_unreachable` (executed no), `tool_refused` (executed no, perhaps
    /// with retry_after), `tool_failed` (executed yes: the tool ran and answered with an error),
    /// `tool_timeout` and `answer_lost` (executed unknown).
    [[nodiscard]] virtual std::unique_ptr<tool_handle> invoke(
        tool_invocation invocation, std::function<void(absl::StatusOr<tool_result>)> done) = 0;

    /// Asks what became of a key. With `fence`, a service that never saw the key also refuses it
    /// from then on, so that a late request cannot run after the answer `never_seen`.
    virtual void query(base::tool_name tool, std::string idempotency_key, bool fence,
                       std::function<void(absl::StatusOr<tool_query_result>)> done) = 0;
};

/// A client of the tool service at `address` over `http`, which must outlive it.
std::unique_ptr<tool_client> make_tool_client(net::http_client& http, net::endpoint address);

}  // namespace pearbarrow::backend
