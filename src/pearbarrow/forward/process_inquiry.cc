#include "pearbarrow/forward/process_inquiry.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace pearbarrow::forward {
namespace {

constexpr int ok_status = 200;
constexpr int misdirected_status = 421;
constexpr std::size_t max_report_bytes = std::size_t{64} * 1024;

struct report_reply {
    int status = 0;
    std::string body;
};

process_statement judge(const report_reply& reply, const std::string& field,
                        std::uint64_t started_at) {
    if (reply.status == misdirected_status) {
        return process_statement::other;
    }
    const auto report = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != ok_status || !report.is_object()) {
        return process_statement::none;
    }
    const auto stated = report.find(field);
    if (stated == report.end() || !stated->is_number_unsigned()) {
        return process_statement::none;
    }
    return stated->get<std::uint64_t>() == started_at ? process_statement::same
                                                      : process_statement::other;
}

}  // namespace

std::string_view to_string(process_statement statement) {
    switch (statement) {
        case process_statement::same:
            return "same";
        case process_statement::other:
            return "other";
        case process_statement::none:
            return "none";
    }
    return "unknown";
}

std::unique_ptr<net::http_call_handle> process_inquiry::ask(
    const directory::backend& target, std::function<void(process_statement)> done) {
    if (this->options.path.empty() || target.started_at == 0) {
        return nullptr;
    }
    net::http_call call{.server = target.address,
                        .method = "GET",
                        .target = this->options.path,
                        .headers = {{"Host", net::to_string(target.address)},
                                    {this->headers.target_backend, target.id},
                                    {"Connection", "close"}},
                        .body = "",
                        .connect_timeout = this->options.timeout,
                        .head_timeout = this->options.timeout,
                        .idle_timeout = this->options.timeout,
                        .total_timeout = this->options.timeout,
                        .max_body_bytes = max_report_bytes};
    // An idle connection may lead to a process that has ended.
    call.server_incarnation = ++this->questions;
    auto reply = std::make_shared<report_reply>();
    return this->client.start(
        std::move(call),
        {.on_head = [reply](int status, const auto& /*headers*/) { reply->status = status; },
         .on_chunk = [reply](std::string_view part) { reply->body.append(part); },
         .on_done =
             [reply, done = std::move(done), field = this->options.start_time_field,
              started_at = target.started_at](const absl::Status& status) {
                 done(status.ok() ? judge(*reply, field, started_at) : process_statement::none);
             }});
}

}  // namespace pearbarrow::forward
