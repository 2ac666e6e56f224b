#include "pearbarrow/platform/machine_list_client.h"

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/status.h"

namespace pearbarrow::platform {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr std::string_view step = "machine_list";

absl::Status list_error(absl::StatusCode code, std::string_view message, std::string peer) {
    return base::make_error(
        code, message,
        {.step = std::string(step), .peer = std::move(peer), .reason = "machine_list_unavailable"});
}

std::string text_of(const json& entry, const char* name) {
    const auto found = entry.find(name);
    return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

absl::StatusOr<std::vector<machine>> parse_machine_list(std::string_view body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_array()) {
        return list_error(absl::StatusCode::kInternal, "the answer is no list", "");
    }
    std::vector<machine> machines;
    for (const json& entry : parsed) {
        if (!entry.is_object()) {
            continue;
        }
        const auto address = net::parse_endpoint(text_of(entry, "address"));
        machine read;
        read.node = text_of(entry, "node");
        read.zone = base::zone_name(text_of(entry, "zone"));
        const std::string state = text_of(entry, "state");
        read.state = state == "leaving" ? machine_state::leaving : machine_state::live;
        if (!address.ok() || read.node.empty() || (state != "live" && state != "leaving")) {
            continue;
        }
        read.address = *address;
        machines.push_back(std::move(read));
    }
    return machines;
}

machine_list_client::machine_list_client(net::http_client& http, net::endpoint server,
                                         base::milliseconds timeout)
    : http_(http), server_(std::move(server)), timeout_(timeout) {}

void machine_list_client::fetch(
    std::function<void(absl::StatusOr<std::vector<machine>>)> callback) {
    net::http_call call;
    call.server = server_;
    call.method = "GET";
    call.target = "/v1/machines";
    call.head_timeout = timeout_;
    call.idle_timeout = timeout_;
    const std::string peer = net::to_string(server_);
    http_.fetch(std::move(call), [callback = std::move(callback),
                                  peer](absl::StatusOr<net::http_response> response) {
        if (!response.ok()) {
            callback(base::with_step(response.status(), step, peer));
        } else if (response->status != status_ok) {
            callback(list_error(absl::StatusCode::kUnavailable,
                                fmt::format("HTTP status {}", response->status), peer));
        } else {
            callback(parse_machine_list(response->body));
        }
    });
}

}  // namespace pearbarrow::platform
