#include "pearbarrow/emulator/faults.h"

#include <algorithm>
#include <array>
#include <map>
#include <stdexcept>
#include <utility>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/backend/problem.h"

namespace pearbarrow::emulator {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<fault_kind, std::string_view>, 7> kind_names{
    {{fault_kind::refuse, "refuse"},
     {fault_kind::drop, "drop"},
     {fault_kind::hang, "hang"},
     {fault_kind::hang_after, "hang_after"},
     {fault_kind::lose_answer, "lose_answer"},
     {fault_kind::delay, "delay"},
     {fault_kind::cut_stream, "cut_stream"}}};
constexpr std::array<std::string_view, 9> known_fields{
    "kind",     "method", "path",           "probability", "count",
    "delay_ms", "status", "retry_after_ms", "after_parts"};
constexpr std::string_view admin_prefix = "/admin/";
constexpr std::string_view faults_path = "/admin/faults";

std::string_view name_of(fault_kind kind) {
    for (const auto& [candidate, name] : kind_names) {
        if (candidate == kind) {
            return name;
        }
    }
    return "unknown";
}

fault_kind kind_of(const std::string& text) {
    for (const auto& [kind, name] : kind_names) {
        if (name == text) {
            return kind;
        }
    }
    throw std::invalid_argument("unknown kind of fault: " + text);
}

/// An exchange whose answer a fault spoils.
class faulty_exchange final : public net::http_exchange {
  public:
    using holder = std::function<void(const std::shared_ptr<net::http_exchange>&)>;

    faulty_exchange(std::shared_ptr<net::http_exchange> inner, const fault_rule& fault, holder hold)
        : inner_(std::move(inner)), fault_(fault), hold_(std::move(hold)) {}

    const net::http_request& request() const override { return inner_->request(); }
    void respond(net::http_response response) override {
        if (!spoil()) {
            inner_->respond(std::move(response));
        }
    }
    void start_stream(int status, net::http_headers headers) override {
        if (!spoil()) {
            inner_->start_stream(status, std::move(headers));
        }
    }
    void write(std::string chunk) override {
        if (spoiled_) {
            return;
        }
        inner_->write(std::move(chunk));
        if (fault_.kind == fault_kind::cut_stream && ++parts_ >= fault_.after_parts) {
            cut();
        }
    }
    void finish() override {
        if (!spoiled_) {
            inner_->finish();
        }
    }
    void abort() override { inner_->abort(); }
    std::size_t pending_bytes() const override { return inner_->pending_bytes(); }
    void on_closed(std::function<void()> callback) override {
        if (!spoiled_) {
            on_closed_ = callback;
            inner_->on_closed(std::move(callback));
        }
    }

  private:
    bool spoil() {
        if (fault_.kind == fault_kind::lose_answer) {
            cut();
        } else if (fault_.kind == fault_kind::hang_after) {
            spoiled_ = true;
            hold_(inner_);
        }
        return spoiled_;
    }

    /// Breaks the connection; to the stand-in it looks as if the client had gone.
    void cut() {
        spoiled_ = true;
        inner_->abort();
        if (const auto callback = std::exchange(on_closed_, nullptr); callback) {
            callback();
        }
    }

    std::shared_ptr<net::http_exchange> inner_;
    fault_rule fault_;
    holder hold_;
    std::function<void()> on_closed_;
    std::uint64_t parts_ = 0;
    bool spoiled_ = false;
};

}  // namespace

void to_json(json& out, const fault_rule& value) {
    out = {{"kind", name_of(value.kind)},
           {"method", value.method},
           {"path", value.path},
           {"probability", value.probability},
           {"delay_ms", value.delay.count()},
           {"status", value.status},
           {"retry_after_ms", value.retry_after.count()},
           {"after_parts", value.after_parts}};
    if (value.count) {
        out["count"] = *value.count;
    }
}

void from_json(const json& in, fault_rule& value) {
    for (const auto& [field, ignored] : in.items()) {
        if (std::ranges::find(known_fields, field) == known_fields.end()) {
            throw std::invalid_argument("unknown field of a fault: " + field);
        }
    }
    value.kind = kind_of(in.at("kind").get<std::string>());
    value.method = in.value("method", "");
    value.path = in.value("path", "");
    value.probability = in.value("probability", 1.0);
    if (in.contains("count")) {
        value.count = in.at("count").get<std::uint64_t>();
    }
    value.delay = base::milliseconds(in.value("delay_ms", std::int64_t{0}));
    value.status = in.value("status", value.status);
    value.retry_after = base::milliseconds(in.value("retry_after_ms", value.retry_after.count()));
    value.after_parts = in.value("after_parts", std::uint64_t{1});
}

fault_injector::fault_injector(net::event_loop& loop, std::uint64_t seed)
    : loop_(loop), random_(seed) {}

fault_injector::~fault_injector() = default;

absl::Status fault_injector::set_json(std::string_view text) {
    const auto body = backend::parse_json<json>(text);
    if (!body.ok()) {
        return body.status();
    }
    if (!body->is_object() || !body->contains("faults")) {
        return base::make_error(absl::StatusCode::kInvalidArgument, "expected {\"faults\": [...]}",
                                {.step = "set_faults", .reason = "malformed_json"});
    }
    auto rules = backend::parse_json<std::vector<fault_rule>>((*body)["faults"].dump());
    if (!rules.ok()) {
        return rules.status();
    }
    set(*std::move(rules));
    return absl::OkStatus();
}

net::http_handler fault_injector::wrap(net::http_handler handler) {
    return [this, handler = std::move(handler)](const exchange_pointer& exchange) {
        handle(handler, exchange);
    };
}

void fault_injector::handle(const net::http_handler& handler, const exchange_pointer& exchange) {
    const net::http_request& request = exchange->request();
    if (request.path() == faults_path) {
        handle_admin(*exchange);
        return;
    }
    base::milliseconds delay{0};
    const fault_rule* fault = nullptr;
    for (fault_rule& rule : rules_) {
        if (fault != nullptr && rule.kind != fault_kind::delay) {
            continue;
        }
        if (!strikes(rule, request)) {
            continue;
        }
        if (rule.kind == fault_kind::delay) {
            delay += rule.delay;
        } else {
            fault = &rule;
        }
    }
    if (delay.count() == 0) {
        pass(handler, exchange, fault);
        return;
    }
    const std::optional<fault_rule> copy = fault ? std::optional(*fault) : std::nullopt;
    later(delay,
          [this, handler, exchange, copy] { pass(handler, exchange, copy ? &*copy : nullptr); });
}

bool fault_injector::strikes(fault_rule& rule, const net::http_request& request) {
    const bool matches = (rule.method.empty() || rule.method == request.method) &&
                         (rule.path.empty() ? !request.path().starts_with(admin_prefix)
                                            : request.path().starts_with(rule.path));
    if (!matches || rule.count == 0 || !random_.chance(rule.probability)) {
        return false;
    }
    if (rule.count) {
        --*rule.count;
    }
    return true;
}

void fault_injector::pass(const net::http_handler& handler, exchange_pointer exchange,
                          const fault_rule* fault) {
    if (fault == nullptr) {
        handler(std::move(exchange));
        return;
    }
    switch (fault->kind) {
        case fault_kind::refuse:
            exchange->respond(backend::to_response({.status = fault->status,
                                                    .reason = "injected_refusal",
                                                    .detail = "a fault is set",
                                                    .was_executed = base::executed::no,
                                                    .retry_after = fault->retry_after}));
            return;
        case fault_kind::drop:
            exchange->abort();
            return;
        case fault_kind::hang:
            hold(exchange);
            return;
        case fault_kind::hang_after:
        case fault_kind::lose_answer:
        case fault_kind::cut_stream:
        case fault_kind::delay:
            break;
    }
    handler(std::make_shared<faulty_exchange>(
        std::move(exchange), *fault, [this](const exchange_pointer& inner) { hold(inner); }));
}

void fault_injector::hold(const exchange_pointer& exchange) {
    held_.insert(exchange);
    exchange->on_closed([this, key = std::weak_ptr(exchange)] {
        if (const auto held = key.lock()) {
            held_.erase(held);
        }
    });
}

void fault_injector::later(base::milliseconds delay, std::function<void()> task) {
    const std::uint64_t id = ++next_timer_;
    timers_[id] = loop_.after(delay, [this, id, task = std::move(task)] {
        const auto timer = timers_.extract(id);
        task();
    });
}

void fault_injector::handle_admin(net::http_exchange& exchange) {
    const net::http_request& request = exchange.request();
    if (request.method == "POST") {
        if (const absl::Status status = set_json(request.body); !status.ok()) {
            exchange.respond(backend::to_response({.status = 400,
                                                   .reason = "malformed_json",
                                                   .detail = std::string(status.message()),
                                                   .was_executed = base::executed::no}));
            return;
        }
    }
    const json body = {{"faults", rules_}};
    exchange.respond({.headers = {{"Content-Type", "application/json"}}, .body = body.dump()});
}

}  // namespace pearbarrow::emulator
