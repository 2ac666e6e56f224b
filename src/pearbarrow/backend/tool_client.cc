#include "pearbarrow/backend/tool_client.h"

#include <utility>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/backend/problem.h"
#include "pearbarrow/backend/url.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::backend {
namespace {

constexpr int status_ok = 200;
constexpr std::string_view unreachable_reason = "tool_unreachable";
constexpr std::string_view lost_reason = "answer_lost";
constexpr base::milliseconds query_timeout{5'000};

/// Parses the result of an invocation from a complete HTTP response.
absl::StatusOr<tool_result> read_result(const net::http_response& response,
                                        const std::string& peer) {
    if (response.status != status_ok) {
        return to_status(response, "invoke_tool", peer);
    }
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("output")) {
        // The tool was executed; only its response is malformed.
        return base::make_error(absl::StatusCode::kInternal, "the tool's answer has no output",
                                {.step = "invoke_tool",
                                 .peer = peer,
                                 .reason = "malformed_answer",
                                 .was_executed = base::executed::yes});
    }
    return tool_result{body["output"].dump(),
                       body.contains("repeated") && body["repeated"] == true};
}

absl::StatusOr<tool_query_result> read_query(const net::http_response& response,
                                             const std::string& peer) {
    if (response.status != status_ok) {
        return to_status(response, "query_tool", peer);
    }
    try {
        const auto body = nlohmann::json::parse(response.body);
        const auto state = body.at("state").get<std::string>();
        tool_query_result result;
        result.fenced = body.value("fenced", false);
        if (state == "running") {
            result.state = tool_request_state::running;
        } else if (state == "never_seen") {
            result.state = tool_request_state::never_seen;
        } else if (state == "completed") {
            result.state = tool_request_state::completed;
            result.result.repeated = true;
            if (body.contains("error")) {
                result.failure = base::make_error(absl::StatusCode::kAborted,
                                                  body.at("error").get<std::string>(),
                                                  {.step = "query_tool",
                                                   .peer = peer,
                                                   .reason = "tool_failed",
                                                   .was_executed = base::executed::yes});
            } else {
                result.result.output = body.at("output").dump();
            }
        }
        return result;
    } catch (const nlohmann::json::exception& error) {
        return base::make_error(absl::StatusCode::kInternal, error.what(),
                                {.step = "query_tool",
                                 .peer = peer,
                                 .reason = "malformed_answer",
                                 .was_executed = base::executed::unknown});
    }
}

/// Receives the response of one invocation until its deadline.
class invocation_receiver final : public tool_handle {
  public:
    using done_callback = std::function<void(absl::StatusOr<tool_result>)>;

    invocation_receiver(std::string peer, done_callback done)
        : peer_(std::move(peer)), done_(std::move(done)) {}

    void start(net::http_client& http, net::http_call call) {
        handle_ =
            http.start(std::move(call),
                       {.on_head =
                            [this](int status, const net::http_headers& headers) {
                                response_.status = status;
                                response_.headers = headers;
                            },
                        .on_chunk = [this](std::string_view chunk) { response_.body += chunk; },
                        .on_done = [this](absl::Status status) { finish(status); }});
    }

  private:
    void finish(const absl::Status& status) {
        // Moves the callback out because it may destroy this object; no member is used after the
        // call.
        auto done = std::move(done_);
        if (status.ok()) {
            done(read_result(response_, peer_));
        } else if (absl::IsDeadlineExceeded(status) &&
                   base::details_of(status).was_executed != base::executed::no) {
            done(base::make_error(absl::StatusCode::kDeadlineExceeded,
                                  "the tool did not answer in time",
                                  {.step = "invoke_tool",
                                   .peer = peer_,
                                   .reason = "tool_timeout",
                                   .was_executed = base::executed::unknown}));
        } else {
            done(transport_error(status, "invoke_tool", peer_, unreachable_reason, lost_reason));
        }
    }

    std::string peer_;
    done_callback done_;
    net::http_response response_;
    std::unique_ptr<net::http_call_handle> handle_;
};

class http_tool_client final : public tool_client {
  public:
    http_tool_client(net::http_client& http, net::endpoint address)
        : http_(http), address_(std::move(address)), peer_(net::to_string(address_)) {}

    const net::endpoint& address() const override { return address_; }

    std::unique_ptr<tool_handle> invoke(
        tool_invocation invocation,
        std::function<void(absl::StatusOr<tool_result>)> done) override {
        net::http_call call{
            .server = address_,
            .method = "POST",
            .target = fmt::format("/v1/tools/{}/invoke", percent_encode(invocation.tool.value())),
            .headers = {{"Content-Type", "application/json"},
                        {std::string(idempotency_key_header), invocation.idempotency_key},
                        {std::string(request_id_header), invocation.attempt.value()},
                        {std::string(program_id_header), invocation.program.value()},
                        {std::string(call_number_header), std::to_string(invocation.call.value())},
                        {std::string(deadline_header),
                         std::to_string(invocation.deadline.count())}},
            .body = std::move(invocation.arguments),
            .head_timeout = invocation.deadline,
            .idle_timeout = invocation.deadline};
        auto receiver = std::make_unique<invocation_receiver>(peer_, std::move(done));
        receiver->start(http_, std::move(call));
        return receiver;
    }

    void query(base::tool_name tool, std::string idempotency_key, bool fence,
               std::function<void(absl::StatusOr<tool_query_result>)> done) override {
        net::http_call call{
            .server = address_,
            .method = fence ? "POST" : "GET",
            .target = fmt::format("/v1/tools/{}/requests/{}{}", percent_encode(tool.value()),
                                  percent_encode(idempotency_key), fence ? "/fence" : ""),
            .head_timeout = query_timeout,
            .idle_timeout = query_timeout};
        http_.fetch(std::move(call), [peer = peer_, done = std::move(done)](
                                         const absl::StatusOr<net::http_response>& response) {
            if (response.ok()) {
                done(read_query(*response, peer));
            } else {
                done(transport_error(response.status(), "query_tool", peer, unreachable_reason,
                                     lost_reason));
            }
        });
    }

  private:
    net::http_client& http_;
    net::endpoint address_;
    std::string peer_;
};

}  // namespace

std::unique_ptr<tool_client> make_tool_client(net::http_client& http, net::endpoint address) {
    return std::make_unique<http_tool_client>(http, std::move(address));
}

}  // namespace pearbarrow::backend
