#include "pearbarrow/node/backend_service.h"

#include <set>
#include <string>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/net/endpoint.h"

namespace pearbarrow::node {

namespace {

/// Brings `clients` in line with the objects of one kind; `make` builds a client of an address.
template <typename Spec, typename Client, typename Make>
void synchronise(const std::vector<const config::object*>& objects,
                 std::map<base::backend_id, std::shared_ptr<Client>>& clients,
                 std::vector<std::shared_ptr<void>>& retired, const Make& make) {
    std::set<base::backend_id> named;
    for (const config::object* object : objects) {
        const base::backend_id id(object->name);
        const auto address = net::parse_endpoint(std::get<Spec>(object->spec).address);
        if (!address.ok()) {
            base::log(base::log_level::error, "backend_address_unusable",
                      base::log_fields(address.status()));
            continue;
        }
        named.insert(id);
        std::shared_ptr<Client>& client = clients[id];
        if (client != nullptr && client->address() == *address) {
            continue;
        }
        if (client != nullptr) {
            retired.push_back(client);
        }
        client = make(*address);
    }
    std::erase_if(clients, [&](const auto& item) {
        if (named.contains(item.first)) {
            return false;
        }
        retired.push_back(item.second);
        return true;
    });
}

}  // namespace

void backend_service::configure(const config::configuration& configuration) {
    synchronise<config::engine_spec>(configuration.all(config::object_kind::engine), engines_,
                                     retired_, [this](const net::endpoint& address) {
                                         return backend::make_engine_client(context_.http, address);
                                     });
    synchronise<config::tool_service_spec>(configuration.all(config::object_kind::tool_service),
                                           tools_, retired_, [this](const net::endpoint& address) {
                                               return backend::make_tool_client(context_.http,
                                                                                address);
                                           });
}

backend::engine_client* backend_service::engine(const base::backend_id& id) const {
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : found->second.get();
}

backend::tool_client* backend_service::tool(const base::backend_id& id) const {
    const auto found = tools_.find(id);
    return found == tools_.end() ? nullptr : found->second.get();
}

std::vector<base::backend_id> backend_service::engines() const {
    std::vector<base::backend_id> ids;
    ids.reserve(engines_.size());
    for (const auto& [id, client] : engines_) {
        ids.push_back(id);
    }
    return ids;
}

}  // namespace pearbarrow::node
