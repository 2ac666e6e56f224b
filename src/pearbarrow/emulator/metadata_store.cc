#include "pearbarrow/emulator/metadata_store.h"

#include <utility>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include "pearbarrow/emulator/http_answers.h"

namespace pearbarrow::emulator {
namespace {

constexpr base::milliseconds longest_wait{30'000};

std::string encode(const std::string& bytes) {
    return absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()));
}

std::string decode(const std::string& text) {
    std::string bytes;
    absl::Base64Unescape(absl::string_view(text.data(), text.size()), &bytes);
    return bytes;
}

std::uint64_t number(const net::http_request& request, std::string_view name) {
    const std::string text = request.query(name).value_or("");
    std::uint64_t value = 0;
    static_cast<void>(absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &value));
    return value;
}

bool begins_with(const std::string& text, const std::string& prefix) {
    return text.rfind(prefix, 0) == 0;
}

}  // namespace

metadata_store::metadata_store(net::event_loop& loop)
    : loop_(loop),
      server_(
          net::make_http_server(loop, {.listen = {"127.0.0.1", 0}},
                                [this](const exchange_pointer& exchange) { handle(exchange); })) {}

metadata_store::~metadata_store() = default;

absl::Status metadata_store::start() {
    return server_->start();
}

void metadata_store::put(const std::string& key, const std::string& value) {
    item& entry = items_[key];
    ++revision_;
    if (entry.made == 0 || entry.gone) {
        entry.made = revision_;
    }
    entry.value = value;
    entry.revision = revision_;
    entry.gone = false;
    history_.emplace_back(key, entry);
    tell_watchers();
}

void metadata_store::remove(const std::string& key) {
    item& entry = items_[key];
    entry.revision = ++revision_;
    entry.gone = true;
    history_.emplace_back(key, entry);
    tell_watchers();
}

std::string metadata_store::value(const std::string& key) const {
    const auto found = items_.find(key);
    return found == items_.end() || found->second.gone ? "" : found->second.value;
}

void metadata_store::handle(const exchange_pointer& exchange) {
    ++calls_;
    if (trouble_ == trouble::refusing) {
        respond_problem(*exchange, {.status = 503, .reason = "store_down"});
        return;
    }
    if (trouble_ == trouble::silent) {
        held_.push_back(exchange);
        return;
    }
    if (refused_each_ > 0 && calls_ % refused_each_ == 0) {
        respond_problem(*exchange, {.status = 429, .reason = "too_many_calls"});
        return;
    }
    const std::string_view path = exchange->request().path();
    if (path == "/kv-range") {
        range(*exchange);
    } else if (path == "/kv-watch") {
        watch(exchange);
    } else if (path == "/kv-txn") {
        transact(*exchange);
        if (trouble_ == trouble::losing_answers) {
            exchange->abort();
        }
    } else {
        respond_unknown_path(*exchange);
    }
}

nlohmann::json metadata_store::show(const std::string& key, const item& entry) {
    return {{"tls_key", key},
            {"value", encode(entry.value)},
            {"rev", entry.revision},
            {"made", entry.made},
            {"lease", 0}};
}

void metadata_store::range(net::http_exchange& exchange) const {
    const std::string prefix = exchange.request().query("path_prefix").value_or("");
    const std::string after = exchange.request().query("after").value_or("");
    nlohmann::json items = nlohmann::json::array();
    bool more = false;
    for (auto at = items_.upper_bound(after); at != items_.end(); ++at) {
        const auto& [key, entry] = *at;
        if (!begins_with(key, prefix) || entry.gone) {
            continue;
        }
        if (items.size() == page_items_) {
            more = true;
            break;
        }
        items.push_back(show(key, entry));
    }
    respond_json(exchange, {{"items", items}, {"more", more}, {"at", revision_}});
}

nlohmann::json metadata_store::events(const std::string& prefix, std::uint64_t after) const {
    nlohmann::json found = nlohmann::json::array();
    for (const auto& [key, entry] : history_) {
        if (!begins_with(key, prefix) || entry.revision <= after) {
            continue;
        }
        if (entry.gone) {
            found.push_back({{"tls_key", key}, {"rev", entry.revision}, {"gone", true}});
        } else {
            found.push_back(show(key, entry));
        }
    }
    return found;
}

void metadata_store::watch(const exchange_pointer& exchange) {
    const net::http_request& request = exchange->request();
    const std::uint64_t after = number(request, "after");
    if (after < history_from_) {
        respond_problem(*exchange, {.status = 410, .reason = "history_gone"});
        return;
    }
    watcher& waiting = watchers_.emplace_back();
    const auto position = std::prev(watchers_.end());
    waiting.exchange = exchange;
    waiting.prefix = request.query("path_prefix").value_or("");
    waiting.after = after;
    const base::milliseconds wait{static_cast<std::int64_t>(number(request, "wait_ms"))};
    waiting.limit = loop_.after(std::min(wait, longest_wait), [this, position] {
        if (position->after < history_from_) {
            // Cut: the next watch from the same place learns that the history is gone.
            position->exchange->abort();
        } else {
            const bool deaf = trouble_ == trouble::deaf_watches;
            tell(*position,
                 deaf ? nlohmann::json::array() : events(position->prefix, position->after));
        }
        watchers_.erase(position);
    });
    tell_watchers();
}

void metadata_store::tell(watcher& waiting, const nlohmann::json& found) const {
    respond_json(*waiting.exchange, {{"events", found}, {"at", revision_}});
}

void metadata_store::tell_watchers() {
    if (trouble_ != trouble::none) {
        return;
    }
    for (auto at = watchers_.begin(); at != watchers_.end();) {
        const nlohmann::json found = events(at->prefix, at->after);
        if (found.empty()) {
            ++at;
            continue;
        }
        tell(*at, found);
        at = watchers_.erase(at);
    }
}

void metadata_store::transact(net::http_exchange& exchange) {
    const auto body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object()) {
        respond_bad_request(exchange, "the body is not JSON");
        return;
    }
    for (const auto& row : body.value("expect_rev", nlohmann::json::array())) {
        const auto held = items_.find(row.value("tls_key", ""));
        const std::uint64_t revision =
            held == items_.end() || held->second.gone ? 0 : held->second.revision;
        if (revision != row.value("rev", std::uint64_t{0})) {
            exchange.respond({.status = 412, .headers = {}, .body = R"({"items":[]})"});
            return;
        }
    }
    for (const auto& row : body.value("put", nlohmann::json::array())) {
        put(row.value("tls_key", ""), decode(row.value("value", "")));
    }
    if (trouble_ != trouble::losing_answers) {
        respond_json(exchange, {{"rev", revision_}});
    }
}

}  // namespace pearbarrow::emulator
