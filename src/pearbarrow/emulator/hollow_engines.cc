#include "pearbarrow/emulator/hollow_engines.h"

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/emulator/http_answers.h"

namespace pearbarrow::emulator {

namespace {

constexpr std::size_t connections_of_one = 16;
constexpr std::size_t body_bytes_of_one = std::size_t{4} * 1024;
constexpr std::uint64_t cache_blocks = 4'096;

backend::load_report idle_report(const std::string& model) {
    backend::load_report report;
    report.sequence = 1;
    report.cache_blocks_total = cache_blocks;
    report.model = base::model_name(model);
    report.model_version = "1";
    return report;
}

void respond_text(net::http_exchange& exchange, const std::string& body) {
    exchange.respond({.headers = {{"Content-Type", "application/json"}}, .body = body});
}

}  // namespace

absl::Status hollow_engines::start(std::uint32_t count, const std::string& model) {
    load_ = nlohmann::json(idle_report(model)).dump();
    events_ = nlohmann::json(backend::cache_event_batch{}).dump();
    listing_ = nlohmann::json(backend::cache_listing{}).dump();
    for (std::uint32_t index = 0; index < count; ++index) {
        net::http_server_options options;
        options.listen = {"127.0.0.1", 0};
        options.max_connections = connections_of_one;
        options.max_body_bytes = body_bytes_of_one;
        auto server = net::make_http_server(
            loop_, options,
            [this](const std::shared_ptr<net::http_exchange>& exchange) { handle(*exchange); });
        if (absl::Status status = server->start(); !status.ok()) {
            return status;
        }
        servers_.push_back(std::move(server));
    }
    return absl::OkStatus();
}

void hollow_engines::handle(net::http_exchange& exchange) {
    ++requests_;
    const std::string_view path = exchange.request().path();
    const bool reads = exchange.request().method == "GET";
    if (path == "/v1/load" && reads) {
        respond_text(exchange, load_);
    } else if (path == "/v1/cache/events" && reads) {
        respond_text(exchange, events_);
    } else if (path == "/v1/cache" && reads) {
        respond_text(exchange, listing_);
    } else {
        respond_problem(exchange, {.status = 503, .reason = "hollow_engine"});
    }
}

nlohmann::json hollow_engines::to_json() const {
    nlohmann::json engines = nlohmann::json::array();
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        engines.push_back({{"name", fmt::format("hollow-engine-{}", index)},
                           {"address", net::to_string(servers_[index]->local_endpoint())}});
    }
    return {{"engines", std::move(engines)}};
}

}  // namespace pearbarrow::emulator
