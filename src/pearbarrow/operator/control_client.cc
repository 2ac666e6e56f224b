#include "pearbarrow/operator/control_client.h"

#include <optional>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/random.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::operators {
namespace {

absl::StatusCode code_of(int http_status) {
    switch (http_status) {
        case 400:
        case 405:
        case 413:
        case 415:
        case 431:
            return absl::StatusCode::kInvalidArgument;
        case 401:
            return absl::StatusCode::kUnauthenticated;
        case 403:
            return absl::StatusCode::kPermissionDenied;
        case 404:
            return absl::StatusCode::kNotFound;
        case 409:
            return absl::StatusCode::kFailedPrecondition;
        case 429:
            return absl::StatusCode::kResourceExhausted;
        case 503:
            return absl::StatusCode::kUnavailable;
        case 504:
            return absl::StatusCode::kDeadlineExceeded;
        default:
            return absl::StatusCode::kInternal;
    }
}

std::string field_errors(const nlohmann::json& problem) {
    std::string lines;
    const auto errors = problem.find("errors");
    if (errors == problem.end() || !errors->is_array()) {
        return lines;
    }
    for (const auto& error : *errors) {
        if (error.is_object()) {
            lines += fmt::format("\n  [{}] {}: {}", error.value("index", 0),
                                 error.value("field", ""), error.value("message", ""));
        }
    }
    return lines;
}

bool may_be_repeated(const absl::Status& status) {
    return status.code() == absl::StatusCode::kUnavailable ||
           status.code() == absl::StatusCode::kDeadlineExceeded;
}

}  // namespace

control_exit exit_of(const absl::Status& status) {
    switch (status.code()) {
        case absl::StatusCode::kOk:
            return control_exit::done;
        case absl::StatusCode::kUnavailable:
        case absl::StatusCode::kDeadlineExceeded:
        case absl::StatusCode::kInternal:
        case absl::StatusCode::kUnknown:
        case absl::StatusCode::kResourceExhausted:
            return control_exit::unavailable;
        default:
            return control_exit::refused;
    }
}

absl::Status status_of_problem(int http_status, const std::string& body,
                               const std::string& server) {
    const auto problem = nlohmann::json::parse(body, nullptr, false);
    if (!problem.is_object()) {
        return base::make_error(
            code_of(http_status),
            fmt::format("the server answered {} without a problem document", http_status),
            {.step = "operator_api", .peer = server, .reason = "not_a_problem"});
    }
    const auto text = [&problem](const char* name) {
        const auto found = problem.find(name);
        return found != problem.end() && found->is_string() ? found->get<std::string>()
                                                            : std::string();
    };
    return base::make_error(code_of(http_status), text("detail") + field_errors(problem),
                            {.step = text("step"), .peer = text("peer"), .reason = text("reason")});
}

control_client::control_client(control_options options)
    : options_(std::move(options)), client_(net::make_http_client(loop_, {.tls = options_.tls})) {}

control_client::~control_client() = default;

absl::StatusOr<nlohmann::json> control_client::get(const std::string& target) {
    return send("GET", target, "", "");
}

absl::StatusOr<nlohmann::json> control_client::change(const std::string& method,
                                                      const std::string& target,
                                                      const std::string& body,
                                                      std::string change_id) {
    if (change_id.empty()) {
        change_id = base::random_source(base::random_source::system_seed()).hex_id();
    }
    for (int attempt = 1;; ++attempt) {
        auto result = send(method, target, body, change_id);
        if (result.ok() || !may_be_repeated(result.status()) || attempt >= options_.tries) {
            return result;
        }
    }
}

absl::StatusOr<nlohmann::json> control_client::send(const std::string& method,
                                                    const std::string& target,
                                                    const std::string& body,
                                                    const std::string& change_id) {
    net::http_call call;
    call.server = options_.server;
    call.method = method;
    call.target = target;
    call.body = body;
    call.head_timeout = options_.timeout;
    call.headers.add("Authorization", "Bearer " + options_.key);
    if (!body.empty()) {
        call.headers.add("Content-Type", "application/json");
    }
    if (!change_id.empty()) {
        call.headers.add("Idempotency-Key", change_id);
    }
    std::optional<absl::StatusOr<net::http_response>> answer;
    client_->fetch(std::move(call), [this, &answer](absl::StatusOr<net::http_response> response) {
        answer = std::move(response);
        loop_.stop();
    });
    loop_.run();
    const auto server = net::to_string(options_.server);
    if (!answer.has_value()) {
        return base::make_error(absl::StatusCode::kInternal, "the request was dropped",
                                {.step = "send", .peer = server, .reason = "no_answer"});
    }
    if (!answer->ok()) {
        return base::with_step(answer->status(), "connect", server);
    }
    const auto& response = **answer;
    if (response.status >= 300) {
        return status_of_problem(response.status, response.body, server);
    }
    auto parsed = nlohmann::json::parse(response.body, nullptr, false);
    if (parsed.is_discarded()) {
        return base::make_error(absl::StatusCode::kInternal, "the server's answer is not JSON",
                                {.step = "read", .peer = server, .reason = "malformed_answer"});
    }
    return parsed;
}

std::string percent_encode(std::string_view text) {
    constexpr std::string_view plain = "-_.~";
    std::string result;
    for (const char character : text) {
        const bool letter_or_digit = (character >= 'a' && character <= 'z') ||
                                     (character >= 'A' && character <= 'Z') ||
                                     (character >= '0' && character <= '9');
        if (letter_or_digit || plain.find(character) != std::string_view::npos) {
            result.push_back(character);
        } else {
            result += fmt::format("%{:02X}", static_cast<unsigned char>(character));
        }
    }
    return result;
}

}  // namespace pearbarrow::operators
