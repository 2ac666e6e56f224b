// Requests under which back ends have ended (docs/design/lethal-requests.md).
#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {
namespace {

constexpr int server_error_status = 500;
/// Reason of the rejection of a blocked request.
constexpr std::string_view blocked_reason = "request_ends_back_ends";
/// Reason of the rejection of a request that may be sent again once its attempts are resolved.
constexpr std::string_view held_reason = "request_may_end_back_ends";
/// Reason of an attempt that was given up because its back end was silent.
constexpr std::string_view silent_reason = "silent";
/// How long a request is held back before it is rejected, and how often it is checked meanwhile.
constexpr base::milliseconds max_hold_time{300};
constexpr base::milliseconds hold_interval{20};
/// A back end that was heard within this time has not fallen silent.
constexpr base::milliseconds max_time_between_signs{100};

}  // namespace

suspects::request_content forwarded_request::content() const {
    const net::http_request& request = exchange_->request();
    return {.tenant = facts_.tenant,
            .program = facts_.program,
            .session = facts_.session,
            .previous_turn = facts_.turn.has_value() ? facts_.turn->previous_turn : "",
            .host = facts_.host,
            .method = request.method,
            .target = request.target,
            .body = request.body};
}

const suspects::request_fingerprint& forwarded_request::fingerprint() {
    if (!fingerprint_.has_value()) {
        fingerprint_ = suspects::fingerprint_of(content());
    }
    return *fingerprint_;
}

std::string forwarded_request::unscoped(const turns::turn_id& turn) const {
    const std::size_t prefix = scoped("x").size() - 1;
    return turn.value().substr(std::min(prefix, turn.value().size()));
}

/// Without a program, each try has a record of its own that later tries cannot find.
bool forwarded_request::is_each_try_recorded() const {
    return facts_.turn.has_value() && !facts_.program.empty();
}

bool forwarded_request::is_in_doubt(const turns::reservation& attempt) const {
    if (!attempt.settled || attempt.doubt == turns::attempt_doubt::possible_end) {
        return true;
    }
    return attempt.doubt == turns::attempt_doubt::given_up &&
           !context_.pool.find_listed(attempt.doubted_backend).has_value();
}

void forwarded_request::add_recorded_attempts(const turns::prepared_turn& prepared) {
    if (context_.suspects == nullptr) {
        return;
    }
    suspects::suspect recorded;
    for (const turns::recorded_attempt& attempt : prepared.same_content) {
        if (is_in_doubt(attempt.reserved)) {
            recorded.unproved.push_back(recorded_end(attempt));
        } else if (attempt.reserved.doubt == turns::attempt_doubt::none &&
                   suspect_status().possible_ends > 0) {
            context_.suspects->conclude(fingerprint(), unscoped(attempt.reserved.turn), "");
        }
    }
    if (recorded.unproved.empty()) {
        return;
    }
    recorded.scope = fingerprint().scope;
    recorded.digest = fingerprint().digest;
    recorded.tenant = facts_.tenant;
    recorded.route = route_.name;
    recorded.is_reserved = is_each_try_recorded();
    context_.suspects->add_recorded(recorded);
    context_.log.notable("earlier_attempts_recorded",
                         {{"request", facts_.request_id},
                          {"fingerprint", fingerprint().digest},
                          {"program", facts_.program},
                          {"possible_ends", suspect_status().possible_ends},
                          {"attempts", suspects::to_json(recorded)}});
}

suspects::suspected_end forwarded_request::recorded_end(
    const turns::recorded_attempt& attempt) const {
    const turns::reservation& reserved = attempt.reserved;
    const auto age = static_cast<std::uint64_t>(attempt.age.count());
    suspects::suspected_end end{.request = unscoped(reserved.turn),
                                .evidence = suspects::end_evidence::reserved,
                                .age_ms = age,
                                .sent_age_ms = std::max<std::uint64_t>(1, age)};
    if (reserved.doubt == turns::attempt_doubt::possible_end) {
        end.evidence = suspects::end_evidence::connection_lost;
    }
    if (const auto backend = context_.pool.find_listed(reserved.doubted_backend);
        backend.has_value()) {
        end.backend = backend->id;
        end.started_at = backend->started_at;
    }
    return end;
}

suspects::suspect_status forwarded_request::suspect_status() {
    if (context_.suspects == nullptr || context_.suspects->table().is_empty()) {
        return {};
    }
    const suspects::suspect_table& table = context_.suspects->table();
    // A digest is computed only for requests of a tenant and program that has a suspect.
    if (!fingerprint_.has_value() &&
        !table.may_contain(suspects::scope_of(facts_.tenant, facts_.program))) {
        return {};
    }
    return table.status_of(fingerprint().digest, context_.clock.now());
}

bool forwarded_request::stop_if_suspected() {
    const suspects::suspect_status status = suspect_status();
    // The bound holds for an attempt of which just the reservation is known. It needs no trial yet.
    suspected_ends_ = status.shows_trouble() ? status.possible_ends : 0;
    if (status.is_blocked) {
        reject_blocked(status);
        return true;
    }
    if (status.is_held) {
        hold(status);
        return true;
    }
    return false;
}

void forwarded_request::log_stopped(std::string_view reason,
                                    const suspects::suspect_status& status) {
    const auto known = context_.suspects->table().find(fingerprint().digest, context_.clock.now());
    context_.log.notable(
        "suspect_refused",
        {{"request", facts_.request_id},
         {"fingerprint", fingerprint().digest},
         {"program", facts_.program},
         {"tenant", facts_.tenant},
         {"route", route_.name},
         {"reason", reason},
         {"retry_after_ms", status.retry_after.count()},
         {"ends", status.ends},
         {"possible_ends", status.possible_ends},
         {"trials_paused", are_trials_paused()},
         {"attempts", known.has_value() ? suspects::to_json(*known) : nlohmann::json::array()}});
}

void forwarded_request::reject_blocked(const suspects::suspect_status& status) {
    log_stopped(blocked_reason, status);
    context_.log.count_blocked(facts_.tenant);
    constexpr std::string_view detail = "back ends have ended under earlier tries of this request";
    if (may_have_run_) {
        respond_with_problem(502, blocked_reason, detail, std::nullopt);
    } else {
        respond_with_problem(503, blocked_reason, detail, status.retry_after);
    }
}

/// Attempts under way are over soon, so the request waits for them. The examination of a lost
/// connection takes longer than callers should wait for without an answer.
void forwarded_request::hold(const suspects::suspect_status& status) {
    const base::instant now = context_.clock.now();
    if (!held_since_.has_value()) {
        held_since_ = now;
    }
    const bool may_wait = status.resolves_soon && now - *held_since_ < max_hold_time &&
                          time_left() > 2 * hold_interval;
    if (may_wait) {
        hold_timer_ = context_.loop.after(hold_interval, [this] { advance(); });
        return;
    }
    log_stopped(held_reason, status);
    context_.log.count_held(facts_.tenant);
    constexpr std::string_view detail =
        "back ends may have ended under earlier tries of this request, which are being examined";
    if (may_have_run_) {
        respond_with_problem(502, held_reason, detail, std::nullopt);
    } else {
        respond_with_problem(503, held_reason, detail, status.retry_after);
    }
}

void forwarded_request::judge_completion() {
    if (context_.suspects == nullptr) {
        return;
    }
    if (status_ >= server_error_status) {
        // The examination continues without its handle.
        constexpr suspects::break_kind kind = suspects::break_kind::error_response;
        (void)context_.suspects->examine(examined_attempt(kind), kind, nullptr);
        return;
    }
    doubt_ = turns::attempt_doubt::none;
    if (suspect_status().possible_ends > 0) {
        context_.suspects->on_completed(fingerprint());
    }
}

void forwarded_request::isolate(choice_request& request) const {
    if (context_.isolation == nullptr || context_.suspects->table().is_empty()) {
        return;
    }
    const suspects::isolation_plan& plan = context_.isolation->of(request.service);
    if (suspected_ends_ == 0) {
        request.avoided = plan.reserved;
        return;
    }
    for (const auto& [digest, backend] : plan.trials) {
        if (digest == fingerprint_->digest) {
            request.assigned_backend = backend;
        } else {
            request.avoided.insert(backend);
        }
    }
}

bool forwarded_request::are_trials_paused() const {
    return context_.isolation != nullptr && context_.isolation->of(service_).is_paused;
}

suspects::backend_attempt forwarded_request::current_attempt() {
    return {.target = target_,
            .fingerprint = fingerprint(),
            .request = facts_.request_id,
            .tenant = facts_.tenant,
            .route = route_.name,
            .sent_at = attempt_started_at_,
            .is_reserved = is_each_try_recorded()};
}

suspects::backend_attempt forwarded_request::examined_attempt(suspects::break_kind kind) {
    suspects::backend_attempt attempt = current_attempt();
    record_doubt(doubt_of(kind));
    if (!facts_.turn.has_value() || doubt_ != turns::attempt_doubt::possible_end) {
        return attempt;
    }
    doubted_reservation_ = std::make_shared<turns::reservation>();
    attempt.on_went_on = [&turns = context_.turns, reserved = doubted_reservation_] {
        reserved->doubt = turns::attempt_doubt::given_up;
        if (reserved->settled) {
            turns.settle(*reserved);
        }
    };
    return attempt;
}

void forwarded_request::record_doubt(turns::attempt_doubt doubt) {
    doubt_ = doubt;
    doubted_backend_ = dispatch::key_of(target_.id, target_.started_at);
}

turns::attempt_doubt forwarded_request::doubt_of(suspects::break_kind kind) {
    return suspects::leaves_doubt(kind) ? turns::attempt_doubt::possible_end
                                        : turns::attempt_doubt::given_up;
}

void forwarded_request::announce_trial() {
    is_trial_ = true;
    holds_slot_ = true;
    context_.log.notable("suspect_tried", {{"request", facts_.request_id},
                                           {"fingerprint", fingerprint().digest},
                                           {"backend", target_.id},
                                           {"possible_ends", suspected_ends_},
                                           {"placement", to_string(placed_->reason)}});
    examination_ = context_.suspects->announce(current_attempt(), [this] { on_trial_announced(); });
}

/// Two tries of one request may have been announced at the same time. The bound holds if each of
/// them counts the other.
void forwarded_request::on_trial_announced() {
    const suspects::suspect_status status = suspect_status();
    const std::size_t max_ends = context_.suspects->table().max_ends();
    if (status.is_blocked || (max_ends > 0 && status.possible_ends > max_ends)) {
        release_slot();
        conclude_trial();
        send();
        return;
    }
    holds_slot_ = false;
    begin_attempt();
}

void forwarded_request::conclude_trial() {
    if (std::exchange(is_trial_, false)) {
        context_.suspects->conclude(fingerprint(), facts_.request_id, target_.id);
    }
}

/// The line of an attempt that began moments ago tells nothing.
void forwarded_request::log_abandoned_attempt() {
    constexpr base::milliseconds min_logged_silence{100};
    const base::microseconds silence = silence_of_attempt();
    if (context_.suspects == nullptr || silence < min_logged_silence) {
        return;
    }
    context_.log.notable("attempt_abandoned", {{"request", facts_.request_id},
                                               {"fingerprint", fingerprint().digest},
                                               {"backend", target_.id},
                                               {"events", event_count_},
                                               {"silent_ms", silence.count() / 1000}});
}

base::microseconds forwarded_request::silence_of_attempt() const {
    base::instant last_sign = attempt_started_at_;
    if (head_received_) {
        last_sign = std::max(last_sign, head_at_);
    }
    if (event_count_ > 0) {
        last_sign = std::max(last_sign, last_event_);
    }
    return context_.clock.now() - last_sign;
}

bool forwarded_request::may_have_ended_backend(const base::error_details& details) const {
    if (context_.suspects == nullptr || details.was_executed == base::executed::no) {
        return false;
    }
    if (details.reason == silent_reason) {
        return true;
    }
    const bool is_closed =
        has_response_ended_ && response_end_.connection == net::connection_end::closed;
    return is_closed || details.reason == "connection_lost" || details.reason == "connect_failed";
}

void forwarded_request::examine_end(const base::error_details& details) {
    is_trial_ = false;
    const auto kind = details.reason == silent_reason ? kind_of_given_up_attempt()
                                                      : suspects::break_kind::connection_lost;
    examination_ = context_.suspects->examine(
        examined_attempt(kind), kind,
        [this, reason = details.reason] { conclude_failed_attempt(true, reason); });
}

bool forwarded_request::was_backend_heard() const {
    const base::instant since =
        std::max(attempt_started_at_, context_.clock.now() - max_time_between_signs);
    return context_.pool.was_heard_since(target_.incarnation(), since);
}

void forwarded_request::examine_silence() {
    if (context_.suspects == nullptr) {
        return;
    }
    const suspects::break_kind kind = kind_of_given_up_attempt();
    // The examination continues without its handle.
    (void)context_.suspects->examine(examined_attempt(kind), kind, nullptr);
    is_trial_ = false;
}

suspects::break_kind forwarded_request::kind_of_given_up_attempt() {
    // While reading is paused, the back end is not heard although it may have sent everything.
    if (!is_reading_paused_ && !was_backend_heard()) {
        return suspects::break_kind::silent;
    }
    if (suspect_status().shows_trouble()) {
        return suspects::break_kind::connection_lost;
    }
    if (is_reading_paused_) {
        return suspects::break_kind::given_up;
    }
    const bool sent_nothing = event_count_ == 0 && silence_of_attempt() >= max_time_between_signs;
    return sent_nothing ? suspects::break_kind::given_up_early : suspects::break_kind::given_up;
}

}  // namespace pearbarrow::forward
