/// Stand-in of the users' metadata store: ranges, watches and conditional writes, with faults.
///
/// Speaks the published protocol of that store (`/kv-range`, `/kv-watch`, `/kv-txn`), as far as the
/// product uses it. Operators of tests write with `put` and `remove`.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

class metadata_store {
  public:
    /// What is wrong with the store at present.
    enum class trouble {
        none,
        /// 503 to every call.
        refusing,
        /// No answer to any call.
        silent,
        /// Writes are done and not answered.
        losing_answers,
        /// Waiting watches are told nothing.
        deaf_watches,
    };

    explicit metadata_store(net::event_loop& loop);
    ~metadata_store();
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;

    absl::Status start();
    net::endpoint address() const { return server_->local_endpoint(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// The value of a key; empty when there is none.
    std::string value(const std::string& key) const;
    void set_trouble(trouble kind) { trouble_ = kind; }
    /// A range is answered in pages of so many items.
    void set_page_items(std::size_t items) { page_items_ = items; }
    /// Every so many calls one is answered 429, as beyond the rate; 0: none.
    void refuse_each(std::uint64_t calls) { refused_each_ = calls; }
    /// Forgets which changes led here: a watch from before gets 410.
    void forget_history() { history_from_ = revision_; }
    std::uint64_t calls() const { return calls_; }

  private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t made = 0;
        bool gone = false;
    };
    struct watcher {
        exchange_pointer exchange;
        std::string prefix;
        std::uint64_t after = 0;
        std::unique_ptr<net::timer_handle> limit;
    };

    void handle(const exchange_pointer& exchange);
    void range(net::http_exchange& exchange) const;
    void watch(const exchange_pointer& exchange);
    void transact(net::http_exchange& exchange);
    nlohmann::json events(const std::string& prefix, std::uint64_t after) const;
    void tell(watcher& waiting, const nlohmann::json& found) const;
    void tell_watchers();
    static nlohmann::json show(const std::string& key, const item& entry);

    net::event_loop& loop_;
    std::unique_ptr<net::http_server> server_;
    std::map<std::string, item> items_;
    /// Every change, in its order: a watch tells each of them, also several of one key.
    std::vector<std::pair<std::string, item>> history_;
    std::list<watcher> watchers_;
    std::list<exchange_pointer> held_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_from_ = 0;
    std::uint64_t calls_ = 0;
    std::size_t page_items_ = 500;
    std::uint64_t refused_each_ = 0;
    trouble trouble_ = trouble::none;
};

}  // namespace pearbarrow::emulator
