/// A fleet with two tenants.
#pragma once

#include <algorithm>
#include <string>

#include "fleet_fixture.h"

namespace pearbarrow::fleet::testing {

inline constexpr char key_of_a[] = "key-of-a";
inline constexpr char key_of_b[] = "key-of-b";

struct tenants_fixture : fleet_fixture {
    explicit tenants_fixture(std::size_t storage_count = 3) : fleet_fixture(storage_count) {
        this->tenants = {{{"name", "a"}, {"api_keys", {key_of_a}}},
                         {{"name", "b"}, {"api_keys", {key_of_b}}}};
        this->configure_tenants(2);
        this->tool = &this->add_runner("tool", "i-tool");
        this->model = &this->add_runner("model", "i-model");
        cr_assert(run_until(this->loop, [this] { return this->is_settled(); }));
    }

    void configure_tenants(std::uint64_t version) {
        const auto route = [](const char* prefix, const char* kind, const char* service) {
            return nlohmann::json{{"name", prefix},        {"host", "shop.example"},
                                  {"path_prefix", prefix}, {"kind", kind},
                                  {"service", service},    {"attempts", 2},
                                  {"timeout_ms", 3'000},   {"slo_ms", 500}};
        };
        nlohmann::json turn = route("/turn/", "streaming", "model");
        turn["keeps_history"] = true;
        turn["retain_s"] = 60;
        nlohmann::json open = route("/open/", "idempotent", "tool");
        open["public"] = true;
        this->store.put(
            "op/config",
            nlohmann::json{{"version", version},
                           {"routes", {route("/plain/", "idempotent", "tool"), turn, open}},
                           {"services",
                            {{{"name", "tool"}, {"health_path", emulator::runner::health_path}},
                             {{"name", "model"}, {"health_path", emulator::runner::health_path}}}},
                           {"tenants", this->tenants}}
                .dump());
    }
    /// Waits until every node has the configuration.
    void wait_for_version(std::uint64_t version) {
        const auto knows = [version](auto& node) {
            const auto& config = node->node.parts().directory().state().current().config;
            return config.has_value() && config->version >= version;
        };
        cr_assert(run_until(this->loop, [&] {
            return std::all_of(this->edges.begin(), this->edges.end(), knows) &&
                   std::all_of(this->storages.begin(), this->storages.end(), knows);
        }));
    }
    int status_with(const std::string& id, net::http_headers headers,
                    const std::string& path = "/plain/x") {
        return this->call(0, path, id, headers).status;
    }
    client_response turn_of(const char* key, const std::string& id, const std::string& previous) {
        net::http_headers headers{{"Pearbarrow-Key", key},
                                  {"Pearbarrow-Program-Id", "program"},
                                  {"Pearbarrow-Token-Budget", "100"},
                                  {"Pearbarrow-Token-Usage", "100,50"}};
        if (!previous.empty()) {
            headers.add("Pearbarrow-Previous-Turn", previous);
        }
        return this->call(0, "/turn/x", id, headers, "said " + id);
    }

    nlohmann::json tenants;
};

}  // namespace pearbarrow::fleet::testing
