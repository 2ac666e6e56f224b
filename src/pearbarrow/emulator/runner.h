/// Stand-in of a runner of the users' platform: runs plain requests and streams, with faults.
///
/// Speaks the published protocol of that platform as far as forwarding meets it: it refuses
/// requests for another instance with 421, echoes the request's id and signs its answers.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::emulator {

/// What a runner does with the next requests.
enum class runner_fault {
    none,
    /// 503, not run.
    refuse,
    /// Runs, then closes without an answer.
    lose_answer,
    /// Runs and never answers.
    hang,
    /// Accepts everything and answers nothing, health checks included.
    unresponsive,
    /// Answers with the id of another request.
    foreign_answer,
    /// Breaks the connection in the middle of a stream.
    cut_stream,
    /// Breaks the connection some time after the first event of a stream, so that the caller
    /// receives the event.
    cut_after_event,
    /// Answers 200 without a signature.
    unsigned_answer,
};

/// How a runner ends a stream that it breaks off.
enum class stream_end {
    /// As a whole one: by its framing, or by an orderly end of its connection.
    finish,
    /// By a reset of its connection.
    reset,
    /// It sends nothing more and keeps the connection.
    hang,
};

/// Breaks streams off after some bytes of their body.
struct stream_cut {
    std::size_t bytes = 0;
    stream_end end = stream_end::finish;
};

/// When a request ends the process of the runner that has it.
enum class crash_moment {
    /// While the request is queued, before it has run.
    queued,
    /// After the head of its response.
    after_head,
    /// After the first event of its stream.
    after_first_event,
    /// After its last event, before the stream is framed as complete.
    after_last_event,
};

/// Requests whose target or body contains `marker` end the process.
struct lethal_requests {
    std::string marker;
    crash_moment moment = crash_moment::after_head;
};

struct runner_options {
    std::string id = "i-1";
    std::string zone = "a";
    /// Version of its software.
    std::string version = "v1";
    /// When the process started. Unix time in milliseconds; 0: it doesn't tell.
    std::uint64_t born = 0;
    /// Events of a stream, and the pause before each.
    std::uint32_t events = 3;
    base::milliseconds event_interval{2};
    /// Framing of streams and of plain answers. Plain answers have a length instead of chunks.
    net::body_framing framing = net::body_framing::chunks;
    /// Ends each line of a stream.
    std::string line_end = "\n";
    /// Line before the fields of each event, e.g. a comment or a field of another kind.
    std::string first_line;
};

/// A request that a runner has run.
struct run_record {
    std::string request_id;
    std::string target;
    std::string body;
    std::string deadline;
    /// Version of the software that ran it.
    std::string version;
    /// All that the runner was told.
    net::http_headers headers;
    bool cancelled = false;
    /// Whether its stream was cut after a whole event and ended as a whole one.
    bool was_cut_between_events = false;
    /// Whether the request ended the process.
    bool ended_process = false;
};

class runner {
  public:
    /// Path of its health check.
    static constexpr char health_path[] = "/healthz";
    /// Path at which it reports on itself.
    static constexpr char report_path[] = "/report";

    runner(net::event_loop& loop, runner_options options);
    ~runner();
    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    absl::Status start();
    /// Ends as a crash does, and starts again under the same id and address; `runs` are kept, as
    /// the test's record.
    absl::Status start_again(std::uint64_t born);
    net::endpoint address() const { return address_; }
    /// Ends as a crash does, with all its connections. Nothing listens at the address until
    /// `start_again`.
    void crash();
    bool is_running() const { return server_ != nullptr; }
    /// Number of crashes that a request has caused.
    std::uint32_t lethal_crashes() const { return lethal_crashes_; }
    void set_lethal(std::optional<lethal_requests> lethal) { lethal_ = std::move(lethal); }
    /// The entry under `servers/ID` of a runner of `service`.
    std::string list_entry(const std::string& service, const std::string& state = "ready") const;
    void set_fault(runner_fault fault) { fault_ = fault; }
    void set_cut(std::optional<stream_cut> cut) { cut_ = cut; }
    void set_framing(net::body_framing framing) { options_.framing = framing; }
    void set_line_end(std::string line_end) { options_.line_end = std::move(line_end); }
    void set_first_line(std::string line) { options_.first_line = std::move(line); }
    /// Body of a stream that is not broken off.
    std::string stream_text() const;
    /// Number of requests with a body that it has accepted and does not answer.
    std::size_t held_requests() const;
    const std::deque<run_record>& runs() const { return runs_; }
    const std::string& id() const { return options_.id; }
    const std::string& zone() const { return options_.zone; }
    const std::string& version() const { return options_.version; }
    /// Sets the id under which the runner lists itself and accepts requests.
    void set_id(std::string id) { options_.id = std::move(id); }
    /// Sets the version that the next entry and the following events state.
    void set_version(std::string version) { options_.version = std::move(version); }

  private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;
    struct open_stream {
        exchange_pointer exchange;
        /// Index in `runs_`.
        std::size_t run = 0;
        std::uint32_t sent = 0;
        std::size_t sent_bytes = 0;
        std::unique_ptr<net::timer_handle> next;
    };

    std::unique_ptr<net::http_server> make_server(const net::endpoint& listen);
    void handle(const exchange_pointer& exchange);
    void end_streams();
    bool is_lethal(const net::http_request& request) const;
    /// Schedules the crash that a request causes. `run` is its index in `runs_`.
    void crash_soon(std::size_t run);
    /// Returns whether the stream has reached the moment at which its request ends the process.
    bool has_reached_crash(const open_stream& stream) const;
    void answer_plain(net::http_exchange& exchange) const;
    void start_stream(const exchange_pointer& exchange);
    void respond_with_length(net::http_exchange& exchange, net::http_headers headers);
    void send_event(std::uint64_t number);
    /// Sends the part of the event that precedes the cut, and ends the stream there. Returns
    /// whether the stream was cut.
    bool cut_event(std::uint64_t number, const std::string& event);
    std::string event_text(std::uint32_t sent) const;
    static std::uint32_t first_event(const net::http_request& request);
    net::http_headers answer_headers(const net::http_request& request) const;

    net::event_loop& loop_;
    runner_options options_;
    std::unique_ptr<net::http_server> server_;
    net::endpoint address_;
    std::optional<lethal_requests> lethal_;
    std::unique_ptr<net::timer_handle> crash_timer_;
    std::uint32_t lethal_crashes_ = 0;
    runner_fault fault_ = runner_fault::none;
    std::optional<stream_cut> cut_;
    std::deque<run_record> runs_;
    std::map<std::uint64_t, open_stream> streams_;
    std::vector<exchange_pointer> held_;
    std::uint64_t last_stream_ = 0;
};

}  // namespace pearbarrow::emulator
