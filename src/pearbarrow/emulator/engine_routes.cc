/// The engine's endpoints beside generation.
#include <charconv>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/backend/url.h"
#include "pearbarrow/emulator/engine_server.h"
#include "pearbarrow/emulator/http_answers.h"

namespace pearbarrow::emulator {
namespace {

using nlohmann::json;

constexpr std::string_view streams_prefix = "/v1/streams/";
constexpr std::string_view programs_prefix = "/v1/cache/programs/";
constexpr std::string_view meter_prefix = "/v1/meter/";
constexpr std::size_t max_events_read = 1'000;

std::uint64_t parse_number(std::string_view text, std::uint64_t fallback) {
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} ? value : fallback;
}

/// First token that a receiver asks for: after the last event it has, or `from`.
std::uint64_t first_token(const net::http_request& request) {
    if (const auto last = request.headers.find("Last-Event-ID")) {
        return parse_number(*last, 0) + 1;
    }
    return std::max<std::uint64_t>(1, parse_number(request.query("from").value_or("1"), 1));
}

}  // namespace

void engine_server::route(const exchange_pointer& exchange) {
    const net::http_request& request = exchange->request();
    const std::string_view path = request.path();
    const base::instant now = clock_.now();
    if (path == "/v1/chat/completions" && request.method == "POST") {
        handle_generate(exchange);
    } else if (path.starts_with(streams_prefix)) {
        handle_stream(exchange, backend::percent_decode(path.substr(streams_prefix.size())));
    } else if (path == "/v1/load") {
        respond_json(*exchange, model_.load(now));
    } else if (path.starts_with("/v1/cache")) {
        route_cache(*exchange);
    } else if (path == "/v1/orders" && request.method == "POST") {
        handle_order(*exchange);
    } else if (path == "/v1/meter") {
        respond_json(*exchange, {{"entries", model_.meter()}});
    } else if (path.starts_with(meter_prefix)) {
        handle_meter(*exchange, backend::percent_decode(path.substr(meter_prefix.size())));
    } else if (path == "/admin/engine") {
        handle_admin(*exchange);
    } else if (path == "/v1/models") {
        respond_json(*exchange, {{"object", "list"},
                                 {"data", json::array({{{"id", model_.options().model.value()},
                                                        {"object", "model"}}})}});
    } else if (path == "/healthz") {
        respond_json(*exchange, {{"healthy", true}});
    } else {
        respond_unknown_path(*exchange);
    }
}

void engine_server::handle_stream(const exchange_pointer& exchange, const std::string& id) {
    const base::attempt_id attempt(id);
    if (exchange->request().method == "DELETE") {
        const backend::cancel_result result = model_.cancel(attempt, clock_.now());
        respond_json(*exchange, result);
        return;
    }
    const auto view = model_.find(attempt);
    if (!view || !view->retained || !streams_.contains(attempt)) {
        respond_problem(*exchange, {.status = 404, .reason = "stream_unknown"});
        return;
    }
    subscribe(attempt, exchange, first_token(exchange->request()), true);
}

void engine_server::route_cache(net::http_exchange& exchange) {
    const net::http_request& request = exchange.request();
    const std::string_view path = request.path();
    const base::instant now = clock_.now();
    if (path == "/v1/cache") {
        respond_json(exchange, model_.listing(now));
    } else if (path == "/v1/cache/events") {
        const std::uint64_t after = parse_number(request.query("after").value_or("0"), 0);
        respond_json(exchange, model_.cache_events(after, max_events_read, now));
    } else if (path.starts_with(programs_prefix)) {
        const auto program = backend::percent_decode(path.substr(programs_prefix.size()));
        handle_program(exchange, base::program_id(program));
    } else if (path == "/v1/cache/export") {
        handle_export(exchange);
    } else if (path == "/v1/cache/import") {
        handle_import(exchange);
    } else {
        respond_unknown_path(exchange);
    }
}

void engine_server::handle_program(net::http_exchange& exchange, const base::program_id& program) {
    const net::http_request& request = exchange.request();
    const base::instant now = clock_.now();
    if (request.method == "DELETE") {
        respond_json(exchange, {{"blocks", model_.release_program(program, now)}});
        return;
    }
    try {
        const auto lease = json::parse(request.body).at("lease_ms").get<std::int64_t>();
        respond_json(exchange,
                     {{"blocks", model_.renew_pin(program, base::milliseconds(lease), now)}});
    } catch (const json::exception& error) {
        respond_bad_request(exchange, error.what());
    }
}

void engine_server::handle_export(net::http_exchange& exchange) {
    try {
        const json body = json::parse(exchange.request().body);
        const base::program_id program(body.at("program").get<std::string>());
        respond_json(exchange, model_.export_prefix(program));
    } catch (const json::exception& error) {
        respond_bad_request(exchange, error.what());
    }
}

void engine_server::handle_import(net::http_exchange& exchange) {
    try {
        const json body = json::parse(exchange.request().body);
        const auto prefix = body.at("prefix").get<backend::exported_prefix>();
        const base::milliseconds lease(body.at("lease_ms").get<std::int64_t>());
        respond_json(exchange, {{"blocks", model_.import_prefix(prefix, lease, clock_.now())}});
    } catch (const json::exception& error) {
        respond_bad_request(exchange, error.what());
    }
}

void engine_server::handle_order(net::http_exchange& exchange) {
    const auto order = backend::parse_json<backend::engine_order>(exchange.request().body);
    if (!order.ok()) {
        respond_bad_request(exchange, std::string(order.status().message()));
        return;
    }
    const bool obeyed = model_.order(*order, clock_.now());
    history_.write({{"event", "engine_order"},
                    {"engine", options_.name},
                    {"at_us", clock_.unix_microseconds()},
                    {"order", *order},
                    {"obeyed", obeyed}});
    if (!obeyed) {
        respond_problem(exchange, {.status = 409, .reason = "fencing_token_stale"});
        return;
    }
    respond_json(exchange, {{"fencing_token", order->fencing_token}});
}

void engine_server::handle_meter(net::http_exchange& exchange, const std::string& id) {
    const auto view = model_.find(base::attempt_id(id));
    if (!view) {
        respond_problem(exchange, {.status = 404, .reason = "attempt_unknown"});
        return;
    }
    respond_json(exchange, backend::meter_entry{base::attempt_id(id), view->program, view->call,
                                                view->usage, std::string(to_string(view->state))});
}

void engine_server::handle_admin(net::http_exchange& exchange) {
    const net::http_request& request = exchange.request();
    if (request.method == "POST") {
        try {
            const json body = json::parse(request.body);
            cache_event_options events = model_.event_options();
            events.lag = base::milliseconds(body.value("event_lag_ms", events.lag.count()));
            events.gap_probability = body.value("event_gap_probability", events.gap_probability);
            model_.set_event_options(events);
            model_.set_slowdown(body.value("slowdown", 1.0));
            model_.set_leaving(body.value("leaving", false));
        } catch (const json::exception& error) {
            respond_bad_request(exchange, error.what());
            return;
        }
    }
    const engine_totals& totals = model_.totals();
    const cache_accounting& cache = model_.accounting();
    respond_json(exchange, {{"steps", totals.steps},
                            {"prompt_tokens", totals.prompt_tokens},
                            {"cached_tokens", totals.cached_tokens},
                            {"computed_prompt_tokens", totals.computed_prompt_tokens},
                            {"generated_tokens", totals.generated_tokens},
                            {"preemptions", totals.preemptions},
                            {"finished", totals.finished},
                            {"cancelled", totals.cancelled},
                            {"busy_us", totals.busy.count()},
                            {"reused_block_seconds", cache.reused_block_seconds},
                            {"evicted_block_seconds", cache.evicted_block_seconds},
                            {"evicted_blocks", cache.evicted_blocks},
                            {"abandoned_block_seconds", cache.abandoned_block_seconds},
                            {"abandoned_blocks", cache.abandoned_blocks},
                            {"wasted_block_seconds", cache.wasted_block_seconds()}});
}

}  // namespace pearbarrow::emulator
