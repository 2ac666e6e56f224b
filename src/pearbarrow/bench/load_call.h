/// One call of a load run, carried through refusals, lost connections and replaced nodes until its
/// final answer.
///
/// A call keeps its number, so it may be posted again at any node: the owner runs it once and
/// answers the repeat with the first's result. A broken stream goes on after the last event seen.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/bench/history_file.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/server_sent_events.h"

namespace pearbarrow::bench {

/// What the calls of a load run share.
struct load_context {
    net::event_loop& loop;
    net::http_client& client;
    const base::clock& clock;
    base::random_source& random;
    history_file& history;
    /// Callers' listeners of the nodes.
    std::vector<net::endpoint> nodes;
    /// Longest time that a caller tries to get one answer.
    base::milliseconds patience{60'000};
    /// Time limit that each call states.
    base::milliseconds deadline{30'000};
};

/// How a call ended for its caller.
struct load_outcome {
    bool answered = false;
    std::string output;
    int status = 0;
    std::string reason;
    base::executed executed = base::executed::unknown;
    /// The refusal settled this call's number, but a call of the next number may succeed after
    /// `next_call_after`.
    bool may_use_next_number = false;
    base::milliseconds next_call_after{0};
    base::microseconds first_part{0};
    base::microseconds total{0};
    int interruptions = 0;
    int refusals = 0;
};

struct load_request {
    std::string api_key;
    base::program_id program;
    base::call_number call;
    /// Body of POST .../calls.
    nlohmann::json body;
};

/// Keep it until `done` has run.
class load_call {
  public:
    using done_handler = std::function<void(load_outcome)>;

    load_call(load_context& context, load_request request, done_handler done);
    void start();

  private:
    void send();
    void take_head(int status);
    void take_event(const net::server_sent_event& event);
    void take_end(const absl::Status& status);
    void take_problem(const nlohmann::json& problem);
    void interrupted(const std::string& detail);
    void send_again_after(base::milliseconds delay);
    void finish();
    bool out_of_patience() const;

    load_context& context_;
    load_request request_;
    done_handler done_;
    load_outcome outcome_;
    base::instant started_at_;
    std::size_t node_ = 0;
    std::unique_ptr<net::http_call_handle> handle_;
    std::unique_ptr<net::timer_handle> timer_;
    std::optional<net::server_sent_event_parser> parser_;
    std::optional<nlohmann::json> result_;
    std::optional<nlohmann::json> problem_;
    std::string problem_body_;
    std::string streamed_;
    std::string last_event_id_;
    int status_ = 0;
};

}  // namespace pearbarrow::bench
