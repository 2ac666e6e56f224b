#include "pearbarrow/emulator/relay_server.h"

#include <array>
#include <utility>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/emulator/http_answers.h"

namespace pearbarrow::emulator {
namespace {

using net::relay_mode;
using nlohmann::json;

constexpr std::array<std::pair<relay_mode, std::string_view>, 5> mode_names{
    {{relay_mode::pass, "pass"},
     {relay_mode::cut, "cut"},
     {relay_mode::stall_to_target, "stall_to_target"},
     {relay_mode::stall_to_client, "stall_to_client"},
     {relay_mode::stall_both, "stall_both"}}};

std::string_view name_of(relay_mode mode) {
    for (const auto& [candidate, name] : mode_names) {
        if (candidate == mode) {
            return name;
        }
    }
    return "unknown";
}

absl::Status bad_settings(std::string_view detail) {
    return base::make_error(absl::StatusCode::kInvalidArgument, detail,
                            {.step = "parse_relay_settings", .reason = "bad_request"});
}

}  // namespace

absl::StatusOr<net::relay_settings> parse_relay_settings(std::string_view text) {
    const auto body = backend::parse_json<json>(text);
    if (!body.ok()) {
        return body.status();
    }
    try {
        const auto word = body->at("mode").get<std::string>();
        for (const auto& [mode, name] : mode_names) {
            if (name == word) {
                const base::milliseconds delay(body->value("delay_ms", std::int64_t{0}));
                return net::relay_settings{mode, delay};
            }
        }
    } catch (const json::exception& error) {
        return bad_settings(error.what());
    }
    return bad_settings("unknown mode");
}

void relay_server::handle(const std::shared_ptr<net::http_exchange>& exchange) {
    const net::http_request& request = exchange->request();
    if (request.path() != "/admin/faults") {
        respond_unknown_path(*exchange);
        return;
    }
    if (request.method == "POST") {
        const auto settings = parse_relay_settings(request.body);
        if (!settings.ok()) {
            const auto detail = settings.status().message();
            respond_bad_request(*exchange, std::string_view(detail.data(), detail.size()));
            return;
        }
        relay_.set(*settings);
    }
    const net::relay_counters counters = relay_.counters();
    respond_json(*exchange, {{"mode", name_of(relay_.settings().mode)},
                             {"delay_ms", relay_.settings().delay.count()},
                             {"connections", counters.connections},
                             {"open_connections", counters.open_connections},
                             {"bytes_to_target", counters.bytes_to_target},
                             {"bytes_to_client", counters.bytes_to_client}});
}

}  // namespace pearbarrow::emulator
