#include "pearbarrow/emulator/engine_request.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::emulator {
namespace {

constexpr std::uint32_t default_max_tokens = 256;

absl::Status malformed(std::string_view detail) {
    return base::make_error(absl::StatusCode::kInvalidArgument, detail,
                            {.step = "parse_generate", .reason = "bad_request"});
}

/// Number in a header; zero when it is absent.
absl::StatusOr<std::uint64_t> number_in(const net::http_request& request, std::string_view name) {
    const auto text = request.headers.find(name);
    std::uint64_t value = 0;
    if (!text) {
        return value;
    }
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text->data() + text->size()) {
        return malformed(fmt::format("{} is not a number", name));
    }
    return value;
}

void read_body(const nlohmann::json& body, engine_request& result) {
    backend::generate_request& generate = result.generate;
    generate.model = base::model_name(body.at("model").get<std::string>());
    generate.adapter = body.value("adapter", "");
    body.at("messages").get_to(generate.messages);
    generate.max_tokens = body.value("max_tokens", default_max_tokens);
    generate.priority = body.value("priority", 0);
    result.streamed = body.value("stream", false);
}

}  // namespace

absl::StatusOr<engine_request> parse_generate(const net::http_request& request,
                                              std::uint64_t serial) {
    engine_request result;
    try {
        read_body(nlohmann::json::parse(request.body), result);
    } catch (const nlohmann::json::exception& error) {
        return malformed(error.what());
    }
    backend::generate_request& generate = result.generate;
    if (generate.messages.empty() || generate.max_tokens == 0) {
        return malformed("messages and max_tokens must not be empty");
    }
    const auto call = number_in(request, backend::call_number_header);
    const auto lease = number_in(request, backend::cache_lease_header);
    if (!call.ok() || !lease.ok()) {
        return call.ok() ? lease.status() : call.status();
    }
    generate.call = base::call_number(*call);
    generate.pin_lease = base::milliseconds(*lease);
    generate.attempt = base::attempt_id(request.headers.find(backend::request_id_header)
                                            .value_or(fmt::format("request-{}", serial)));
    generate.program =
        base::program_id(request.headers.find(backend::program_id_header).value_or(""));
    return result;
}

}  // namespace pearbarrow::emulator
