#include "pearbarrow/operator/operator_api.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/strings/numbers.h>
#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/api_key.h"
#include "pearbarrow/gateway/problem.h"
#include "pearbarrow/gateway/request_json.h"
#include "pearbarrow/operator/operator_json.h"

namespace pearbarrow::operators {
namespace {

using exchange_ptr = std::shared_ptr<net::http_exchange>;
using path_segments = std::vector<std::string>;

/// Digits of its hash that name a key in records.
constexpr std::size_t author_digits = 12;

absl::Status api_error(absl::StatusCode code, std::string_view message, std::string reason) {
    return base::make_error(code, message, {.step = "operator_api", .reason = std::move(reason)});
}

path_segments split_path(std::string_view path) {
    path_segments segments;
    path.remove_prefix(path.empty() ? 0 : 1);
    while (true) {
        const auto slash = path.find('/');
        segments.emplace_back(path.substr(0, slash));
        if (slash == std::string_view::npos) {
            return segments;
        }
        path.remove_prefix(slash + 1);
    }
}

/// A query parameter that holds a whole number; none when absent.
absl::StatusOr<std::optional<std::uint64_t>> number_query(const net::http_request& request,
                                                          std::string_view name) {
    const auto text = request.query(name);
    if (!text.has_value()) {
        return std::optional<std::uint64_t>();
    }
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(*text, &value)) {
        return api_error(absl::StatusCode::kInvalidArgument,
                         fmt::format("{} must be a whole number", name), "invalid_query");
    }
    return std::optional(value);
}

std::size_t nodes_behind(const std::vector<node_report>& nodes, base::config_version version) {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [version](const node_report& node) {
            return node.state == "alive" && node.version < version;
        }));
}

}  // namespace

struct operator_api::state : std::enable_shared_from_this<operator_api::state> {
    /// A request that waits for a version to be in force everywhere.
    struct waiter {
        exchange_ptr exchange;
        base::config_version version;
        base::instant give_up;
        std::unique_ptr<net::timer_handle> timer;
    };

    state(net::event_loop& event_loop, operator_backend& operator_backend,
          const base::clock& time_source, operator_api_options api_options)
        : loop(event_loop),
          backend(operator_backend),
          clock(time_source),
          options(std::move(api_options)) {}

    net::event_loop& loop;
    operator_backend& backend;
    const base::clock& clock;
    operator_api_options options;

    void handle(const exchange_ptr& exchange);
    void fail(const exchange_ptr& exchange, const absl::Status& status) const;
    void refuse_method(const exchange_ptr& exchange, const std::string& allowed) const;
    std::optional<std::string> author_of(const net::http_request& request) const;

    void handle_public(const exchange_ptr& exchange, std::string_view path);
    void handle_operator(const exchange_ptr& exchange, const path_segments& path,
                         const std::string& author);
    bool handle_reports(const exchange_ptr& exchange, const std::string& what);
    bool handle_objects(const exchange_ptr& exchange, const path_segments& path,
                        const std::string& author);
    bool handle_calls(const exchange_ptr& exchange, const path_segments& path);
    void handle_object(const exchange_ptr& exchange, const std::string& kind,
                       const std::string& name, const std::string& author);
    void apply(const exchange_ptr& exchange, const std::string& author);
    void label(const exchange_ptr& exchange, const path_segments& path, const std::string& author);
    void drain(const exchange_ptr& exchange, const std::string& author);
    void get_object(const exchange_ptr& exchange, const std::string& kind, const std::string& name);
    void list_objects(const exchange_ptr& exchange);
    void config(const exchange_ptr& exchange);
    /// By value: the copy outlives the timer that holds the original.
    void look_again(std::shared_ptr<waiter> waiting);
    void metrics(const exchange_ptr& exchange);
    void ready(const exchange_ptr& exchange);

    template <typename Result>
    answer<Result> answer_to(const exchange_ptr& exchange) {
        return [self = shared_from_this(), exchange](absl::StatusOr<Result> result) {
            if (!result.ok()) {
                self->fail(exchange, result.status());
            } else {
                exchange->respond(gateway::json_response(200, to_json(*result)));
            }
        };
    }
    answer<apply_result> answer_to_change(const exchange_ptr& exchange);
};

void operator_api::state::fail(const exchange_ptr& exchange, const absl::Status& status) const {
    exchange->respond(gateway::problem_response(status, options.node));
}

void operator_api::state::refuse_method(const exchange_ptr& exchange,
                                        const std::string& allowed) const {
    auto response = gateway::problem_response(
        api_error(absl::StatusCode::kInvalidArgument,
                  fmt::format("this resource allows {}", allowed), "method_not_allowed"),
        options.node);
    response.headers.add("Allow", allowed);
    exchange->respond(std::move(response));
}

std::optional<std::string> operator_api::state::author_of(const net::http_request& request) const {
    const auto key = gateway::bearer_key(request.headers);
    if (!key.has_value()) {
        return std::nullopt;
    }
    const auto hash = gateway::sha256_hex(*key);
    const auto& hashes = options.key_hashes;
    if (std::find(hashes.begin(), hashes.end(), hash) == hashes.end()) {
        return std::nullopt;
    }
    return "key-" + hash.substr(0, author_digits);
}

void operator_api::state::handle(const exchange_ptr& exchange) {
    const auto& request = exchange->request();
    const auto path = split_path(request.path());
    if (path[0] != "operator") {
        handle_public(exchange, request.path());
        return;
    }
    const auto author = author_of(request);
    if (!author.has_value()) {
        fail(exchange, api_error(absl::StatusCode::kUnauthenticated,
                                 "the request needs 'Authorization: Bearer' with an operator's key",
                                 "unknown_operator_key"));
        return;
    }
    handle_operator(exchange, path, *author);
}

void operator_api::state::handle_public(const exchange_ptr& exchange, std::string_view path) {
    const bool known = path == "/healthz" || path == "/readyz" || path == "/metrics";
    if (known && exchange->request().method != "GET") {
        refuse_method(exchange, "GET");
    } else if (path == "/healthz") {
        exchange->respond(gateway::json_response(200, {{"status", "ok"}}));
    } else if (path == "/readyz") {
        ready(exchange);
    } else if (path == "/metrics" && options.metrics != nullptr) {
        metrics(exchange);
    } else {
        fail(exchange, api_error(absl::StatusCode::kNotFound, "there is no such resource",
                                 "no_such_resource"));
    }
}

void operator_api::state::ready(const exchange_ptr& exchange) {
    const auto now = backend.status();
    if (now.ready) {
        exchange->respond(gateway::json_response(200, {{"status", "ready"}}));
    } else {
        fail(exchange,
             api_error(absl::StatusCode::kUnavailable, "this node is not ready to serve",
                       now.not_ready_reason.empty() ? "not_ready" : now.not_ready_reason));
    }
}

void operator_api::state::metrics(const exchange_ptr& exchange) {
    if (options.before_metrics) {
        options.before_metrics();
    }
    exchange->respond({.status = 200,
                       .headers = {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}},
                       .body = options.metrics->text()});
}

void operator_api::state::handle_operator(const exchange_ptr& exchange, const path_segments& path,
                                          const std::string& author) {
    const bool handled = path.size() >= 3 && path[1] == "v1" &&
                         ((path.size() == 3 && handle_reports(exchange, path[2])) ||
                          handle_objects(exchange, path, author) || handle_calls(exchange, path));
    if (!handled) {
        fail(exchange, api_error(absl::StatusCode::kNotFound, "there is no such resource",
                                 "no_such_resource"));
    }
}

bool operator_api::state::handle_reports(const exchange_ptr& exchange, const std::string& what) {
    if (what != "nodes" && what != "shards" && what != "status" && what != "config") {
        return false;
    }
    nlohmann::json items = nlohmann::json::array();
    if (exchange->request().method != "GET") {
        refuse_method(exchange, "GET");
    } else if (what == "nodes") {
        for (const auto& node : backend.nodes()) {
            items.push_back(to_json(node));
        }
        exchange->respond(gateway::json_response(200, {{"nodes", std::move(items)}}));
    } else if (what == "shards") {
        for (const auto& shard : backend.shards()) {
            items.push_back(to_json(shard));
        }
        exchange->respond(gateway::json_response(200, {{"shards", std::move(items)}}));
    } else if (what == "status") {
        exchange->respond(gateway::json_response(200, to_json(backend.status())));
    } else {
        config(exchange);
    }
    return true;
}

bool operator_api::state::handle_objects(const exchange_ptr& exchange, const path_segments& path,
                                         const std::string& author) {
    const auto& method = exchange->request().method;
    if (path.size() == 3 && path[2] == "objects") {
        method == "GET" ? list_objects(exchange) : refuse_method(exchange, "GET");
    } else if (path.size() == 3 && path[2] == "apply") {
        method == "POST" ? apply(exchange, author) : refuse_method(exchange, "POST");
    } else if (path.size() == 3 && path[2] == "drain") {
        method == "POST" ? drain(exchange, author) : refuse_method(exchange, "POST");
    } else if (path.size() == 5 && path[2] == "objects") {
        handle_object(exchange, path[3], path[4], author);
    } else if (path.size() == 6 && path[2] == "objects" && path[5] == "labels") {
        method == "PATCH" ? label(exchange, path, author) : refuse_method(exchange, "PATCH");
    } else {
        return false;
    }
    return true;
}

bool operator_api::state::handle_calls(const exchange_ptr& exchange, const path_segments& path) {
    const bool shaped = path.size() == 7 && path[2] == "programs" && path[4] == "calls" &&
                        (path[6] == "explain" || path[6] == "verify");
    std::uint64_t number = 0;
    if (!shaped || !gateway::is_program_id(path[3]) || !absl::SimpleAtoi(path[5], &number) ||
        number == 0) {
        return false;
    }
    const call_reference call{base::program_id(path[3]), base::call_number(number)};
    if (exchange->request().method != "GET") {
        refuse_method(exchange, "GET");
    } else if (path[6] == "explain") {
        backend.explain(call, answer_to<call_explanation>(exchange));
    } else {
        backend.verify(call, answer_to<call_verification>(exchange));
    }
    return true;
}

answer<apply_result> operator_api::state::answer_to_change(const exchange_ptr& exchange) {
    return [self = shared_from_this(), exchange](absl::StatusOr<apply_result> result) {
        if (!result.ok()) {
            self->fail(exchange, result.status());
            return;
        }
        if (result->problems.empty()) {
            exchange->respond(gateway::json_response(200, to_json(*result)));
            return;
        }
        const auto status =
            api_error(absl::StatusCode::kInvalidArgument,
                      "the change is refused; nothing was written", "invalid_configuration");
        auto response = gateway::problem_response(status, self->options.node);
        auto body = gateway::problem_json(status, self->options.node);
        body["errors"] = nlohmann::json::array();
        for (const auto& problem : result->problems) {
            body["errors"].push_back(
                {{"index", problem.index}, {"field", problem.field}, {"message", problem.message}});
        }
        response.body = gateway::dump_json(body);
        exchange->respond(std::move(response));
    };
}

void operator_api::state::apply(const exchange_ptr& exchange, const std::string& author) {
    const auto& http = exchange->request();
    auto resources = parse_resources(http.body, options.max_resources);
    const auto base_version = number_query(http, "base_version");
    if (!resources.ok() || !base_version.ok()) {
        fail(exchange, resources.ok() ? base_version.status() : resources.status());
        return;
    }
    apply_request request;
    request.resources = std::move(*resources);
    request.dry_run = http.query("dry_run") == "true";
    request.change_id = http.headers.find("Idempotency-Key").value_or("");
    request.author = author;
    if (base_version->has_value()) {
        request.base_version = base::config_version(**base_version);
    }
    backend.apply(std::move(request), answer_to_change(exchange));
}

void operator_api::state::handle_object(const exchange_ptr& exchange, const std::string& kind,
                                        const std::string& name, const std::string& author) {
    const auto& http = exchange->request();
    if (http.method == "GET") {
        get_object(exchange, kind, name);
    } else if (http.method == "DELETE") {
        apply_request request;
        request.removals.push_back({.kind = kind, .name = name, .body = nullptr});
        request.dry_run = http.query("dry_run") == "true";
        request.change_id = http.headers.find("Idempotency-Key").value_or("");
        request.author = author;
        backend.apply(std::move(request), answer_to_change(exchange));
    } else {
        refuse_method(exchange, "GET, DELETE");
    }
}

void operator_api::state::get_object(const exchange_ptr& exchange, const std::string& kind,
                                     const std::string& name) {
    backend.list_resources(
        kind, [self = shared_from_this(), exchange, name](absl::StatusOr<resource_list> list) {
            if (!list.ok()) {
                self->fail(exchange, list.status());
                return;
            }
            for (const auto& item : list->resources) {
                if (item.name == name) {
                    exchange->respond(gateway::json_response(200, item.body));
                    return;
                }
            }
            self->fail(exchange, api_error(absl::StatusCode::kNotFound, "there is no such object",
                                           "object_not_found"));
        });
}

void operator_api::state::list_objects(const exchange_ptr& exchange) {
    backend.list_resources(exchange->request().query("kind").value_or(""),
                           answer_to<resource_list>(exchange));
}

void operator_api::state::label(const exchange_ptr& exchange, const path_segments& path,
                                const std::string& author) {
    auto request = parse_label_request(exchange->request().body);
    if (!request.ok()) {
        fail(exchange, request.status());
        return;
    }
    request->kind = path[3];
    request->name = path[4];
    request->author = author;
    request->change_id = exchange->request().headers.find("Idempotency-Key").value_or("");
    backend.label(std::move(*request), answer_to_change(exchange));
}

void operator_api::state::drain(const exchange_ptr& exchange, const std::string& author) {
    auto request = parse_drain_request(exchange->request().body);
    if (!request.ok()) {
        fail(exchange, request.status());
        return;
    }
    request->author = author;
    backend.drain(std::move(*request), answer_to_change(exchange));
}

void operator_api::state::config(const exchange_ptr& exchange) {
    const auto wanted = number_query(exchange->request(), "wait_version");
    const auto timeout = number_query(exchange->request(), "timeout_ms");
    if (!wanted.ok() || !timeout.ok()) {
        fail(exchange, wanted.ok() ? timeout.status() : wanted.status());
        return;
    }
    const auto longest = static_cast<std::uint64_t>(options.max_wait.count());
    const base::milliseconds wait(std::min(timeout->value_or(longest), longest));
    const auto waiting = std::make_shared<waiter>();
    waiting->exchange = exchange;
    waiting->version = base::config_version(wanted->value_or(0));
    waiting->give_up = clock.now() + wait;
    look_again(waiting);
    if (waiting->exchange != nullptr) {
        waiting->timer = loop.every(
            options.wait_poll, [self = shared_from_this(), waiting] { self->look_again(waiting); });
        exchange->on_closed([waiting] {
            waiting->exchange = nullptr;
            waiting->timer = nullptr;
        });
    }
}

void operator_api::state::look_again(std::shared_ptr<waiter> waiting) {
    const auto nodes = backend.nodes();
    const auto behind = nodes_behind(nodes, waiting->version);
    const auto own = backend.status().version;
    const bool in_force = behind == 0 && own >= waiting->version;
    if (!in_force && clock.now() < waiting->give_up) {
        return;
    }
    nlohmann::json versions = nlohmann::json::object();
    for (const auto& node : nodes) {
        if (node.state == "alive") {
            versions[node.node.value()] = node.version.value();
        }
    }
    const auto exchange = std::exchange(waiting->exchange, nullptr);
    if (waiting->timer != nullptr) {
        // The timer's own callback is running: it is let go of when the loop is done with it.
        waiting->timer->cancel();
        loop.post([waiting] { waiting->timer = nullptr; });
    }
    exchange->respond(gateway::json_response(200, {{"version", own.value()},
                                                   {"in_force_everywhere", in_force},
                                                   {"nodes_behind", behind},
                                                   {"nodes", std::move(versions)}}));
}

operator_api::operator_api(net::event_loop& loop, operator_backend& backend,
                           const base::clock& clock, operator_api_options options)
    : state_(std::make_shared<state>(loop, backend, clock, std::move(options))) {}

operator_api::~operator_api() = default;

void operator_api::handle(std::shared_ptr<net::http_exchange> exchange) {
    state_->handle(exchange);
}

net::http_handler operator_api::handler() {
    return [this](std::shared_ptr<net::http_exchange> exchange) { handle(std::move(exchange)); };
}

}  // namespace pearbarrow::operators
