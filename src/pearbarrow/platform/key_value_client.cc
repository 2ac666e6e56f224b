#include "pearbarrow/platform/key_value_client.h"

#include <algorithm>
#include <charconv>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/platform/etcd_json.h"

namespace pearbarrow::platform {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
/// Longest line of a watch.
constexpr std::size_t max_watch_line_bytes = std::size_t{64} * 1024 * 1024;

/// Lets a bounded number of requests a second through.
class token_bucket {
  public:
    token_bucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

    /// Zero: the request may go. Otherwise the time until one may.
    base::milliseconds take(base::instant now) {
        if (rate_ <= 0) {
            return base::milliseconds(0);
        }
        const double elapsed = std::chrono::duration<double>(now - updated_).count();
        tokens_ = started_ ? std::min(burst_, tokens_ + elapsed * rate_) : tokens_;
        started_ = true;
        updated_ = now;
        if (tokens_ >= 1) {
            tokens_ -= 1;
            return base::milliseconds(0);
        }
        return base::milliseconds(1 + static_cast<std::int64_t>((1 - tokens_) / rate_ * 1000));
    }

  private:
    double rate_;
    double burst_;
    double tokens_;
    bool started_ = false;
    base::instant updated_;
};

std::optional<base::milliseconds> retry_after_of(const net::http_headers& headers) {
    const auto text = headers.find("Retry-After");
    std::int64_t count = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), count).ec != std::errc()) {
        return std::nullopt;
    }
    return base::seconds(count);
}

/// An answer other than 200. Only refusals that the gateway makes before it acts are `executed no`.
absl::Status refused(const net::http_response& response, const std::string& peer) {
    base::error_details details{.step = "key_value", .peer = peer};
    details.retry_after = retry_after_of(response.headers);
    const std::string message =
        fmt::format("HTTP status {}: {}", response.status, response.body.substr(0, 200));
    switch (response.status) {
        case status_too_many_requests:
            details.reason = "rate_limited";
            return base::make_error(absl::StatusCode::kResourceExhausted, message, details);
        case status_bad_request:
            details.reason = "refused_by_service";
            return base::make_error(absl::StatusCode::kInvalidArgument, message, details);
        case status_not_found:
            details.reason = "not_found";
            return base::make_error(absl::StatusCode::kNotFound, message, details);
        default:
            // A gateway may answer 503 or 504 after the service has taken the request.
            details.reason = "service_failed";
            details.was_executed = base::executed::unknown;
            return base::make_error(absl::StatusCode::kUnavailable, message, details);
    }
}

class http_watch final : public watch_handle {
  public:
    explicit http_watch(watch_callbacks callbacks) : callbacks_(std::move(callbacks)) {}

    void begin(net::http_client& http, net::http_call call) {
        peer_ = net::to_string(call.server);
        net::http_call_callbacks events;
        events.on_head = [this](int status, const net::http_headers&) { status_ = status; };
        events.on_chunk = [this](std::string_view chunk) { take(chunk); };
        events.on_done = [this](absl::Status status) { done(std::move(status)); };
        call_ = http.start(std::move(call), std::move(events));
    }
    void cancel() override {
        ended_ = true;
        if (call_ != nullptr) {
            call_->cancel();
        }
    }

  private:
    void take(std::string_view chunk) {
        buffer_ += chunk;
        std::size_t start = 0;
        // The user may destroy this watch from a callback.
        const std::weak_ptr<bool> alive = alive_;
        while (!alive.expired() && !ended_) {
            const std::size_t end = buffer_.find('\n', start);
            if (end == std::string::npos) {
                break;
            }
            const std::string line = buffer_.substr(start, end - start);
            start = end + 1;
            take_line(line);
        }
        if (alive.expired() || ended_) {
            return;
        }
        buffer_.erase(0, start);
        if (buffer_.size() > max_watch_line_bytes) {
            end(failure(absl::StatusCode::kInternal, "a line of the watch is too long"));
        }
    }

    void take_line(const std::string& line) {
        if (status_ != status_ok || line.empty()) {
            return;
        }
        auto message = read_watch(line);
        if (!message.ok()) {
            end(message.status());
        } else if (message->compact_revision > 0) {
            end(failure(absl::StatusCode::kOutOfRange, "the start revision was compacted"));
        } else if (message->cancelled) {
            end(failure(absl::StatusCode::kUnavailable, "the service cancelled the watch"));
        } else if (!message->events.empty()) {
            callbacks_.on_events(std::move(message->events), message->revision);
        }
    }

    void done(absl::Status status) {
        if (!status.ok()) {
            end(base::with_step(std::move(status), "watch", peer_));
        } else if (status_ != status_ok) {
            end(refused({status_, {}, buffer_}, peer_));
        } else {
            end(failure(absl::StatusCode::kUnavailable, "the service closed the watch"));
        }
    }

    void end(absl::Status status) {
        if (ended_) {
            return;
        }
        ended_ = true;
        const auto callback = callbacks_.on_end;
        callback(std::move(status));
    }

    absl::Status failure(absl::StatusCode code, std::string_view message) const {
        return base::make_error(code, message,
                                {.step = "watch", .peer = peer_, .reason = "watch_ended"});
    }

    watch_callbacks callbacks_;
    std::string peer_;
    std::string buffer_;
    int status_ = 0;
    bool ended_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<net::http_call_handle> call_;
};

class etcd_client final : public key_value_client {
  public:
    etcd_client(net::event_loop& loop, const base::clock& clock, net::http_client& http,
                key_value_client_options options)
        : loop_(loop),
          clock_(clock),
          http_(http),
          options_(std::move(options)),
          bucket_(options_.requests_per_second, options_.burst) {}

    void range(range_request request,
               std::function<void(absl::StatusOr<range_result>)> callback) override {
        call<range_result>("/v3/kv/range", to_etcd(request), read_range, std::move(callback));
    }
    void commit(transaction request,
                std::function<void(absl::StatusOr<transaction_result>)> callback) override {
        call<transaction_result>("/v3/kv/txn", to_etcd(request), read_transaction,
                                 std::move(callback));
    }
    void put(put_operation request, std::function<void(absl::Status)> callback) override {
        call<json>("/v3/kv/put", to_etcd(request), keep_body, without_value(std::move(callback)));
    }
    void remove(delete_operation request, std::function<void(absl::Status)> callback) override {
        call<json>("/v3/kv/deleterange", to_etcd(request), keep_body,
                   without_value(std::move(callback)));
    }
    void grant_lease(base::seconds time_to_live,
                     std::function<void(absl::StatusOr<lease_grant>)> callback) override {
        call<lease_grant>("/v3/lease/grant", {{"TTL", std::to_string(time_to_live.count())}},
                          read_lease, std::move(callback));
    }
    void keep_alive(std::int64_t lease,
                    std::function<void(absl::StatusOr<lease_grant>)> callback) override {
        call<lease_grant>("/v3/lease/keepalive", {{"ID", std::to_string(lease)}}, read_lease,
                          [callback = std::move(callback)](absl::StatusOr<lease_grant> answer) {
                              if (answer.ok() && answer->time_to_live.count() <= 0) {
                                  answer = base::make_error(
                                      absl::StatusCode::kNotFound, "the lease has lapsed",
                                      {.step = "keep_alive", .reason = "lease_lapsed"});
                              }
                              callback(std::move(answer));
                          });
    }
    void revoke_lease(std::int64_t lease, std::function<void(absl::Status)> callback) override {
        call<json>("/v3/lease/revoke", {{"ID", std::to_string(lease)}}, keep_body,
                   without_value(std::move(callback)));
    }
    std::unique_ptr<watch_handle> watch(watch_request request, watch_callbacks callbacks) override {
        auto opened = std::make_unique<http_watch>(std::move(callbacks));
        net::http_call call = make_call("/v3/watch", to_etcd(request));
        call.idle_timeout = options_.watch_idle_timeout;
        opened->begin(http_, std::move(call));
        return opened;
    }

  private:
    static absl::StatusOr<json> keep_body(const json& body) { return body; }

    static std::function<void(absl::StatusOr<json>)> without_value(
        std::function<void(absl::Status)> callback) {
        return [callback = std::move(callback)](const absl::StatusOr<json>& answer) {
            callback(answer.status());
        };
    }

    net::http_call make_call(std::string target, const json& body) {
        net::http_call call;
        call.server = options_.endpoints.at(next_endpoint_ % options_.endpoints.size());
        call.method = "POST";
        call.target = std::move(target);
        call.headers.add("Content-Type", "application/json");
        call.body = body.dump();
        call.head_timeout = options_.timeout;
        call.idle_timeout = options_.timeout;
        return call;
    }

    template <typename Result>
    void call(std::string target, const json& body, absl::StatusOr<Result> (*read)(const json&),
              std::function<void(absl::StatusOr<Result>)> callback) {
        const base::milliseconds wait = bucket_.take(clock_.now());
        if (wait.count() > 0 || options_.endpoints.empty()) {
            const absl::Status status = base::make_error(
                absl::StatusCode::kResourceExhausted, "too many requests to the service",
                {.step = "key_value", .reason = "own_rate_limit", .retry_after = wait});
            loop_.post([callback = std::move(callback), status] { callback(status); });
            return;
        }
        net::http_call request = make_call(std::move(target), body);
        const std::string peer = net::to_string(request.server);
        http_.fetch(std::move(request),
                    [this, alive = std::weak_ptr<bool>(alive_), read, peer,
                     callback = std::move(callback)](absl::StatusOr<net::http_response> response) {
                        if (alive.expired()) {
                            return;
                        }
                        callback(take_answer<Result>(std::move(response), read, peer));
                    });
    }

    template <typename Result>
    absl::StatusOr<Result> take_answer(absl::StatusOr<net::http_response> response,
                                       absl::StatusOr<Result> (*read)(const json&),
                                       const std::string& peer) {
        if (!response.ok()) {
            ++next_endpoint_;
            return base::with_step(response.status(), "key_value", peer);
        }
        if (response->status != status_ok) {
            next_endpoint_ += response->status > status_too_many_requests ? 1 : 0;
            return refused(*response, peer);
        }
        auto result = read(json::parse(response->body, nullptr, false));
        if (!result.ok()) {
            return base::with_step(result.status(), "key_value", peer);
        }
        return result;
    }

    net::event_loop& loop_;
    const base::clock& clock_;
    net::http_client& http_;
    key_value_client_options options_;
    token_bucket bucket_;
    std::size_t next_endpoint_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

std::unique_ptr<key_value_client> make_key_value_client(net::event_loop& loop,
                                                        const base::clock& clock,
                                                        net::http_client& http,
                                                        key_value_client_options options) {
    return std::make_unique<etcd_client>(loop, clock, http, std::move(options));
}

std::string prefix_end(std::string prefix) {
    constexpr char highest = '\xff';
    while (!prefix.empty() && prefix.back() == highest) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');  // etcd's mark for "to the last key".
    }
    ++prefix.back();
    return prefix;
}

}  // namespace pearbarrow::platform
