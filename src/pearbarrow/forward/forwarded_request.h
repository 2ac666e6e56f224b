/// One request of a caller, from its arrival to the end of its response.
///
/// Protocol: plain requests go directly to a back end. A request with a token budget first reserves
/// its tokens on the storage members. On a route that keeps history, the storage members also
/// assemble the prompt, and the response ends only after a majority of members has stored the turn.
///
/// Invariants: a request that may be executed at most once is not sent again after any of its bytes
/// may have reached a back end, unless that back end reported that it did not execute it. A
/// response states `"executed": "no"` only if that holds. All events of a resumable stream come
/// from one software version of one service (docs/design/resumed-streams.md).
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/status.h"
#include "pearbarrow/forward/forward_context.h"
#include "pearbarrow/forward/request_facts.h"
#include "pearbarrow/forward/request_steps.h"
#include "pearbarrow/net/response_end.h"
#include "pearbarrow/net/server_sent_events.h"
#include "pearbarrow/suspects/request_fingerprint.h"
#include "pearbarrow/suspects/suspect_table.h"

namespace pearbarrow::forward {

/// What states the software version of a stream that is resumed.
enum class version_source {
    /// The reservation of the request that began it.
    record,
    /// The reservations of earlier tries with the same content, if the caller names none.
    same_content,
    /// All back ends of the service have had one version for as long as a stream can last.
    sole_version,
};

/// The stream that a caller resumes without naming the request that began it.
struct unnamed_stream {
    std::optional<turns::recorded_attempt> began;
    /// Whether earlier tries had several versions.
    bool is_ambiguous = false;
};

class forwarded_request {
  public:
    /// `on_finished` runs once, when no work is left. The object may then be destroyed.
    forwarded_request(forward_context& context, std::shared_ptr<net::http_exchange> exchange,
                      std::shared_ptr<const active_configuration> active,
                      const directory::route& route, request_facts facts,
                      std::function<void()> on_finished);
    ~forwarded_request();
    forwarded_request(const forwarded_request&) = delete;
    forwarded_request& operator=(const forwarded_request&) = delete;

    void start();
    /// Ends the request because the node stops. The response states whether the request may have
    /// been executed.
    void give_up();

  private:
    void advance();

    /// Progress of the response to the caller.
    enum class response_stage { none, streaming, done };

    // Quotas, forwarded_quota.cc.
    /// Returns whether the quota of the tenant permits the next attempt.
    bool holds_grant() const;
    void request_quota();
    void on_quota_reply(const tenants::quota_decision& decision);
    void reject_by_quota(const tenants::quota_decision& decision);

    // Permits for cold back ends, forwarded_permit.cc.
    /// Requests a permit for the selected cold back end. If the limit of permit requests is
    /// reached, waits or rejects the request.
    void select_cold_backend();
    void request_permit(const slowstart::cold_start& target);
    void on_permit_reply(const slowstart::permit_decision& decision);
    /// Returns whether the selected back end is warm or its permit is still valid.
    bool holds_permit() const;
    /// Releases the slot at a back end that was selected but not sent to.
    void release_slot();
    void wait_for_permit();

    // Admission of new programs, forwarded_program.cc.
    /// Returns whether this is known to be the first turn of its program.
    bool begins_program() const;
    /// Returns true if the program was rejected and the response has been sent.
    bool reject_program_if_full();
    std::uint32_t priority_at_engine() const;
    /// Reports to the program admission whether the first event was received within the objective.
    void record_turn(bool in_time);

    // Turns, forwarded_turn.cc.
    void prepare_turn();
    void on_turn_prepared(turns::prepared_turn prepared);
    void reject_turn(const turns::prepared_turn& prepared);
    /// Returns false while the turn is queued and no member has received it.
    bool may_be_reserved() const;
    void settle(std::uint64_t tokens);
    void store_turn();
    /// Back end that responded to the turn, or 0 if none did.
    dispatch::backend_key executing_backend() const;
    std::uint64_t spent_tokens() const;
    turns::reservation reserved() const;
    /// Returns the reservation with its actual cost.
    turns::reservation settled(std::uint64_t tokens) const;

    // Zone rules, forwarded_zone_rules.cc.
    places::region_limits placement_bounds() const;
    /// Returns whether the current zone rules permit the selected back end.
    bool may_go_to_target() const;
    /// Returns whether the zone rules exclude a member that would store the texts of the turn.
    bool is_storage_closed() const;
    void reject_storage();
    /// Responds that no back end can be selected, with the reason.
    void reject_placement();
    /// Undoes the selection of a back end to which nothing was sent.
    void withdraw_choice();
    /// Handles a request that was not sent because the zone of its back end was closed after the
    /// selection.
    void on_withdrawn();

    // Software of resumable streams, forwarded_stream.cc.
    /// Returns whether the events of the response must come from one version of one service.
    bool is_resumable_stream() const { return is_stream() && route_.resumable; }
    /// Returns whether the request resumes a stream of which its caller has events.
    bool is_resumed() const;
    /// Gives a resumable stream without a token budget a reservation, which records its software.
    void ensure_reservation();
    /// Chooses the software of a stream that begins here, before it is reserved.
    void choose_software();
    /// Chooses other software after the previous choice cannot execute the stream. Returns whether
    /// the stream is being reserved again.
    bool choose_other_software();
    /// Adopts the software that began the resumed stream. Returns false if the request was
    /// rejected.
    bool adopt_software(const turns::prepared_turn& prepared);
    /// Returns the record of the named stream.
    static std::optional<turns::recorded_attempt> recorded_of(const turns::prepared_turn& prepared);
    /// Finds the stream that is resumed among the earlier tries of the request.
    static unnamed_stream find_unnamed_stream(const std::vector<turns::recorded_attempt>& attempts);
    /// Returns the software of a resumed stream whose reservation does not contain it.
    std::optional<turns::stream_software> sole_software() const;
    // The processes of a stream and of its continuation, forwarded_processes.cc.
    /// Finds out whether the process that began the stream had the recorded version. Returns false
    /// if the request waits for it or was rejected.
    bool settle_began_version(const turns::reservation& began, base::milliseconds age);
    /// Waits until the version is known, and meanwhile asks the process.
    void await_began_version(base::milliseconds age);
    /// Asks the process of a provisional stream, which does not wait for the reply.
    void ask_provisional_process();
    /// Corrects the reservation of a provisional stream that goes to another back end.
    void correct_reservation();
    /// Continues once the version is known, or rejects the request.
    void check_began_version();
    /// Prepares the turn again, because the stream's reservation is about to be settled.
    void wait_for_settlement();
    /// Waits until a back end may continue the stream. Returns false if none can in time.
    bool await_process();
    void ask_process(const directory::backend& target, std::function<void(process_statement)> done);
    void on_process_statement(const directory::backend& target, process_statement statement);
    void log_wait(std::string_view reason, const std::string& backend, base::microseconds left);
    /// Returns whether no back end of the stream's version is left, so that it cannot go on.
    bool has_version_left() const;
    /// Returns whether all back ends of the service have had one version for long.
    bool has_sole_version() const;
    void record_process();
    /// Returns whether the request may be sent on a connection that was first heard so long ago.
    bool may_use_connection(base::microseconds heard_for);
    /// Returns whether the head of a resumed stream certainly came from the listed process.
    bool is_head_proven() const;
    /// Asks the process whose head came late, and passes the response on if it is the listed one.
    void verify_process();
    void break_off_unproven();

    /// Returns whether the route uses the service.
    bool serves(const std::string& service) const;
    void reject_resumed(int status, std::string_view reason, std::string_view detail,
                        std::optional<base::milliseconds> retry_after);
    /// Responds that no back end of the software can continue the stream.
    void reject_resumed_placement();
    void log_resumed();
    /// Returns whether the selected back end has restarted with another version since its
    /// selection, as far as this node knows. An open connection then belongs to the new process.
    bool is_from_other_software() const;
    std::optional<directory::software_version> required_version() const;
    choice_request placement_request() const;

    // Requests under which back ends have ended, forwarded_suspect.cc.
    /// Returns what the tries of one request share.
    suspects::request_content content() const;
    /// Returns the fingerprint, which is computed once.
    const suspects::request_fingerprint& fingerprint();
    suspects::suspect_status suspect_status();
    /// Counts the earlier attempts of the request of which only the storage members know.
    void add_recorded_attempts(const turns::prepared_turn& prepared);
    suspects::suspected_end recorded_end(const turns::recorded_attempt& attempt) const;
    /// Returns whether the storage members tell each try of the request of all earlier ones.
    bool is_each_try_recorded() const;
    /// Returns whether the back end of a recorded attempt may have ended.
    bool is_in_doubt(const turns::reservation& attempt) const;
    /// Returns the id of the request that reserved the turn.
    std::string unscoped(const turns::turn_id& turn) const;
    /// States in the reservation what is known of the back end of the current attempt.
    void record_doubt(turns::attempt_doubt doubt);
    static turns::attempt_doubt doubt_of(suspects::break_kind kind);
    /// Returns the attempt for its examination. If its back end goes on, the reservation is
    /// corrected.
    suspects::backend_attempt examined_attempt(suspects::break_kind kind);
    /// Returns true if the request is blocked or held back. It has then been rejected, or goes on
    /// later.
    bool stop_if_suspected();
    void reject_blocked(const suspects::suspect_status& status);
    /// Waits until the attempts under which back ends may have ended are resolved, or rejects the
    /// request if that takes too long.
    void hold(const suspects::suspect_status& status);
    void log_stopped(std::string_view reason, const suspects::suspect_status& status);
    /// Excuses the request from earlier ends after a back end has completed it. A back end that
    /// responded with an error is examined instead.
    void judge_completion();
    /// Keeps suspects at back ends of their own.
    void isolate(choice_request& request) const;
    /// Returns whether trials have ended too many back ends of the service.
    bool are_trials_paused() const;
    /// Tells all nodes at which back end the suspect is tried, and then sends it.
    void announce_trial();
    void on_trial_announced();
    /// Ends a trial whose back end goes on.
    void conclude_trial();
    suspects::backend_attempt current_attempt();
    /// Logs an attempt whose caller leaves while its back end is silent.
    void log_abandoned_attempt();
    /// Returns the time since the back end was last heard in this attempt.
    base::microseconds silence_of_attempt() const;
    /// Returns whether the end of its back end can have broken the attempt.
    bool may_have_ended_backend(const base::error_details& details) const;
    /// Finds out whether the back end has ended, and then concludes the failed attempt.
    void examine_end(const base::error_details& details);
    /// Finds out whether the back end of an attempt that is given up has fallen silent.
    void examine_silence();
    suspects::break_kind kind_of_given_up_attempt();
    /// Returns whether the back end was heard so recently that it has not fallen silent.
    bool was_backend_heard() const;

    // Attempts at back ends, forwarded_attempt.cc.
    /// Checks conditions that may have changed while the request waited, then selects a back end.
    void send();
    /// Selects a back end, or responds that there is none.
    void select_backend();
    /// Chooses other software, waits for a permit or rejects the request.
    void on_no_backend();
    /// Sends the request to the selected back end.
    void begin_attempt();
    /// Returns whether the API key still belongs to the tenant determined on arrival.
    bool is_still_allowed() const;
    /// Returns the id under which the program or turn of the tenant is stored.
    std::string scoped(std::string_view id) const;
    net::http_call make_call(const directory::backend& target);
    std::string choose_service() const;
    void on_head(int status, const net::http_headers& headers);
    void on_call_done(const absl::Status& status);
    void on_response_complete();
    void on_rejected();
    void on_attempt_failed(const absl::Status& status);
    /// Retries a failed attempt, or ends the response.
    void conclude_failed_attempt(bool ran, const std::string& reason);
    void end_attempt(attempt_result result);
    /// Result recorded for the back end if the caller leaves now.
    attempt_result result_if_caller_leaves() const;
    bool may_retry(bool ran) const;
    void on_response_end(const net::response_end& end);
    /// Returns whether the body of a response with these headers consists of events.
    bool carries_events(const net::http_headers& headers) const;

    // Silent back ends, forwarded_silence.cc.
    /// Ends an attempt that has been silent for too long if a retry is allowed.
    void start_silence_timer();
    void on_silence();

    // Response bytes to the caller, forwarded_response.cc.
    void on_chunk(std::string_view bytes);
    /// Ends the attempt because its response cannot be passed on.
    void break_off(std::string_view message, std::string_view reason);
    /// Buffers bytes of a response that is not forwarded yet.
    void buffer_response(std::string_view bytes);
    /// Pauses reading from the back end while the caller has too many pending bytes.
    void pause_reading();
    void resume_reading();
    std::string_view caller_gone_reason() const;

    // Responses.
    void forward_response();
    void respond_with_problem(int status, std::string_view reason, std::string_view detail,
                              std::optional<base::milliseconds> retry_after);
    base::milliseconds spread(base::milliseconds delay) const;
    void abort_response(std::string_view reason);
    void on_caller_gone();
    void on_timeout();
    /// Ends the steps in progress, and the attempt with `result`. Returns whether a back end may
    /// have executed the request.
    bool cancel_steps(attempt_result result);
    void finish(int status, std::string_view reason);
    void record_event();
    void log_end(int status, std::string_view reason);
    /// Adds how the response of the last attempt ended and why it counts as whole or broken off.
    void add_response_end(nlohmann::json& fields) const;
    /// Returns whether the response is late. The log line of a late response is always written.
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
    std::function<void()> on_finished_;

    base::instant arrived_;
    base::instant deadline_;
    std::unique_ptr<net::timer_handle> timeout_timer_;
    /// Timer that ends the current attempt if the back end stays silent.
    std::unique_ptr<net::timer_handle> silence_timer_;

    std::unique_ptr<turns::turn_operation> quota_step_;
    base::instant quota_step_started_at_{};
    /// Time of the quota grant, which is valid for one executed attempt.
    std::optional<base::instant> granted_at_;

    std::unique_ptr<turns::turn_operation> permit_step_;
    std::unique_ptr<net::timer_handle> permit_retry_timer_;
    base::instant permit_requested_at_{};
    /// Whether a cold back end is selected and its permit is still pending.
    bool holds_slot_ = false;
    /// Cold back ends that rejected a permit, and the shortest of their retry delays.
    std::set<std::string> without_permit_;
    base::milliseconds permit_retry_after_{0};
    /// Start of the period in which no back end granted a permit.
    base::instant without_permit_since_{};

    /// Whether an earlier attempt may have been executed.
    bool may_have_run_ = false;

    std::unique_ptr<turns::turn_operation> turn_step_;
    bool prepared_ = false;
    /// Tokens of the other turns of the program, as reported by the storage members.
    std::uint64_t other_tokens_ = 0;
    /// Back end of the previous turn of the program, as reported by the storage members.
    dispatch::backend_key previous_backend_ = 0;
    /// Whether the program admission has been checked.
    bool admission_checked_ = false;
    base::instant turn_step_started_at_{};
    std::string chain_text_;
    /// Turns of other programs that this turn continues, to be stored with it.
    std::vector<turns::turn_record> copied_turns_;
    bool reserved_ = false;
    /// Whether a preparation has sent the reservation. A stream is prepared again for other
    /// software.
    bool was_sent_to_members_ = false;
    bool settled_ = false;

    request_steps steps_;

    /// Software that may execute a resumable stream. Absent while none has been chosen, and for
    /// other requests.
    std::optional<turns::stream_software> software_;
    std::uint32_t software_choices_ = 0;
    version_source version_source_ = version_source::record;
    bool must_start_anew_ = false;

    /// When the first bytes came on the connection of the current attempt, possibly in an earlier
    /// one. Empty until they do.
    std::optional<base::instant> first_heard_at_;
    /// Whether the connection was known to lead to the listed process when the attempt ended.
    bool was_process_proven_ = false;
    /// Back end that a provisional stream is reserved for.
    std::string provisional_backend_;
    dispatch::backend_key provisional_key_ = 0;
    /// Back end that began the resumed stream, and when its version is known.
    dispatch::backend_key began_at_ = 0;
    std::optional<base::instant> version_known_at_;
    /// Whether that back end has been asked and has not replied.
    bool is_asking_version_ = false;
    std::unique_ptr<net::timer_handle> process_timer_;
    std::vector<std::unique_ptr<net::http_call_handle>> inquiries_;
    /// Back ends whose processes are not the listed ones, or not known to be.
    std::set<std::string> unproven_backends_;
    std::set<std::string> asked_processes_;
    bool has_logged_wait_ = false;
    /// Whether the response is held until its process is known, and its bytes so far.
    bool is_verifying_ = false;
    std::string unverified_bytes_;

    std::unique_ptr<net::http_call_handle> call_;
    std::optional<choice> placed_;
    /// Service of the current selection. `attempt_started_at_` precedes any wait for its permit.
    std::string service_;
    directory::backend target_;
    std::set<std::string> tried_backends_;
    base::instant attempt_started_at_{};
    std::uint32_t attempts_ = 0;
    bool attempt_open_ = false;

    std::optional<suspects::request_fingerprint> fingerprint_;
    /// Hash of the content; 0 until it is computed.
    std::uint64_t content_hash_ = 0;
    turns::attempt_doubt doubt_ = turns::attempt_doubt::none;
    dispatch::backend_key doubted_backend_ = 0;
    /// The settled reservation of an attempt in doubt, which may be corrected later; empty until it
    /// is settled.
    std::shared_ptr<turns::reservation> doubted_reservation_;
    /// Ends and possible ends under earlier attempts of this request, at any node, when it was last
    /// checked.
    std::size_t suspected_ends_ = 0;
    /// Whether the current attempt has been announced to all nodes, and not concluded.
    bool is_trial_ = false;
    /// Since when the request has been held back.
    std::optional<base::instant> held_since_;
    std::unique_ptr<net::timer_handle> hold_timer_;
    std::unique_ptr<suspects::examination> examination_;

    /// Response of the current attempt. `is_rejection_`: reported by the back end as not executed.
    int status_ = 0;
    net::http_headers headers_;
    std::string body_;
    net::buffered_part buffered_bytes_;
    /// Whether reading from the back end is paused until the caller has read more.
    bool is_reading_paused_ = false;
    /// Whether reading was paused since the last event, so that the gap is not caused by the back
    /// end.
    bool was_reading_paused_ = false;
    bool head_received_ = false;
    bool carries_events_ = false;
    /// End of the response, and whether the connection has reported it.
    net::response_end response_end_;
    bool has_response_ended_ = false;
    bool is_foreign_ = false;
    bool is_rejection_ = false;

    /// Events of the stream received so far.
    net::server_sent_event_parser events_;
    std::string output_;
    std::uint64_t event_count_ = 0;
    base::instant first_event_{};
    base::instant last_event_{};
    base::instant head_at_{};

    response_stage stage_ = response_stage::none;
    /// Whether the stream is complete and its turn is being stored.
    bool is_storing_ = false;
    bool is_finished_ = false;
};

}  // namespace pearbarrow::forward
