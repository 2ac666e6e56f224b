#include "pearbarrow/gateway/gateway.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/strings/numbers.h>
#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/api_key.h"
#include "pearbarrow/gateway/caller_request.h"
#include "pearbarrow/gateway/chat_api.h"
#include "pearbarrow/gateway/native_api.h"
#include "pearbarrow/gateway/problem.h"
#include "pearbarrow/gateway/request_json.h"

namespace pearbarrow::gateway {
namespace {

constexpr base::milliseconds not_ready_retry{1'000};

using path_segments = std::vector<std::string_view>;

/// The path's segments; an empty one stands for each doubled or trailing slash.
path_segments split_path(std::string_view path) {
    path_segments segments;
    path.remove_prefix(path.empty() ? 0 : 1);
    while (true) {
        const auto slash = path.find('/');
        segments.push_back(path.substr(0, slash));
        if (slash == std::string_view::npos) {
            return segments;
        }
        path.remove_prefix(slash + 1);
    }
}

absl::Status gateway_error(absl::StatusCode code, std::string_view message, std::string reason,
                           std::optional<base::milliseconds> retry_after = std::nullopt) {
    return base::make_error(
        code, message,
        {.step = "gateway", .reason = std::move(reason), .retry_after = retry_after});
}

void refuse_method(const caller_request_ptr& request, const std::string& allowed) {
    const auto status =
        gateway_error(absl::StatusCode::kInvalidArgument,
                      fmt::format("this resource allows {}", allowed), "method_not_allowed");
    auto response = problem_response(status, request->context().options.node);
    response.headers.add("Allow", allowed);
    request->respond(std::move(response));
}

void refuse_path(const caller_request_ptr& request) {
    request->fail(gateway_error(absl::StatusCode::kNotFound, "there is no such resource",
                                "no_such_resource"));
}

bool is(const caller_request_ptr& request, std::string_view method) {
    return request->http().method == method;
}

void handle_programs(const caller_request_ptr& request) {
    request->set_resource("programs");
    is(request, "POST") ? open_program(request, nullptr) : refuse_method(request, "POST");
}

void handle_program(const caller_request_ptr& request, const base::program_id& program) {
    request->set_resource("program");
    if (is(request, "GET")) {
        get_program(request, program);
    } else if (is(request, "DELETE")) {
        end_program(request, program);
    } else {
        refuse_method(request, "GET, DELETE");
    }
}

void handle_part_of_program(const caller_request_ptr& request, const base::program_id& program,
                            std::string_view part) {
    if (part == "history") {
        request->set_resource("history");
        is(request, "GET") ? get_history(request, program) : refuse_method(request, "GET");
    } else if (part == "calls") {
        request->set_resource("calls");
        is(request, "POST") ? submit_call(request, program) : refuse_method(request, "POST");
    } else if (part == "programs") {
        request->set_resource("sub_programs");
        is(request, "POST") ? open_program(request, &program) : refuse_method(request, "POST");
    } else {
        refuse_path(request);
    }
}

void handle_call(const caller_request_ptr& request, const base::program_id& program,
                 std::string_view text) {
    request->set_resource("call");
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(std::string(text), &number) || number == 0 || number > max_call_number) {
        request->fail(
            gateway_error(absl::StatusCode::kNotFound, "there is no such call", "call_not_found"));
    } else if (is(request, "GET")) {
        attach_call(request, program, base::call_number(number));
    } else if (is(request, "DELETE")) {
        cancel_call(request, program, base::call_number(number));
    } else {
        refuse_method(request, "GET, DELETE");
    }
}

void handle_under_programs(const caller_request_ptr& request, const path_segments& path) {
    if (path.size() == 2) {
        handle_programs(request);
        return;
    }
    if (!is_program_id(path[2])) {
        request->fail(gateway_error(absl::StatusCode::kNotFound, "there is no such program",
                                    "program_not_found"));
        return;
    }
    const base::program_id program{std::string(path[2])};
    if (path.size() == 3) {
        handle_program(request, program);
    } else if (path.size() == 4) {
        handle_part_of_program(request, program, path[3]);
    } else if (path.size() == 5 && path[3] == "calls") {
        handle_call(request, program, path[4]);
    } else {
        refuse_path(request);
    }
}

void handle_resource(const caller_request_ptr& request) {
    const auto path = split_path(request->http().path());
    const bool versioned = path.size() >= 2 && path[0] == "v1";
    if (versioned && path[1] == "programs") {
        handle_under_programs(request, path);
    } else if (versioned && path.size() == 3 && path[1] == "chat" && path[2] == "completions") {
        request->set_resource("chat_completions");
        is(request, "POST") ? chat_completions(request) : refuse_method(request, "POST");
    } else if (versioned && path.size() == 2 && path[1] == "models") {
        request->set_resource("models");
        is(request, "GET") ? list_models(request) : refuse_method(request, "GET");
    } else {
        refuse_path(request);
    }
}

/// Fails when the node can't take a request now.
absl::Status admit(const gateway_context& context) {
    if (context.options.stopping && context.options.stopping()) {
        return gateway_error(absl::StatusCode::kUnavailable, "this node is stopping",
                             "node_stopping", not_ready_retry);
    }
    if (!context.tenants.ready()) {
        return gateway_error(absl::StatusCode::kUnavailable,
                             "this node has learnt no configuration yet", "configuration_not_ready",
                             not_ready_retry);
    }
    if (context.open_requests > context.options.max_open_requests) {
        return gateway_error(absl::StatusCode::kUnavailable,
                             "this node has as many requests under way as it may",
                             "gateway_overloaded", not_ready_retry);
    }
    return absl::OkStatus();
}

absl::StatusOr<base::tenant_id> authenticate(const gateway_context& context,
                                             const net::http_request& request) {
    const auto key = bearer_key(request.headers);
    const auto tenant =
        key.has_value() ? context.tenants.find_by_key_hash(sha256_hex(*key)) : std::nullopt;
    if (!tenant.has_value()) {
        return gateway_error(absl::StatusCode::kUnauthenticated,
                             "the request needs 'Authorization: Bearer' with a known API key",
                             "unknown_api_key");
    }
    return *tenant;
}

absl::Status check_media_type(const net::http_request& request) {
    const auto type = request.headers.find("Content-Type");
    if (request.body.empty() || !type.has_value() || type->rfind("application/json", 0) == 0) {
        return absl::OkStatus();
    }
    return gateway_error(absl::StatusCode::kInvalidArgument, "the body must be application/json",
                         "unsupported_media_type");
}

}  // namespace

struct caller_gateway::state {
    std::shared_ptr<gateway_context> context;
};

caller_gateway::caller_gateway(program_router& router, const tenant_directory& tenants,
                               const base::clock& clock, gateway_options options)
    : state_(std::make_shared<state>()) {
    state_->context = std::make_shared<gateway_context>(
        gateway_context{router, tenants, clock, std::move(options), 0, {}, {}});
    if (auto* metrics = state_->context->options.metrics; metrics != nullptr) {
        state_->context->slow_readers_cut =
            metrics->add_counter("pearbarrow_gateway_slow_readers_cut_total",
                                 "Callers cut off because they read too slowly.");
        state_->context->time_to_first_part =
            metrics->add_histogram("pearbarrow_gateway_time_to_first_part_seconds",
                                   "Time from a streamed call's request to its first part.");
    }
}

caller_gateway::~caller_gateway() = default;

void caller_gateway::handle(std::shared_ptr<net::http_exchange> exchange) {
    const auto request = std::make_shared<caller_request>(state_->context, std::move(exchange));
    request->start();
    if (request->http().path() == "/v1/chat/completions") {
        request->set_error_style(error_style::openai);
    }
    if (const auto admitted = admit(*state_->context); !admitted.ok()) {
        request->fail(admitted);
        return;
    }
    auto tenant = authenticate(*state_->context, request->http());
    if (!tenant.ok()) {
        request->fail(tenant.status());
        return;
    }
    request->set_tenant(std::move(*tenant));
    if (const auto media_type = check_media_type(request->http()); !media_type.ok()) {
        request->fail(media_type);
        return;
    }
    handle_resource(request);
}

net::http_handler caller_gateway::handler() {
    return [this](std::shared_ptr<net::http_exchange> exchange) { handle(std::move(exchange)); };
}

std::size_t caller_gateway::open_requests() const {
    return state_->context->open_requests;
}

}  // namespace pearbarrow::gateway
