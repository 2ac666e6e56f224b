/// Client of the operators' API, for the command line: one request at a time, waiting for each.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::operators {

struct control_options {
    net::endpoint server;
    /// The operator's API key, sent as a bearer token.
    std::string key;
    base::milliseconds timeout{10'000};
    /// Tries of a request whose answer was lost; each carries the same `Idempotency-Key`.
    int tries = 3;
    /// Set: the server is asked over TLS and must be signed by one of the authorities named here.
    std::optional<net::tls_files> tls;
};

/// How a command ended: the exit codes of pearbarrowctl.
enum class control_exit {
    done = 0,
    /// The request was refused: wrong field, unknown object, conflict, wrong key.
    refused = 1,
    /// The command line or a file that it names is wrong.
    usage = 2,
    /// The server could not be reached, or it failed.
    unavailable = 3,
    /// `--wait` ended before all live nodes reported the version.
    wait_timeout = 4,
    /// `verify` found a decision that does not follow from its recorded inputs.
    not_verified = 5
};

control_exit exit_of(const absl::Status& status);

/// A problem document as a status: its detail, and one line for each of its field errors.
absl::Status status_of_problem(int http_status, const std::string& body, const std::string& server);

class control_client {
  public:
    explicit control_client(control_options options);
    ~control_client();
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    absl::StatusOr<nlohmann::json> get(const std::string& target);
    /// Sends a change; an empty `change_id` is drawn. A lost answer is asked for again.
    absl::StatusOr<nlohmann::json> change(const std::string& method, const std::string& target,
                                          const std::string& body, std::string change_id = "");

  private:
    absl::StatusOr<nlohmann::json> send(const std::string& method, const std::string& target,
                                        const std::string& body, const std::string& change_id);

    control_options options_;
    net::event_loop loop_;
    std::unique_ptr<net::http_client> client_;
};

/// Percent-encodes a segment of a path or a value of a query.
std::string percent_encode(std::string_view text);

}  // namespace pearbarrow::operators
