#include "pearbarrow/forward/forward_service.h"

#include <utility>
#include <vector>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/tenants/caller_identity.h"

namespace pearbarrow::forward {

forward_service::~forward_service() = default;

void forward_service::set_configuration(const directory::configuration& config) {
    auto active = std::make_shared<active_configuration>();
    active->config = config;
    active->routes = directory::route_table(config.routes);
    active->tenants = tenants::tenant_table(config);
    for (const tenants::duplicate_key& one : active->tenants.duplicate_keys()) {
        context_.log.notable(
            "key_at_two_tenants",
            {{"config", config.version}, {"holder", one.owner}, {"ignored_at", one.other}});
    }
    context_.active = std::move(active);
    context_.log.notable("configuration_in_force", {{"config", config.version},
                                                    {"routes", config.routes.size()},
                                                    {"tenants", config.tenants.size()}});
}

void forward_service::handle(std::shared_ptr<net::http_exchange> exchange) {
    const net::http_request& request = exchange->request();
    auto facts = read_facts(request, context_.options.headers);
    if (!facts.ok()) {
        reject(*exchange, 400, "malformed_header", "");
        return;
    }
    const auto active = context_.active;
    if (active == nullptr) {
        reject(*exchange, 503, "no_configuration", facts->request_id);
        return;
    }
    if (context_.zone_rules != nullptr && !context_.zone_rules->is_emptied_list_known()) {
        reject(*exchange, 503, "emptied_zones_unknown", facts->request_id);
        return;
    }
    const directory::route* route = active->routes.find(facts->host, request.path());
    if (route == nullptr) {
        reject(*exchange, 404, "no_route", facts->request_id);
        return;
    }
    if (rejects_streams_ && route->kind == directory::request_kind::stream) {
        reject(*exchange, 503, stopping_reason, facts->request_id);
        return;
    }
    if (!identify_caller(*exchange, *active, *route, *facts)) {
        return;
    }
    if (route->resumable && !is_valid_resumption(*facts)) {
        reject(*exchange, 400, "malformed_resumption", facts->request_id);
        return;
    }
    const std::uint64_t number = ++last_request_;
    auto forwarded = std::make_unique<forwarded_request>(
        context_, std::move(exchange), active, *route, *std::move(facts),
        [this, number] { remove_request(number); });
    forwarded_request& started = *forwarded;
    requests_[number] = std::move(forwarded);
    started.start();
}

bool forward_service::identify_caller(net::http_exchange& exchange,
                                      const active_configuration& active,
                                      const directory::route& route, request_facts& facts) {
    const tenants::identity caller =
        tenants::identify(active.tenants, route, {.key_count = facts.key_count, .key = facts.key});
    if (caller.verdict == tenants::identity_verdict::accepted) {
        if (caller.tenant != nullptr) {
            facts.tenant = caller.tenant->name;
            if (caller.tenant->has_priority) {
                facts.tenant_priority = caller.tenant->priority;
            }
            facts.is_limited = caller.tenant->is_limited();
        }
        return true;
    }
    // A node without configuration updates does not know a key that has just been added.
    const bool is_certain = !context_.receives_updates || context_.receives_updates();
    if (is_certain) {
        reject(exchange, 401, tenants::to_string(caller.verdict), facts.request_id);
    } else {
        reject(exchange, 503, "configuration_may_be_old", facts.request_id);
    }
    return false;
}

void forward_service::give_up_requests() {
    std::vector<std::uint64_t> numbers;
    numbers.reserve(requests_.size());
    for (const auto& [number, request] : requests_) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        if (const auto found = requests_.find(number); found != requests_.end()) {
            found->second->give_up();
        }
    }
}

void forward_service::remove_request(std::uint64_t number) {
    // Deferred destruction: the request is still executing its own member function.
    auto node = requests_.extract(number);
    ended_.add(std::move(node.mapped()));
}

void forward_service::reject(net::http_exchange& exchange, int status, std::string_view reason,
                             const std::string& request_id) {
    context_.log.notable("request_refused",
                         {{"request", request_id},
                          {"status", status},
                          {"reason", reason},
                          {"host", exchange.request().headers.find("Host").value_or("")},
                          {"path", exchange.request().path()},
                          {"config", context_.active ? context_.active->config.version : 0}});
    context_.log.count_response("none", status, reason, base::microseconds{0});
    net::http_response response{
        .status = status,
        .headers = {{"Content-Type", "application/problem+json"}},
        .body = fmt::format(R"({{"status":{},"reason":"{}","executed":"no"}})", status, reason)};
    if (status == 503) {
        response.headers.add("Retry-After", "0.200");
    }
    exchange.respond(std::move(response));
}

}  // namespace pearbarrow::forward
