/// HTTP shell of the tool model: the protocol of docs/backend-protocol.md.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/emulator/history_writer.h"
#include "pearbarrow/emulator/tool_model.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

struct tool_server_options {
    /// Name in the history.
    std::string name = "tool";
    tool_options model;
};

class tool_server {
  public:
    /// `history` must outlive the server.
    tool_server(net::event_loop& loop, const base::clock& clock, tool_server_options options,
                history_writer& history);
    ~tool_server();

    void handle(const std::shared_ptr<net::http_exchange>& exchange);

  private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    struct waiting_answer {
        exchange_pointer exchange;
        bool repeated = false;
    };

    void route(const exchange_pointer& exchange);
    void handle_invoke(const exchange_pointer& exchange, const base::tool_name& tool);
    void handle_query(net::http_exchange& exchange, const base::tool_name& tool,
                      const std::string& key, bool fence);
    void handle_admin(net::http_exchange& exchange);
    void handle_ledger(net::http_exchange& exchange) const;
    static void answer(net::http_exchange& exchange, const tool_run& run, bool repeated);
    void record(std::string_view event, const tool_run& run);
    /// Wall-clock time of an instant of this process, in microseconds since the Unix epoch.
    std::int64_t unix_time(base::instant at) const;
    void advance();
    void schedule();

    net::event_loop& loop_;
    const base::clock& clock_;
    tool_server_options options_;
    history_writer& history_;
    tool_model model_;
    std::multimap<std::uint64_t, waiting_answer> waiting_;
    std::unique_ptr<net::timer_handle> timer_;
};

}  // namespace pearbarrow::emulator
