// Which processes began a resumable stream and may continue it. A directory entry may still
// describe the predecessor of a process (process_evidence.h).
#include <algorithm>

#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {
namespace {

/// How long a request waits for the version of its stream or for a back end. Callers give up a
/// stream after a gap of two seconds.
constexpr base::milliseconds max_wait{1'500};
constexpr base::milliseconds check_interval{25};
/// How long the node that served a stream may take to settle its reservation after its caller left.
constexpr base::milliseconds max_settlement_time{120};
/// A version that has served alone for this long is that of all processes.
constexpr base::milliseconds sole_version_time{5'000};
constexpr std::size_t max_asked_processes = 2;
/// Time from the reservation of a stream until its request is sent.
constexpr base::milliseconds max_sending_time{300};

}  // namespace

void forwarded_request::record_process() {
    const base::instant now = context_.clock.now();
    if (!first_heard_at_.has_value()) {
        first_heard_at_ = now;
    }
    context_.pool.on_process_heard(target_.incarnation(), *first_heard_at_, now);
}

bool forwarded_request::may_use_connection(base::microseconds heard_for) {
    const base::instant now = context_.clock.now();
    first_heard_at_.reset();
    if (heard_for.count() > 0) {
        first_heard_at_ = now - heard_for;
    }
    if (!is_resumed() ||
        context_.pool.may_use_connection(target_.incarnation(), placement_request(),
                                         first_heard_at_.value_or(now), now)) {
        return true;
    }
    unproven_backends_.insert(target_.id);
    return false;
}

/// A process that was silent for long may have been replaced since the request was sent.
bool forwarded_request::is_head_proven() const {
    if (!is_resumed()) {
        return true;
    }
    const base::instant now = context_.clock.now();
    if (now - attempt_started_at_ <= context_.pool.options().evidence.max_head_time) {
        return true;
    }
    return context_.pool.may_use_connection(target_.incarnation(), placement_request(), now, now);
}

void forwarded_request::verify_process() {
    call_->pause();
    is_verifying_ = true;
    const std::size_t asked = inquiries_.size();
    ask_process(target_, [this](process_statement statement) {
        if (!attempt_open_ || call_ == nullptr) {
            return;
        }
        if (statement == process_statement::same) {
            is_verifying_ = false;
            on_chunk(std::exchange(unverified_bytes_, {}));
            call_->resume();
            return;
        }
        break_off_unproven();
    });
    if (inquiries_.size() == asked) {
        break_off_unproven();
    }
}

/// The timer returns to the loop, because this may run within a callback of the call.
void forwarded_request::break_off_unproven() {
    process_timer_ = context_.loop.after(base::milliseconds{0}, [this] {
        break_off("the back end may have been replaced", "process_unproven");
    });
}

bool forwarded_request::has_sole_version() const {
    return context_.pool.sole_version(service_, sole_version_time, context_.clock.now())
        .has_value();
}

bool forwarded_request::has_version_left() const {
    const version_status status =
        context_.pool.status_of(software_->service, software_->version, context_.clock.now());
    return status.usable == 0 && !status.may_return;
}

bool forwarded_request::settle_began_version(const turns::reservation& began,
                                             base::milliseconds age) {
    service_ = software_->service;
    const bool may_settle = context_.clock.now() - arrived_ < max_settlement_time;
    if (!began.settled && may_settle && (software_->is_provisional || !has_sole_version())) {
        wait_for_settlement();
        return false;
    }
    if (began.settled && std::exchange(began_at_, began.backend) == 0) {
        context_.pool.on_process_doubted(began.backend, context_.clock.now());
    }
    const bool has_watched = context_.pool.watched_for(context_.clock.now()) >= sole_version_time;
    if (!software_->is_provisional || (has_watched && has_sole_version()) || has_version_left()) {
        return true;
    }
    began_at_ = began.backend;
    await_began_version(began.settled ? base::milliseconds{software_->connection_age_ms}
                                      : age - max_sending_time);
    return false;
}

void forwarded_request::await_began_version(base::milliseconds age) {
    const base::milliseconds left = context_.pool.options().evidence.entry_delay - age;
    version_known_at_ = context_.clock.now() + std::max(left, base::milliseconds{0});
    const auto backend = context_.pool.find_unchanged(began_at_, software_->version);
    if (backend.has_value() && left.count() > 0) {
        const std::size_t asked = inquiries_.size();
        ask_process(*backend, [this](process_statement statement) {
            is_asking_version_ = false;
            if (statement == process_statement::same) {
                version_known_at_ = context_.clock.now();
            }
        });
        is_asking_version_ = inquiries_.size() > asked;
    }
    // The timer returns to the loop, because this may run within a callback of the preparation.
    process_timer_ = context_.loop.after(base::milliseconds{0}, [this] { check_began_version(); });
}

void forwarded_request::ask_provisional_process() {
    if (software_.has_value() && software_->is_provisional) {
        ask_process(target_, [](process_statement /*statement*/) {});
    }
}

void forwarded_request::correct_reservation() {
    const dispatch::backend_key key = dispatch::key_of(target_.id, target_.started_at);
    if (!software_.has_value() || provisional_key_ == 0 || provisional_key_ == key) {
        return;
    }
    provisional_backend_ = target_.id;
    provisional_key_ = key;
    software_->choice = ++software_choices_;
    context_.turns.settle(reserved());
}

void forwarded_request::wait_for_settlement() {
    software_.reset();
    process_timer_ = context_.loop.after(check_interval, [this] { prepare_turn(); });
}

void forwarded_request::check_began_version() {
    const base::instant now = context_.clock.now();
    const auto backend = context_.pool.find_unchanged(began_at_, software_->version);
    if (!backend.has_value()) {
        reject_resumed(503, "stream_version_unknown",
                       "the back end that began the stream may have had another version",
                       std::nullopt);
        return;
    }
    if (now >= *version_known_at_) {
        software_->is_provisional = false;
        software_->connection_age_ms = 0;
        prepared_ = true;
        advance();
        return;
    }
    const base::microseconds left = *version_known_at_ - now;
    if (*version_known_at_ > arrived_ + max_wait && !is_asking_version_) {
        reject_resumed(503, "stream_version_unsettled",
                       "the software version that began the stream is not known yet",
                       std::chrono::ceil<base::milliseconds>(left));
        return;
    }
    log_wait("version", backend->id, left);
    process_timer_ = context_.loop.after(check_interval, [this] { check_began_version(); });
}

bool forwarded_request::await_process() {
    const base::instant now = context_.clock.now();
    const base::instant deadline = arrived_ + max_wait;
    if (now >= deadline) {
        return false;
    }
    const std::vector<directory::backend> unproven =
        context_.pool.unproven_backends(placement_request(), max_asked_processes, deadline, now);
    if (unproven.empty()) {
        return false;
    }
    log_wait("process", unproven.front().id, deadline - now);
    for (const directory::backend& target : unproven) {
        if (asked_processes_.insert(target.id).second) {
            ask_process(target, [this, target](process_statement statement) {
                on_process_statement(target, statement);
            });
        }
    }
    process_timer_ = context_.loop.after(check_interval, [this] { send(); });
    return true;
}

void forwarded_request::ask_process(const directory::backend& target,
                                    std::function<void(process_statement)> done) {
    if (context_.processes == nullptr) {
        return;
    }
    auto inquiry = context_.processes->ask(
        target, [this, target, done = std::move(done)](process_statement statement) {
            const base::instant now = context_.clock.now();
            if (statement == process_statement::same) {
                context_.pool.on_process_stated(target.incarnation(), now);
            } else if (statement == process_statement::other) {
                context_.pool.on_process_doubted(target.incarnation(), now);
            }
            context_.log.notable("process_asked", {{"request", facts_.request_id},
                                                   {"backend", target.id},
                                                   {"started_at", target.started_at},
                                                   {"statement", to_string(statement)}});
            done(statement);
        });
    if (inquiry != nullptr) {
        inquiries_.push_back(std::move(inquiry));
    }
}

/// A process that states nothing may still be proven by observation.
void forwarded_request::on_process_statement(const directory::backend& target,
                                             process_statement statement) {
    if (statement == process_statement::other) {
        unproven_backends_.insert(target.id);
    }
}

void forwarded_request::log_wait(std::string_view reason, const std::string& backend,
                                 base::microseconds left) {
    if (std::exchange(has_logged_wait_, true)) {
        return;
    }
    context_.log.notable("resume_waits", {{"request", facts_.request_id},
                                          {"resumes", facts_.resumed_stream},
                                          {"reason", reason},
                                          {"service", software_->service},
                                          {"began_version", software_->version.name},
                                          {"backend", backend},
                                          {"at_most_ms", left.count() / 1000}});
    context_.log.count_resumed(reason == "version" ? "waits_for_version" : "waits_for_process");
}

}  // namespace pearbarrow::forward
