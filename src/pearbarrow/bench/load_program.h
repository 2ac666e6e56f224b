/// One program of a load run: opened, driven through its calls, ended.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/bench/load_call.h"

namespace pearbarrow::bench {

/// The tenant in whose name programs run.
struct load_tenant {
    base::tenant_id tenant;
    std::string api_key;
};

/// The shape of the programs; each one's turns are drawn from it.
struct load_shape {
    std::string program_class = "pairing";
    std::string model = "pearl-8b";
    /// A tool that may run twice, and one that must not; empty: no such calls.
    std::string repeatable_tool = "catalog";
    std::string single_run_tool = "hold";
    std::uint64_t fewest_turns = 2;
    std::uint64_t most_turns = 5;
    std::uint64_t prompt_words = 40;
    std::uint64_t output_tokens = 48;
    std::uint64_t token_budget = 200'000;
    base::milliseconds think_time{50};
    /// Share of programs whose budget is too small, so that a call is refused.
    double tight_budget_share = 0;
    /// Share of programs that their caller leaves without ending them.
    double abandoned_share = 0;
    /// Share of calls after which another tenant tries to read the program's history.
    double foreign_read_share = 0;
};

/// How a program ended, and its calls' outcomes in order.
struct load_program_outcome {
    bool opened = false;
    bool ended = false;
    bool all_answered = true;
    /// Ended after a refusal that it was meant to meet.
    bool refused_as_meant = false;
    bool abandoned = false;
    base::microseconds total{0};
    std::vector<load_outcome> calls;
    std::string failure;
};

/// Keep it until `done` has run.
class load_program {
  public:
    using done_handler = std::function<void(load_program_outcome)>;

    /// `stranger` is another tenant, who tries to read what is not theirs.
    load_program(load_context& context, const load_shape& shape, load_tenant tenant,
                 load_tenant stranger, done_handler done);
    void start();

  private:
    void open();
    void opened(const net::http_response& response);
    void next_call();
    load_request model_request();
    load_request tool_request(const std::string& tool, bool repeatable);
    void write_sent(bool is_model_call, bool repeatable);
    void called(const load_request& request, load_outcome outcome);
    void add_to_conversation(const load_request& request, const std::string& output);
    void end();
    void abandon();
    void try_foreign_read();
    /// Sends a request that may be repeated, at one node after the other until one answers.
    void fetch_anywhere(net::http_call call, int tries_left,
                        std::function<void(const net::http_response&)> answered);
    void finish();

    load_context& context_;
    const load_shape& shape_;
    load_tenant tenant_;
    load_tenant stranger_;
    done_handler done_;
    load_program_outcome outcome_;
    base::instant started_at_;
    base::program_id program_;
    std::string open_key_;
    std::uint64_t token_budget_ = 0;
    bool is_tight_ = false;
    std::uint64_t calls_left_ = 0;
    /// Refused calls that may still be asked anew under the next number.
    int repeats_left_ = 20;
    base::call_number call_;
    std::vector<backend::chat_message> conversation_;
    std::unique_ptr<load_call> current_;
    std::unique_ptr<net::timer_handle> timer_;
};

}  // namespace pearbarrow::bench
