/// Implementation of `shard_owner`. Only files of this folder include it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/program/counted_limits.h"
#include "pearbarrow/program/history_cache.h"
#include "pearbarrow/program/limits.h"
#include "pearbarrow/program/owner_options.h"
#include "pearbarrow/program/program_state.h"
#include "pearbarrow/program/runtime.h"
#include "pearbarrow/program/shard_actions.h"
#include "pearbarrow/program/shard_events.h"

namespace pearbarrow::program {

/// A program's durable state and runtime. The references are valid until the program is forgotten.
struct program_context {
    program_state& program;
    program_runtime& runtime;
};

/// State and runtime of one unfinished call. The references are valid until its result is
/// committed.
struct call_context {
    program_state& program;
    program_runtime& runtime;
    call_state& call;
    call_runtime& active;
};

/// Returns the name of an attempt at its back end: `<program id>.<call number>.<attempt number>`.
base::attempt_id attempt_name(const base::program_id& program, base::call_number number,
                              attempt_number attempt);
std::string event_id(attempt_number attempt, std::uint64_t offset);

class owner_state {
  public:
    explicit owner_state(owner_options options);

    std::vector<shard_action> apply(const shard_event& event, base::instant now);

    std::size_t program_count() const { return programs_.size(); }
    std::size_t history_cache_bytes() const { return histories_.bytes(); }
    std::vector<base::program_id> live_programs() const;
    bool idle() const;
    std::vector<quota_need> needs_of(const wire::program_request& request);
    const quota_use_map& quota_use() const { return quota_use_; }

  private:
    using effect = std::function<void()>;

    // owner_state.cc: events, the journal, replies, timers.
    void on(const event::request_received& event);
    void on(const event::requester_gone& event);
    void on(const event::records_committed& event);
    void on(const event::journal_availability& event);
    void on(const event::ownership_lost& event);
    void on(const event::concurrency_limits_changed& event);
    void on(const event::configuration_changed& event);
    void on(const event::tick& event);
    std::vector<config::applied_bounds> bounds_on(const base::tenant_id& tenant,
                                                  const wire::open_program_request& request) const;
    // owner_quotas.cc: use of limits that are counted across the fleet.
    void count_program(program_context at);
    void uncount_program(program_context at);
    void count_call(call_context at);
    void uncount_call(call_context at);
    void recount_quota_use();
    /// Returns the configured bounds on a program with this tenant, class and labels.
    config::limits configured_bounds(const base::tenant_id& tenant,
                                     const wire::open_program_request& request) const;
    /// Returns the limits that apply to a program.
    wire::program_limits limits_in_force(const program_state& program) const;
    void emit(shard_action action) { actions_.push_back(std::move(action)); }
    /// Applies the record to the state and appends it to the journal.
    void append(program_state& program, program_record record);
    /// Runs `then` once all records appended so far are committed; immediately if they already are.
    void when_committed(effect then);
    void make_snapshot_if_due();
    action::leadership leadership() const;
    /// Leadership for reads. Its trust time is zero, because a newer owner may exist at any time.
    action::leadership leadership_to_confirm() const;
    void reply(reply_token token, wire::program_reply reply, bool confirm = false);
    void reply_error(reply_token token, absl::Status status, bool confirm = false);
    /// Replies with the program's view once all records appended so far are committed. With
    /// `confirm` set the leadership is confirmed first, so that the view is the newest one.
    void reply_view(reply_token token, const base::program_id& program, bool confirm = false);
    std::optional<program_context> find(const base::program_id& program);
    std::optional<call_context> find(const base::program_id& program, base::call_number number);
    std::optional<call_context> find(const base::attempt_id& attempt);
    std::optional<call_context> find(offer_id offer);
    void wake_at(const base::program_id& program, base::instant at);
    base::microseconds backoff(std::uint32_t tries, const base::program_id& program) const;
    /// Runs all timers of one program that are due.
    void check_program(program_context at);
    void check_call(call_context at);
    void check_deadline(call_context at);
    void fail_uncommitted_readers(call_context at);

    // owner_requests.cc: requests from gateways and other owners.
    void refuse_not_owner(reply_token token);
    bool refuse_without_quorum(reply_token token);
    void handle(reply_token token, const wire::program_request& request);
    void open(reply_token token, const wire::program_request& request);
    void handle(reply_token token, program_context at, const wire::program_request& request);
    void submit(reply_token token, program_context at, const wire::submit_call_request& request);
    void submit_new(reply_token token, program_context at, const wire::submit_call_request& request,
                    base::call_number number);
    void queue_early_call(reply_token token, program_context at,
                          const wire::submit_call_request& request, base::call_number number);
    void submit_early_calls(program_context at);
    void accept(reply_token token, program_context at, const wire::submit_call_request& request,
                base::call_number number);
    absl::Status admit(program_context at, const wire::submit_call_request& request);
    void cancel(reply_token token, program_context at, base::call_number number);
    void explain(reply_token token, program_context at, base::call_number number);
    void explain_to_operator(reply_token token, const wire::program_request& request);
    void open_program(const base::program_id& id, const base::tenant_id& tenant,
                      const wire::open_program_request& request);

    // owner_calls.cc: processing of a call from acceptance to result.
    void advance(program_context at);
    void begin(call_context at);
    void offer(call_context at);
    action::call_description describe(call_context at, attempt_number attempt) const;
    void on(const event::placement_granted& event);
    void on(const event::placement_refused& event);
    void on(const event::placement_lost& event);
    void send_attempt(call_context at);
    void start_model(call_context at, const program_history& history);
    void start_tool(call_context at);
    void finish_placement(call_context at, wire::attempt_outcome outcome,
                          std::optional<wire::token_usage> usage);
    void fail(call_context at, const absl::Status& status, std::optional<std::uint64_t> spent);
    void finish(call_context at, result_record result);
    void complete(const base::program_id& program, base::call_number number);
    /// Closes the attempt and backs off before the next one. Fails the call when the maximum number
    /// of attempts is reached.
    void retry(call_context at, const absl::Status& why, std::optional<std::uint64_t> spent);
    /// Stops a call at any stage. Its result is an error that states whether the call was executed,
    /// as far as that is known.
    void stop(call_context at, absl::StatusCode code, std::string_view message,
              std::string_view reason);
    base::executed executed_so_far(const call_context& at) const;
    void set_stage(call_runtime& active, call_stage stage);

    // owner_models.cc: attempts at engines.
    void on(const event::model_part& event);
    void on(const event::model_finished& event);
    void on(const event::model_failed& event);
    void on(const event::model_lost& event);
    void on(const event::start_expired& event);
    /// Resumes a broken stream after a backoff, or cancels the attempt after `max_resumes` tries.
    void handle_lost_stream(call_context at);
    void resume_model(call_context at);
    void stop_model(call_context at);
    void finish_stop(call_context at, std::optional<wire::token_usage> usage);

    // owner_tools.cc: attempts at tools.
    void on(const event::tool_finished& event);
    void on(const event::tool_failed& event);
    void on(const event::tool_lost& event);
    void on(const event::tool_status& event);
    void query_tool(call_context at);
    void handle_tool_in_doubt(call_context at);
    void finish_tool_call(call_context at, const std::string& output);
    void fail_outcome_unknown(call_context at);
    void fail_not_delivered(call_context at);

    // owner_readers.cc: replies to readers, histories.
    void attach(program_context at, base::call_number number, call_reader reader);
    void deliver(call_context at);
    void deliver(call_reader& reader, base::call_number number, attempt_number attempt,
                 const std::string& text);
    void send_result(call_reader reader, const program_state& program, const result_record& result);
    const program_history* history(program_context at);
    void need_history(program_context at, history_request request);
    void request_history(program_context at);
    void serve_history_requests(program_context at, const program_history& history);
    void on(const event::retained_read& event);

    // owner_ending.cc: end of a program, cache release, removal of its state.
    void begin_end(program_context at, const std::string& reason);
    void finish_end_if_no_calls(program_context at);
    void on_end_committed(program_context at);
    void start_releases(program_context at);
    void check_releases(program_context at);
    void on(const event::cache_released& event);
    void check_limits(program_context at);
    void check_forget(program_context at);
    void forget(program_context at);

    // owner_transfers.cc: budget transfers between a program and its sub-programs.
    void open_sub_program(reply_token token, const wire::program_request& request);
    void open_child(reply_token token, const wire::program_request& request);
    void handle_budget_return(reply_token token, program_context at,
                              const wire::return_budget_request& request);
    void check_transfers(program_context at);
    void check_budget_return(program_context at);
    void send_open_child(program_context at, const base::program_id& child);
    void on(const event::owner_answered& event);
    void on_child_reply(program_context at, const base::program_id& child,
                        const absl::StatusOr<wire::program_reply>& reply);
    void on_budget_return_reply(program_context at,
                                const absl::StatusOr<wire::program_reply>& reply);

    // recovery.cc: recovery from the journal, the first event of a term.
    void on(const event::journal_recovered& event);
    void recover(program_context at);
    void recover_attempt(call_context at);

    wire::program_view view_of(const program_state& program) const;

    const owner_options options_;
    base::instant now_{};
    std::vector<shard_action> actions_;

    bool recovered_ = false;
    bool ownership_lost_ = false;
    bool has_quorum_ = true;
    base::node_id new_owner_;

    program_map programs_;
    std::map<base::program_id, program_runtime> runtimes_;
    history_cache histories_;
    concurrency concurrency_;
    quota_use_map quota_use_;
    /// Null until the shell provides it. While it is null, callers' claims about tools are trusted.
    config::configuration_ptr configuration_;
    base::region_name region_;

    append_sequence last_appended_ = 0;
    append_sequence committed_ = 0;
    /// Sequence and append time of each uncommitted record.
    std::deque<std::pair<append_sequence, base::instant>> append_times_;
    base::instant leadership_known_at_{};
    std::deque<std::pair<append_sequence, effect>> effects_;
    std::uint64_t records_since_snapshot_ = 0;

    /// Requesters that have not received their final reply.
    std::set<reply_token> waiting_requesters_;
    std::uint64_t next_offer_ = 1;
    std::map<offer_id, std::pair<base::program_id, base::call_number>> offers_;
    std::map<base::attempt_id, std::pair<base::program_id, base::call_number>> attempts_;
    std::uint64_t next_exchange_ = 1;
    /// The program of each exchange, and the child if the exchange opens one.
    std::map<std::uint64_t, std::pair<base::program_id, std::optional<base::program_id>>>
        exchanges_;
    std::set<std::pair<base::instant, base::program_id>> wake_ups_;
};

}  // namespace pearbarrow::program
