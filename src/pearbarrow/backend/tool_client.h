/// Typed client of a tool service. docs/backend-protocol.md describes the protocol.
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
    /// The tool executes a key once and returns the first result for repeated requests, if it
    /// records keys.
    std::string idempotency_key;
    base::attempt_id attempt;
    base::program_id program;
    base::call_number call;
    /// A JSON document.
    std::string arguments;
    /// Time left until the response. After it the client fails with `tool_timeout` (executed
    /// unknown).
    base::milliseconds deadline{30'000};
};

struct tool_result {
    /// A JSON document: the output of the tool.
    std::string output;
    /// The output comes from an earlier request with the same key.
    bool repeated = false;
};

/// State of an idempotency key at a tool service.
enum class tool_request_state {
    /// The request was executed; `tool_query_result::result` or `failure` holds the outcome.
    completed,
    running,
    /// The request was not executed. The service refuses the key from now on only if it reports
    /// `fenced`.
    never_seen,
    /// The service keeps no record of keys.
    cannot_tell,
};

struct tool_query_result {
    tool_request_state state = tool_request_state::cannot_tell;
    /// Whether the service refuses the key from now on (requested with `fence`).
    bool fenced = false;
    /// Result of a request that completed successfully.
    tool_result result;
    /// Error of the tool (executed yes) for a request that completed with a failure.
    absl::Status failure;
};

/// Handle of an invocation in flight. Its destruction closes the connection without further
/// callbacks; the tool may continue to execute it.
class tool_handle {
  public:
    virtual ~tool_handle() = default;
};

class tool_client {
  public:
    virtual ~tool_client() = default;

    virtual const net::endpoint& address() const = 0;

    /// Reasons of failure: `tool_unreachable` (executed no), `tool_refused` (executed no,
    /// optionally with retry_after), `tool_failed` (executed yes: the tool returned an error),
    /// `tool_timeout` and `answer_lost` (executed unknown).
    [[nodiscard]] virtual std::unique_ptr<tool_handle> invoke(
        tool_invocation invocation, std::function<void(absl::StatusOr<tool_result>)> done) = 0;

    /// Queries the state of a key. With `fence`, a service that has not seen the key also refuses
    /// it from then on, so that a late request cannot execute after the response `never_seen`.
    virtual void query(base::tool_name tool, std::string idempotency_key, bool fence,
                       std::function<void(absl::StatusOr<tool_query_result>)> done) = 0;
};

/// Creates a client of the tool service at `address` over `http`, which must outlive the client.
std::unique_ptr<tool_client> make_tool_client(net::http_client& http, net::endpoint address);

}  // namespace pearbarrow::backend
