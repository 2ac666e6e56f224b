#include "pearbarrow/backend/engine_client.h"

#include <charconv>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/backend/problem.h"
#include "pearbarrow/backend/url.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/server_sent_events.h"

namespace pearbarrow::backend {
namespace {

constexpr int status_ok = 200;
constexpr std::string_view unreachable_reason = "engine_unreachable";
constexpr std::string_view stream_end_marker = "[DONE]";

/// Receives the events of one stream and passes them on as typed parts.
class stream_receiver final : public stream_handle {
  public:
    stream_receiver(std::string step, std::string peer, generate_callbacks callbacks)
        : step_(std::move(step)),
          peer_(std::move(peer)),
          callbacks_(std::move(callbacks)),
          parser_([this](const net::server_sent_event& event) { on_event(event); }) {}

    void start(net::http_client& http, net::http_call call) {
        handle_ = http.start(
            std::move(call),
            {.on_head = [this](int status,
                               const net::http_headers& headers) { on_head(status, headers); },
             .on_chunk = [this](std::string_view chunk) { on_chunk(chunk); },
             .on_done = [this](absl::Status status) { on_end(status); }});
    }

  private:
    void on_head(int status, const net::http_headers& headers) {
        head_ = {.status = status, .headers = headers, .body = {}};
        if (status == status_ok && callbacks_.on_accepted) {
            callbacks_.on_accepted();
        }
    }

    void on_chunk(std::string_view chunk) {
        if (head_.status == status_ok) {
            parser_.feed(chunk);
        } else {
            head_.body += chunk;
        }
    }

    void on_event(const net::server_sent_event& event) {
        if (event.data == stream_end_marker) {
            complete_ = true;
            return;
        }
        auto chunk = parse_chunk(event.data);
        if (!chunk.ok()) {
            malformed_ = chunk.status();
            return;
        }
        if (chunk->reason) {
            result_.reason = *chunk->reason;
        }
        if (chunk->usage) {
            result_.usage = *chunk->usage;
        }
        if (!chunk->text.empty()) {
            on_text(event.id, std::move(chunk->text));
        }
    }

    void on_text(const std::string& id, std::string text) {
        generate_part part{.text = std::move(text)};
        const auto parsed = std::from_chars(id.data(), id.data() + id.size(), part.index);
        if (parsed.ec != std::errc{}) {
            malformed_ = absl::InvalidArgumentError("token without an index");
            return;
        }
        if (callbacks_.on_part) {
            callbacks_.on_part(part);
        }
    }

    void on_end(const absl::Status& status) {
        // Moves the callback out because it may destroy this object; no member is used after the
        // call.
        auto done = std::move(callbacks_.on_done);
        if (head_.status != 0 && head_.status != status_ok && status.ok()) {
            done(to_status(head_, step_, peer_));
        } else if (!malformed_.ok()) {
            done(broken_stream_error(malformed_));
        } else if (complete_) {
            done(result_);
        } else if (!status.ok()) {
            done(transport_error(status, step_, peer_, unreachable_reason, "stream_broken"));
        } else {
            done(broken_stream_error(absl::DataLossError("the stream ended early")));
        }
    }

    absl::Status broken_stream_error(const absl::Status& cause) const {
        return base::make_error(absl::StatusCode::kDataLoss, std::string(cause.message()),
                                {.step = step_,
                                 .peer = peer_,
                                 .reason = "stream_broken",
                                 .was_executed = base::executed::unknown});
    }

    std::string step_;
    std::string peer_;
    generate_callbacks callbacks_;
    net::server_sent_event_parser parser_;
    std::unique_ptr<net::http_call_handle> handle_;
    net::http_response head_{.status = 0};
    generate_result result_;
    absl::Status malformed_;
    bool complete_ = false;
};

class http_engine_client final : public engine_client {
  public:
    http_engine_client(net::http_client& http, net::endpoint address, engine_client_options options)
        : http_(http),
          address_(std::move(address)),
          peer_(net::to_string(address_)),
          options_(options) {}

    const net::endpoint& address() const override { return address_; }

    std::unique_ptr<stream_handle> generate(generate_request request,
                                            generate_callbacks callbacks) override {
        auto call = make_call("POST", "/v1/chat/completions", generate_body(request));
        call.headers.add(std::string(request_id_header), request.attempt.value());
        call.headers.add(std::string(program_id_header), request.program.value());
        call.headers.add(std::string(call_number_header), std::to_string(request.call.value()));
        if (request.pin_lease.count() > 0) {
            call.headers.add(std::string(cache_lease_header),
                             std::to_string(request.pin_lease.count()));
        }
        return receive("generate", std::move(call), std::move(callbacks));
    }

    std::unique_ptr<stream_handle> resume(base::attempt_id attempt, std::uint64_t from,
                                          generate_callbacks callbacks) override {
        auto call = make_call(
            "GET", fmt::format("/v1/streams/{}?from={}", percent_encode(attempt.value()), from));
        return receive("resume", std::move(call), std::move(callbacks));
    }

    void cancel(base::attempt_id attempt, callback<cancel_result> done) override {
        fetch<cancel_result>("cancel",
                             make_call("DELETE", "/v1/streams/" + percent_encode(attempt.value())),
                             std::move(done));
    }

    void read_load(callback<load_report> done) override {
        fetch<load_report>("read_load", make_call("GET", "/v1/load"), std::move(done));
    }

    void read_cache_events(std::uint64_t after, callback<cache_event_batch> done) override {
        fetch<cache_event_batch>("read_cache_events",
                                 make_call("GET", fmt::format("/v1/cache/events?after={}", after)),
                                 std::move(done));
    }

    void list_cache(callback<cache_listing> done) override {
        fetch<cache_listing>("list_cache", make_call("GET", "/v1/cache"), std::move(done));
    }

    void release(base::program_id program, callback<std::uint64_t> done) override {
        fetch_blocks("release",
                     make_call("DELETE", "/v1/cache/programs/" + percent_encode(program.value())),
                     std::move(done));
    }

    void renew_pin(base::program_id program, base::milliseconds lease,
                   callback<std::uint64_t> done) override {
        const nlohmann::json body = {{"lease_ms", lease.count()}};
        fetch_blocks(
            "renew_pin",
            make_call("PUT", "/v1/cache/programs/" + percent_encode(program.value()), body.dump()),
            std::move(done));
    }

    void export_prefix(base::program_id program, callback<exported_prefix> done) override {
        const nlohmann::json body = {{"program", program.value()}};
        fetch<exported_prefix>("export_prefix", make_call("POST", "/v1/cache/export", body.dump()),
                               std::move(done));
    }

    void import_prefix(exported_prefix prefix, base::milliseconds lease,
                       callback<std::uint64_t> done) override {
        const nlohmann::json body = {{"prefix", prefix}, {"lease_ms", lease.count()}};
        fetch_blocks("import_prefix", make_call("POST", "/v1/cache/import", body.dump()),
                     std::move(done));
    }

    void order(engine_order request, std::function<void(absl::Status)> done) override {
        auto call = make_call("POST", "/v1/orders", nlohmann::json(request).dump());
        fetch<nlohmann::json>(
            "order", std::move(call),
            [done = std::move(done)](const absl::StatusOr<nlohmann::json>& response) {
                done(response.status());
            });
    }

    void read_meter(base::attempt_id attempt, callback<meter_entry> done) override {
        fetch<meter_entry>("read_meter",
                           make_call("GET", "/v1/meter/" + percent_encode(attempt.value())),
                           std::move(done));
    }

  private:
    net::http_call make_call(std::string method, std::string target, std::string body = {}) const {
        net::http_call call{.server = address_,
                            .method = std::move(method),
                            .target = std::move(target),
                            .headers = {},
                            .body = std::move(body),
                            .head_timeout = options_.head_timeout,
                            .idle_timeout = options_.idle_timeout};
        if (!call.body.empty()) {
            call.headers.add("Content-Type", "application/json");
        }
        return call;
    }

    std::unique_ptr<stream_handle> receive(std::string step, net::http_call call,
                                           generate_callbacks callbacks) {
        auto receiver =
            std::make_unique<stream_receiver>(std::move(step), peer_, std::move(callbacks));
        receiver->start(http_, std::move(call));
        return receiver;
    }

    template <typename Value>
    void fetch(std::string step, net::http_call call, callback<Value> done) {
        http_.fetch(std::move(call), [step = std::move(step), peer = peer_, done = std::move(done)](
                                         const absl::StatusOr<net::http_response>& response) {
            if (!response.ok()) {
                done(transport_error(response.status(), step, peer, unreachable_reason,
                                     "answer_lost"));
            } else if (response->status != status_ok) {
                done(to_status(*response, step, peer));
            } else {
                done(parse_json<Value>(response->body));
            }
        });
    }

    void fetch_blocks(std::string step, net::http_call call, callback<std::uint64_t> done) {
        fetch<nlohmann::json>(
            std::move(step), std::move(call),
            [done = std::move(done)](const absl::StatusOr<nlohmann::json>& response) {
                if (!response.ok()) {
                    done(response.status());
                    return;
                }
                done(response->is_object() ? response->value("blocks", std::uint64_t{0}) : 0);
            });
    }

    net::http_client& http_;
    net::endpoint address_;
    std::string peer_;
    engine_client_options options_;
};

}  // namespace

std::unique_ptr<engine_client> make_engine_client(net::http_client& http, net::endpoint address,
                                                  engine_client_options options) {
    return std::make_unique<http_engine_client>(http, std::move(address), options);
}

}  // namespace pearbarrow::backend
