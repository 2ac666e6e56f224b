#include "pearbarrow/emulator/platform_server.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/backend/url.h"
#include "pearbarrow/emulator/http_answers.h"

namespace pearbarrow::emulator {
namespace {

using nlohmann::json;

constexpr std::string_view key_value_prefix = "/v3/kv/";
constexpr std::string_view lease_prefix = "/v3/lease/";
constexpr std::string_view time_to_live_path = "/v3/kv/lease/timetolive";
constexpr std::string_view watch_path = "/v3/watch";
constexpr std::string_view machines_path = "/v1/machines";
constexpr std::string_view weights_prefix = "/v1/weights/";
constexpr base::milliseconds tick_period{100};
constexpr int grpc_not_found = 5;
constexpr int grpc_invalid_argument = 3;
constexpr int grpc_failed_precondition = 9;
constexpr int grpc_resource_exhausted = 8;

/// An error of the key-value service, in the gateway's form.
struct gateway_error {
    int status;
    int code;
    std::string message;
};

net::http_response to_response(const gateway_error& error) {
    const json body = {{"error", error.message}, {"message", error.message}, {"code", error.code}};
    return {.status = error.status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

void throw_on(store_error error) {
    switch (error) {
        case store_error::none:
            return;
        case store_error::lease_not_found:
            throw gateway_error{404, grpc_not_found, "etcdserver: requested lease not found"};
        case store_error::duplicate_key:
            throw gateway_error{400, grpc_invalid_argument,
                                "etcdserver: duplicate key given in txn request"};
        case store_error::lease_exists:
            throw gateway_error{400, grpc_failed_precondition, "etcdserver: lease already exists"};
    }
}

void respond_limited(net::http_exchange& exchange, base::microseconds wait) {
    net::http_response response =
        to_response({429, grpc_resource_exhausted, "etcdserver: too many requests"});
    const auto whole = std::chrono::ceil<base::seconds>(wait);
    response.headers.add("Retry-After", std::to_string(whole.count()));
    exchange.respond(std::move(response));
}

}  // namespace

platform_server::platform_server(net::event_loop& loop, const base::clock& clock,
                                 platform_options options)
    : loop_(loop),
      clock_(clock),
      options_(options),
      machines_(options.machine_list_lag),
      key_value_limit_(options.key_value_rate, options.key_value_burst),
      weight_limit_(options.weight_rate, options.weight_burst),
      ticker_(loop.every(tick_period, [this] { tick(); })) {}

platform_server::~platform_server() = default;

void platform_server::tick() {
    store_.advance(clock_.now());
    feed_watchers();
}

void platform_server::handle(const exchange_pointer& exchange) {
    const auto path = exchange->request().path();
    if (path.starts_with("/v3/")) {
        handle_key_value(exchange);
    } else if (path == machines_path) {
        handle_machines(*exchange);
    } else if (path == "/admin/machines") {
        handle_admin_machines(*exchange);
    } else if (path == "/admin/limits") {
        handle_admin_limits(*exchange);
    } else if (path.starts_with(weights_prefix)) {
        handle_weights(exchange);
    } else if (path == "/healthz") {
        respond_json(*exchange, {{"healthy", true}});
    } else {
        respond_unknown_path(*exchange);
    }
}

void platform_server::handle_key_value(const exchange_pointer& exchange) {
    const base::instant now = clock_.now();
    if (const auto wait = key_value_limit_.take(now); wait.count() > 0) {
        respond_limited(*exchange, wait);
        return;
    }
    store_.advance(now);
    const net::http_request& request = exchange->request();
    try {
        const json body = json::parse(request.body);
        if (request.path() == watch_path) {
            start_watch(exchange, body);
            return;
        }
        respond_json(*exchange, answer_key_value(request.path(), body));
    } catch (const gateway_error& error) {
        exchange->respond(to_response(error));
    } catch (const std::exception& error) {
        exchange->respond(to_response({400, grpc_invalid_argument, error.what()}));
    }
    feed_watchers();
}

json platform_server::answer_key_value(std::string_view path, const json& body) {
    if (path == time_to_live_path || path.starts_with(lease_prefix)) {
        return answer_lease(path, body);
    }
    const std::string_view operation =
        path.starts_with(key_value_prefix) ? path.substr(key_value_prefix.size()) : path;
    if (operation == "txn") {
        transaction_response response;
        throw_on(store_.transact(parse_transaction(body), response));
        return format_transaction(response, store_.revision());
    }
    store_request request;
    if (operation == "range") {
        request = parse_range(body);
    } else if (operation == "put") {
        request = parse_put(body);
    } else if (operation == "deleterange") {
        request = parse_delete(body);
    } else {
        throw gateway_error{404, grpc_not_found, "Not Found"};
    }
    store_response response;
    throw_on(store_.apply(request, response));
    json answer = format_response(response);
    answer["header"] = response_header(store_.revision());
    return answer;
}

json platform_server::answer_lease(std::string_view path, const json& body) {
    const base::instant now = clock_.now();
    std::int64_t id = integer_at(body, "ID");
    json answer = {{"header", response_header(store_.revision())}};
    if (path == "/v3/lease/grant") {
        const base::seconds time_to_live(integer_at(body, "TTL"));
        throw_on(store_.grant_lease(time_to_live, id, now));
        answer["ID"] = std::to_string(id);
        answer["TTL"] = std::to_string(time_to_live.count());
        return answer;
    }
    if (path == "/v3/lease/revoke") {
        throw_on(store_.revoke_lease(id));
        answer["header"] = response_header(store_.revision());
        return answer;
    }
    const bool keep_alive = path == "/v3/lease/keepalive";
    if (!keep_alive && path != "/v3/lease/timetolive" && path != time_to_live_path) {
        throw gateway_error{404, grpc_not_found, "Not Found"};
    }
    answer["ID"] = std::to_string(id);
    const auto time = keep_alive ? store_.keep_alive(id, now) : store_.time_left(id, now);
    if (time) {
        answer["TTL"] = std::to_string(time->count());
    } else if (!keep_alive) {
        answer["TTL"] = "-1";
    }
    // The gateway streams keep-alive answers, each within "result".
    return keep_alive ? json{{"result", std::move(answer)}} : answer;
}

void platform_server::start_watch(const exchange_pointer& exchange, const json& body) {
    watcher item{.exchange = exchange, .request = parse_watch(body)};
    const std::int64_t start = item.request.start_revision;
    item.next_revision = start > 0 ? start : store_.revision() + 1;
    exchange->start_stream(200, {{"Content-Type", "application/json"}});
    json created = {{"header", response_header(store_.revision())}, {"created", true}};
    if (item.next_revision < store_.oldest_revision()) {
        created["canceled"] = true;
        created["compact_revision"] = std::to_string(store_.oldest_revision());
        exchange->write(json{{"result", created}}.dump() + "\n");
        exchange->finish();
        return;
    }
    const std::uint64_t id = ++next_watcher_;
    watchers_.emplace(id, std::move(item));
    exchange->on_closed([this, id] { watchers_.erase(id); });
    exchange->write(json{{"result", created}}.dump() + "\n");
    feed_watchers();
}

void platform_server::feed(watcher& item) {
    if (item.next_revision > store_.revision()) {
        return;
    }
    const auto events = store_.events(item.request.keys, item.next_revision);
    item.next_revision = store_.revision() + 1;
    if (events.empty()) {
        return;
    }
    json list = json::array();
    for (const store_event& event : events) {
        list.push_back(format_event(event, item.request.prev_kv));
    }
    const json message = {
        {"result", {{"header", response_header(store_.revision())}, {"events", std::move(list)}}}};
    item.exchange->write(message.dump() + "\n");
}

void platform_server::feed_watchers() {
    // By id: a write may find that the client has gone, which removes the watcher.
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : watchers_) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        if (const auto item = watchers_.find(id); item != watchers_.end()) {
            feed(item->second);
        }
    }
}

void platform_server::handle_machines(net::http_exchange& exchange) {
    respond_json(exchange, machines_.read(clock_.now()));
}

void platform_server::handle_admin_machines(net::http_exchange& exchange) {
    const net::http_request& request = exchange.request();
    try {
        const base::instant now = clock_.now();
        if (request.method == "DELETE") {
            machines_.remove(request.query("node").value_or(""), now);
        } else {
            machines_.put(json::parse(request.body).get<machine>(), now);
        }
        respond_json(exchange, json::object());
    } catch (const json::exception& error) {
        respond_bad_request(exchange, error.what());
    }
}

void platform_server::handle_admin_limits(net::http_exchange& exchange) {
    try {
        const json body = json::parse(exchange.request().body);
        options_.key_value_rate = body.value("key_value_rate", options_.key_value_rate);
        options_.key_value_burst = body.value("key_value_burst", options_.key_value_burst);
        options_.weight_rate = body.value("weight_rate", options_.weight_rate);
        options_.weight_burst = body.value("weight_burst", options_.weight_burst);
        options_.machine_list_lag = base::milliseconds(
            body.value("machine_list_lag_ms", options_.machine_list_lag.count()));
        key_value_limit_ = rate_limiter(options_.key_value_rate, options_.key_value_burst);
        weight_limit_ = rate_limiter(options_.weight_rate, options_.weight_burst);
        machines_.set_lag(options_.machine_list_lag);
        respond_json(exchange, json::object());
    } catch (const json::exception& error) {
        respond_bad_request(exchange, error.what());
    }
}

void platform_server::handle_weights(const exchange_pointer& exchange) {
    if (const auto wait = weight_limit_.take(clock_.now()); wait.count() > 0) {
        respond_problem(*exchange, {.status = 429,
                                    .reason = "weight_store_limited",
                                    .retry_after = std::chrono::ceil<base::milliseconds>(wait)});
        return;
    }
    const std::string model =
        backend::percent_decode(exchange->request().path().substr(weights_prefix.size()));
    const std::uint64_t id = ++next_timer_;
    weight_timers_[id] = loop_.after(options_.weight_delay, [this, id, exchange, model] {
        const auto timer = weight_timers_.extract(id);
        respond_json(*exchange, {{"model", model}, {"bytes", 0}});
    });
}

}  // namespace pearbarrow::emulator
