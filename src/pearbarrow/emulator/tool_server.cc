#include "pearbarrow/emulator/tool_server.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/backend/url.h"
#include "pearbarrow/emulator/http_answers.h"

namespace pearbarrow::emulator {
namespace {

using nlohmann::json;

constexpr std::string_view tools_prefix = "/v1/tools/";

/// The decoded parts of a path after `tools_prefix`.
std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> parts;
    while (!path.empty()) {
        const auto slash = std::min(path.find('/'), path.size());
        parts.push_back(backend::percent_decode(path.substr(0, slash)));
        path.remove_prefix(std::min(slash + 1, path.size()));
    }
    return parts;
}

std::string header(const net::http_request& request, std::string_view name) {
    return request.headers.find(name).value_or("");
}

base::call_number call_number_of(const net::http_request& request) {
    const std::string text = header(request, backend::call_number_header);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return base::call_number(value);
}

std::string_view to_string(key_state state) {
    switch (state) {
        case key_state::completed:
            return "completed";
        case key_state::running:
            return "running";
        case key_state::never_seen:
            return "never_seen";
        case key_state::cannot_tell:
            break;
    }
    return "cannot_tell";
}

}  // namespace

tool_server::tool_server(net::event_loop& loop, const base::clock& clock,
                         tool_server_options options, history_writer& history)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      history_(history),
      model_(options_.model) {}

tool_server::~tool_server() = default;

void tool_server::handle(const exchange_pointer& exchange) {
    advance();
    route(exchange);
    advance();
    schedule();
}

void tool_server::route(const exchange_pointer& exchange) {
    const net::http_request& request = exchange->request();
    const std::string_view path = request.path();
    if (path == "/v1/ledger") {
        handle_ledger(*exchange);
        return;
    }
    if (path == "/admin/tool") {
        handle_admin(*exchange);
        return;
    }
    if (path == "/healthz") {
        respond_json(*exchange, {{"healthy", true}});
        return;
    }
    if (!path.starts_with(tools_prefix)) {
        respond_unknown_path(*exchange);
        return;
    }
    const auto parts = split_path(path.substr(tools_prefix.size()));
    const bool post = request.method == "POST";
    if (parts.size() == 2 && parts[1] == "invoke" && post) {
        handle_invoke(exchange, base::tool_name(parts[0]));
    } else if (parts.size() == 3 && parts[1] == "requests") {
        handle_query(*exchange, base::tool_name(parts[0]), parts[2], false);
    } else if (parts.size() == 4 && parts[1] == "requests" && parts[3] == "fence" && post) {
        handle_query(*exchange, base::tool_name(parts[0]), parts[2], true);
    } else {
        respond_unknown_path(*exchange);
    }
}

void tool_server::handle_invoke(const exchange_pointer& exchange, const base::tool_name& tool) {
    const net::http_request& request = exchange->request();
    if (!json::accept(request.body)) {
        respond_bad_request(*exchange, "the arguments are not JSON");
        return;
    }
    const tool_start start =
        model_.start({.tool = tool,
                      .key = header(request, backend::idempotency_key_header),
                      .attempt = base::attempt_id(header(request, backend::request_id_header)),
                      .program = base::program_id(header(request, backend::program_id_header)),
                      .call = call_number_of(request),
                      .arguments = request.body},
                     clock_.now());
    if (start.kind == tool_start_kind::fenced) {
        respond_problem(*exchange, {.status = 409, .reason = "request_fenced"});
        return;
    }
    const bool repeated = start.kind == tool_start_kind::repeated;
    const tool_run& run = model_.run(start.run);
    record(repeated ? "tool_repeat" : "tool_start", run);
    if (run.ended) {
        answer(*exchange, run, repeated);
        return;
    }
    waiting_.emplace(start.run, waiting_answer{exchange, repeated});
    exchange->on_closed([this, id = start.run, key = std::weak_ptr(exchange)] {
        const auto [first, last] = waiting_.equal_range(id);
        const auto gone = std::find_if(
            first, last, [&key](const auto& item) { return item.second.exchange == key.lock(); });
        if (gone != last) {
            waiting_.erase(gone);
        }
    });
}

void tool_server::answer(net::http_exchange& exchange, const tool_run& run, bool repeated) {
    if (run.failed) {
        respond_problem(exchange, {.status = 500,
                                   .reason = "tool_failed",
                                   .detail = "the tool ran and failed",
                                   .was_executed = base::executed::yes});
        return;
    }
    respond_json(exchange, {{"output", json::parse(run.output)}, {"repeated", repeated}});
}

void tool_server::handle_query(net::http_exchange& exchange, const base::tool_name& tool,
                               const std::string& key, bool fence) {
    const key_view view = model_.query(tool, key, fence);
    json body = {{"state", to_string(view.state)}, {"fenced", view.fenced}};
    if (view.state == key_state::completed) {
        const tool_run& run = model_.run(view.run);
        if (run.failed) {
            body["error"] = "the tool ran and failed";
        } else {
            body["output"] = json::parse(run.output);
        }
    }
    respond_json(exchange, body);
}

void tool_server::handle_ledger(net::http_exchange& exchange) const {
    json runs = json::array();
    for (const tool_run& run : model_.ledger()) {
        runs.push_back({{"run", run.id},
                        {"tool", run.request.tool.value()},
                        {"key", run.request.key},
                        {"attempt", run.request.attempt.value()},
                        {"program", run.request.program.value()},
                        {"call", run.request.call.value()},
                        {"started_us", unix_time(run.started)},
                        {"ended_us", run.ended ? json(unix_time(*run.ended)) : json()},
                        {"failed", run.failed}});
    }
    respond_json(exchange, {{"runs", std::move(runs)}});
}

void tool_server::handle_admin(net::http_exchange& exchange) {
    try {
        const json body = json::parse(exchange.request().body);
        tool_options options = model_.options();
        options.fail_probability = body.value("fail_probability", options.fail_probability);
        options.hang_probability = body.value("hang_probability", options.hang_probability);
        options.keeps_keys = body.value("keeps_keys", options.keeps_keys);
        if (body.contains("latency")) {
            const auto latency = parse_latency(body.at("latency").get<std::string>());
            if (!latency) {
                respond_bad_request(exchange, "unknown latency");
                return;
            }
            options.latency = *latency;
        }
        model_.set_options(options);
        respond_json(exchange, json::object());
    } catch (const json::exception& error) {
        respond_bad_request(exchange, error.what());
    }
}

void tool_server::record(std::string_view event, const tool_run& run) {
    json line = {{"event", event},
                 {"service", options_.name},
                 {"at_us", clock_.unix_microseconds()},
                 {"run", run.id},
                 {"tool", run.request.tool.value()},
                 {"key", run.request.key},
                 {"attempt", run.request.attempt.value()},
                 {"program", run.request.program.value()},
                 {"call", run.request.call.value()}};
    if (run.ended) {
        line["failed"] = run.failed;
        line["started_us"] = unix_time(run.started);
    }
    history_.write(line);
}

std::int64_t tool_server::unix_time(base::instant at) const {
    return clock_.unix_microseconds() - (clock_.now() - at).count();
}

void tool_server::advance() {
    for (const std::uint64_t id : model_.advance(clock_.now())) {
        const tool_run& run = model_.run(id);
        record("tool_end", run);
        // Taken out first: an answer may find that its client has gone.
        std::vector<waiting_answer> answers;
        const auto [first, last] = waiting_.equal_range(id);
        for (auto at = first; at != last; ++at) {
            answers.push_back(at->second);
        }
        waiting_.erase(first, last);
        for (const waiting_answer& item : answers) {
            answer(*item.exchange, run, item.repeated);
        }
    }
}

void tool_server::schedule() {
    const auto next = model_.next_event();
    if (!next) {
        timer_.reset();
        return;
    }
    const auto delay = std::max(*next - clock_.now(), base::microseconds{0});
    timer_ = loop_.after(delay, [this] {
        advance();
        schedule();
    });
}

}  // namespace pearbarrow::emulator
