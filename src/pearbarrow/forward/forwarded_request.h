/// One request of a caller, from its arrival to the end of its answer.
///
/// Protocol: plain requests go straight to a back end. A request with a token budget first reserves
/// its tokens on the storage members; on a route that keeps history its prompt is put together
/// there, and its answer ends only once most members have stored the turn.
///
/// Invariants: a request that may run at most once is never sent again after one of its bytes may
/// have reached a back end, unless that back end said that it did not run it. Statuses that promise
/// "not run" are given only where that holds.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "pearbarrow/forward/forward_context.h"
#include "pearbarrow/forward/request_facts.h"
#include "pearbarrow/forward/request_steps.h"
#include "pearbarrow/net/server_sent_events.h"

namespace pearbarrow::forward {

class forwarded_request {
  public:
    /// `on_over` runs once, when nothing is left to do; the object may then be destroyed.
    forwarded_request(forward_context& context, std::shared_ptr<net::http_exchange> exchange,
                      std::shared_ptr<const active_configuration> active,
                      const directory::route& route, request_facts facts,
                      std::function<void()> on_over);
    ~forwarded_request();
    forwarded_request(const forwarded_request&) = delete;
    forwarded_request& operator=(const forwarded_request&) = delete;

    void start();

  private:
    void go_on();

    /// How far the answer has come towards the caller.
    enum class answer_stage { none, streaming, done };

    // Limits, forwarded_quota.cc.
    /// Whether the next attempt may be sent as far as the tenant's limit goes.
    bool holds_grant() const;
    void ask_quota();
    void take_quota(const tenants::quota_decision& decision);
    void refuse_by_quota(const tenants::quota_decision& decision);

    // Back ends that have just started, forwarded_permit.cc.
    /// Sends to the cold back end that has been chosen, if it bears the request.
    void place_cold();
    void ask_permit(const slowstart::cold_start& target);
    void take_permit(const slowstart::permit_decision& decision);
    /// Whether the chosen back end is warm, or its permit is still good.
    bool holds_permit() const;
    /// Gives back the place at a back end that was chosen and not sent to.
    void leave_place();
    void wait_for_permit();

    // New programs, forwarded_program.cc.
    /// Whether this is known to be the first turn of its program.
    bool begins_program() const;
    /// True: the request has been answered, its program may not begin now.
    bool is_turned_away();
    std::uint32_t priority_at_engine() const;
    /// Whether the engine's first event came in time, for the gate.
    void note_turn(bool in_time);

    // Turns, forwarded_turn.cc.
    void prepare_turn();
    void take_preparation(turns::prepared_turn prepared);
    void refuse_turn(const turns::prepared_turn& prepared);
    /// False while the turn waits and no member has heard of it.
    bool may_be_reserved() const;
    void settle(std::uint64_t tokens);
    void store_turn();
    /// 0: none has begun to answer.
    dispatch::backend_key ran_at() const;
    std::uint64_t spent_tokens() const;
    turns::reservation reserved() const;

    // Where it may go, forwarded_place.cc.
    places::place_request place_bounds() const;
    /// Whether the chosen back end may be sent the request, by what is known now.
    bool may_go_to_target() const;
    /// Whether some member that would keep the turn's texts may not.
    bool is_storage_closed() const;
    void refuse_storage();
    /// Answers that no back end can be chosen, and why.
    void refuse_placement();
    /// The chosen back end gets nothing: it is as if it had not been chosen.
    void give_choice_back();
    /// The request did not go out, since its back end's place was closed meanwhile.
    void take_withdrawal();

    // Attempts.
    /// Checks what may have changed while the request waited, then places it.
    void send();
    /// Chooses a back end, or answers that there is none.
    void place();
    /// Sends to the back end that has been chosen.
    void begin_attempt();
    /// Whether the key still belongs to the tenant that the request began as.
    bool is_still_allowed() const;
    /// The id under which the tenant's program or turn is kept.
    std::string scoped(std::string_view id) const;
    net::http_call make_call(const directory::backend& target) const;
    std::string choose_service() const;
    void on_head(int status, const net::http_headers& headers);
    void on_call_done(const absl::Status& status);
    void take_whole_answer();
    void take_refusal();
    void take_failure(const absl::Status& status);
    void end_attempt(attempt_result result);
    /// What it says of the back end that the caller leaves now.
    attempt_result result_when_left() const;
    /// Gives up an attempt that is silent for too long, when another one may be made.
    void watch_silence();
    void on_silence();
    bool may_try_again(bool ran) const;

    // Bytes on their way to the caller, forwarded_answer.cc.
    void on_chunk(std::string_view bytes);
    /// Keeps bytes of an answer that is not passed on yet.
    void gather(std::string_view bytes);
    /// Reads no further at the back end while the caller lags far behind.
    void hold_back();
    void read_on();
    std::string_view why_caller_went() const;

    // Answers.
    void pass_answer();
    void answer_problem(int status, std::string_view reason, std::string_view detail,
                        std::optional<base::milliseconds> come_back_after);
    base::milliseconds spread(base::milliseconds pause) const;
    void break_off(std::string_view reason);
    void on_caller_gone();
    void on_time_up();
    void finish(int status, std::string_view reason);
    void note_event();
    void log_end(int status, std::string_view reason);
    /// Whether the answer came so late that its line is always kept.
    bool is_late(base::instant now) const;

    base::milliseconds time_left() const;
    bool is_repeatable() const;
    bool is_stream() const { return route_.kind == directory::request_kind::stream; }
    std::string_view kind_name() const;
    static bool is_success(int status) { return status >= 200 && status < 300; }

    forward_context& context_;
    std::shared_ptr<net::http_exchange> exchange_;
    /// Keeps `route_` alive.
    std::shared_ptr<const active_configuration> active_;
    const directory::route& route_;
    request_facts facts_;
    std::function<void()> on_over_;

    base::instant arrived_;
    base::instant time_up_;
    std::unique_ptr<net::timer_handle> limit_;
    /// Ends the patience with the present attempt.
    std::unique_ptr<net::timer_handle> patience_;

    std::unique_ptr<turns::turn_operation> quota_step_;
    base::instant quota_step_began_{};
    /// Good for one attempt that runs.
    std::optional<base::instant> granted_at_;

    std::unique_ptr<turns::turn_operation> permit_step_;
    std::unique_ptr<net::timer_handle> permit_pause_;
    base::instant permit_asked_at_{};
    /// A cold back end has been chosen, and its permit has not come.
    bool holds_place_ = false;
    /// Cold back ends that gave none, and the shortest time until one of them may.
    std::set<std::string> without_permit_;
    base::milliseconds permit_retry_after_{0};
    /// Since when none could be had anywhere.
    base::instant without_permit_since_{};

    /// An earlier attempt may have run.
    bool may_have_run_ = false;

    std::unique_ptr<turns::turn_operation> turn_step_;
    bool prepared_ = false;
    /// Tokens of the program's other turns, as the storage members know them.
    std::uint64_t other_tokens_ = 0;
    /// Where the program's turn before ran, as they know it.
    dispatch::backend_key earlier_backend_ = 0;
    /// The gate for new programs has been passed.
    bool has_begun_ = false;
    base::instant turn_step_began_{};
    std::string chain_text_;
    /// Turns of other programs that this one goes on from, to be stored with it.
    std::vector<turns::turn_record> copied_turns_;
    bool reserved_ = false;
    bool settled_ = false;

    request_steps steps_;

    std::unique_ptr<net::http_call_handle> call_;
    std::optional<choice> placed_;
    /// Of the present choice.
    std::string service_;
    directory::backend target_;
    std::set<std::string> tried_;
    base::instant attempt_began_{};
    std::uint32_t attempts_ = 0;
    bool attempt_open_ = false;

    /// The present attempt's answer.
    int status_ = 0;
    net::http_headers headers_;
    std::string body_;
    net::held_part gathered_;
    /// The back end's connection is not read until the caller has taken more.
    bool held_back_ = false;
    /// It was so since the last event: the gap is not the back end's.
    bool was_held_back_ = false;
    bool head_seen_ = false;
    bool is_foreign_ = false;
    bool is_refusal_ = false;

    /// A stream's events so far.
    net::server_sent_event_parser events_;
    std::string output_;
    std::uint64_t event_count_ = 0;
    base::instant first_event_{};
    base::instant last_event_{};
    base::instant head_at_{};

    answer_stage stage_ = answer_stage::none;
    /// The stream is whole and waits for its turn to be stored.
    bool storing_ = false;
    bool over_ = false;
};

}  // namespace pearbarrow::forward
