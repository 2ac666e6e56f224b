/// HTTP shell of the engine model: the protocol of docs/backend-protocol.md.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/emulator/answer_text.h"
#include "pearbarrow/emulator/engine_model.h"
#include "pearbarrow/emulator/engine_request.h"
#include "pearbarrow/emulator/history_writer.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

/// How long answers are when the request's limit does not cut them, in tokens.
struct answer_length {
    std::uint64_t shortest = 24;
    std::uint64_t longest = 96;
};

struct engine_server_options {
    /// Name in the history.
    std::string name = "engine";
    engine_options model;
    answer_length answers;
};

class engine_server {
  public:
    /// `history` must outlive the server.
    engine_server(net::event_loop& loop, const base::clock& clock, engine_server_options options,
                  history_writer& history);
    ~engine_server();

    void handle(const std::shared_ptr<net::http_exchange>& exchange);

  private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    struct subscriber {
        exchange_pointer exchange;
        /// Next token to send.
        std::uint64_t next = 1;
        bool streamed = true;
    };
    struct stream {
        answer_text text;
        std::string model;
        backend::finish_reason reason = backend::finish_reason::stop;
        std::map<std::uint64_t, subscriber> subscribers;
        std::int64_t arrived_at = 0;
        std::int64_t first_token_at = 0;
    };

    void route(const exchange_pointer& exchange);
    void route_cache(net::http_exchange& exchange);
    void handle_generate(const exchange_pointer& exchange);
    void handle_stream(const exchange_pointer& exchange, const std::string& id);
    void handle_program(net::http_exchange& exchange, const base::program_id& program);
    void handle_export(net::http_exchange& exchange);
    void handle_import(net::http_exchange& exchange);
    void handle_order(net::http_exchange& exchange);
    void handle_meter(net::http_exchange& exchange, const std::string& id);
    void handle_admin(net::http_exchange& exchange);

    /// What the model is to run, and the record of the stream.
    generation plan(const engine_request& request, stream& record) const;
    void refuse(net::http_exchange& exchange, const start_outcome& outcome) const;
    void subscribe(const base::attempt_id& attempt, const exchange_pointer& exchange,
                   std::uint64_t from, bool streamed);
    void deliver();
    void deliver_to(const base::attempt_id& attempt, stream& record);
    static void send_tokens(const base::attempt_id& attempt, const stream& record,
                            subscriber& target, std::uint64_t last);
    static void send_end(const base::attempt_id& attempt, const stream& record,
                         const stream_view& view, const subscriber& target);
    void record_arrival(const engine_request& request, const generation& planned,
                        const answer_text& text, const start_outcome& outcome);
    void record_end(const base::attempt_id& attempt, const stream& record);
    void advance();
    void schedule();
    void tick();

    net::event_loop& loop_;
    const base::clock& clock_;
    engine_server_options options_;
    history_writer& history_;
    engine_model model_;
    std::map<base::attempt_id, stream> streams_;
    std::uint64_t next_subscriber_ = 0;
    std::uint64_t unnamed_requests_ = 0;
    std::unique_ptr<net::timer_handle> step_timer_;
    std::unique_ptr<net::timer_handle> ticker_;
};

}  // namespace pearbarrow::emulator
