#include "pearbarrow/suspects/end_monitor.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/log.h"

namespace pearbarrow::suspects {
namespace {

class detachable_callback final : public examination {
  public:
    explicit detachable_callback(std::shared_ptr<std::function<void()>> done)
        : done(std::move(done)) {}
    detachable_callback(const detachable_callback&) = delete;
    detachable_callback& operator=(const detachable_callback&) = delete;
    ~detachable_callback() override { *this->done = nullptr; }

  private:
    std::shared_ptr<std::function<void()>> done;
};

void run_once(const std::shared_ptr<std::function<void()>>& done) {
    if (const auto callback = std::exchange(*done, nullptr); callback) {
        callback();
    }
}

const char* text_of(inquiry_verdict verdict) {
    switch (verdict) {
        case inquiry_verdict::refused:
            return "connection_refused";
        case inquiry_verdict::replaced:
            return "replaced";
        case inquiry_verdict::went_on:
            return "went_on";
        case inquiry_verdict::fell_silent:
            return "fell_silent";
        case inquiry_verdict::unknown:
            return "unknown";
    }
    return "unknown";
}

end_evidence doubt_of(break_kind kind) {
    if (kind == break_kind::error_response) {
        return end_evidence::error_response;
    }
    return kind == break_kind::silent ? end_evidence::silent : end_evidence::connection_lost;
}

const char* text_of(break_kind kind) {
    switch (kind) {
        case break_kind::connection_lost:
            return "connection_lost";
        case break_kind::silent:
            return "silent";
        case break_kind::error_response:
            return "error_response";
        case break_kind::given_up_early:
            return "given_up_early";
        case break_kind::given_up:
            return "given_up";
    }
    return "unknown";
}

std::uint64_t age_ms_of(base::microseconds age) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::floor<base::milliseconds>(age).count()));
}

}  // namespace

end_monitor::end_monitor(net::event_loop& loop, const base::clock& clock,
                         base::metrics_registry& metrics, suspect_exchange& exchange,
                         identity_source& identities, end_monitor_options options)
    : loop(loop),
      clock(clock),
      metrics(metrics),
      exchange(exchange),
      identities(identities),
      options(std::move(options)),
      started_at(clock.now()),
      ended_inquiries(loop) {
    this->exchange.on_new_suspect([this](const std::string& digest) {
        this->loop.post([this, held = std::weak_ptr(this->alive), digest] {
            if (!held.expired()) {
                this->doubt_earlier_attempts(digest);
                this->examine_predecessor(digest);
            }
        });
    });
}

end_monitor::~end_monitor() {
    this->exchange.on_new_suspect(nullptr);
}

std::unique_ptr<examination> end_monitor::announce(const backend_attempt& attempt,
                                                   std::function<void()> done) {
    auto callback = std::make_shared<std::function<void()>>(std::move(done));
    suspect trial = this->suspect_of(
        {.attempt = attempt, .broken_at = this->clock.now(), .done = nullptr}, end_evidence::sent);
    trial.trial = attempt.target.id;
    this->exchange.announce(
        trial, [this, callback] { this->loop.post([callback] { run_once(callback); }); });
    return std::make_unique<detachable_callback>(std::move(callback));
}

void end_monitor::add_recorded(const suspect& recorded) {
    const bool was_blocked = this->table().status_of(recorded.digest, this->clock.now()).is_blocked;
    this->exchange.add({recorded});
    if (!was_blocked && this->table().status_of(recorded.digest, this->clock.now()).is_blocked) {
        this->log_blocked(recorded.digest);
    }
    this->metrics
        .add_counter("pearbarrow_suspects_recorded_total",
                     "Earlier attempts that only the storage members knew")
        .increment(static_cast<double>(recorded.unproved.size()));
}

void end_monitor::conclude(const request_fingerprint& fingerprint, const std::string& request,
                           const std::string& backend) {
    this->exchange.conclude(fingerprint.digest, request, backend);
}

std::unique_ptr<examination> end_monitor::examine(backend_attempt attempt, break_kind kind,
                                                  std::function<void()> done) {
    this->forget_expired();
    this->remove_ended_inquiries();
    const incarnation_key key = key_of(attempt.target);
    auto callback = std::make_shared<std::function<void()>>(std::move(done));
    waiting_attempt added{.attempt = std::move(attempt),
                          .kind = kind,
                          .broken_at = this->clock.now(),
                          .done = callback};
    const auto known = this->ends.find(key);
    if (known != this->ends.end() && added.attempt.sent_at <= known->second.at) {
        this->loop.post(
            [this, held = std::weak_ptr(this->alive), added, evidence = known->second.evidence] {
                if (!held.expired()) {
                    this->report_end({added}, evidence);
                }
            });
        return std::make_unique<detachable_callback>(std::move(callback));
    }
    if (this->waiting.size() == this->options.max_unresolved) {
        run_once(this->waiting.front().done);
        this->waiting.pop_front();
    }
    added.is_reported = !leaves_doubt(kind);
    this->waiting.push_back(added);
    if (!leaves_doubt(kind)) {
        // The callback runs now, not with a proof that may follow.
        this->waiting.back().done = std::make_shared<std::function<void()>>();
        this->loop.post([callback] { run_once(callback); });
    }
    this->examine_waiting(added);
    if (kind == break_kind::error_response) {
        // Its examination begins later. The report does not wait for it.
        this->report_doubt({key, kind});
    }
    return std::make_unique<detachable_callback>(std::move(callback));
}

void end_monitor::examine_waiting(const waiting_attempt& added) {
    if (added.kind == break_kind::given_up) {
        return;
    }
    const inquiry_key key{key_of(added.attempt.target), added.kind};
    const auto inquiry = this->inquiries.find(key);
    if (inquiry == this->inquiries.end()) {
        this->start_inquiry(added);
        return;
    }
    inquiry->second->extend();
    if (!inquiry->second->is_new()) {
        this->loop.post([this, held = std::weak_ptr(this->alive), key] {
            if (!held.expired()) {
                this->report_doubt(key);
            }
        });
    }
}

void end_monitor::doubt_earlier_attempts(const std::string& digest) {
    this->remove_ended_inquiries();
    std::vector<waiting_attempt> doubted;
    for (waiting_attempt& each : this->waiting) {
        if (each.attempt.fingerprint.digest == digest && !leaves_doubt(each.kind)) {
            each.kind = break_kind::connection_lost;
            each.is_reported = false;
            doubted.push_back(each);
        }
    }
    for (const waiting_attempt& each : doubted) {
        this->examine_waiting(each);
    }
}

void end_monitor::examine_predecessor(const std::string& digest) {
    const base::instant now = this->clock.now();
    const auto known = this->table().find(digest, now);
    if (!known.has_value() || !this->options.find_backend) {
        return;
    }
    for (const suspected_end& end : known->unproved) {
        const bool was_sent_before = now - base::milliseconds(end.age_ms) < this->started_at;
        const bool is_own = end.evidence == end_evidence::sent && !end.is_excused &&
                            end.node == this->options.node && was_sent_before;
        const bool is_waiting = std::any_of(
            this->waiting.begin(), this->waiting.end(), [&](const waiting_attempt& each) {
                return each.attempt.request == end.request && each.attempt.target.id == end.backend;
            });
        const auto target =
            is_own && !is_waiting ? this->options.find_backend(end.backend) : std::nullopt;
        if (!target.has_value() || target->started_at != end.started_at) {
            continue;
        }
        const waiting_attempt added{
            .attempt = {.target = *target,
                        .fingerprint = {.scope = known->scope, .digest = digest},
                        .request = end.request,
                        .tenant = known->tenant,
                        .route = known->route,
                        .sent_at = now - base::milliseconds(end.sent_age_ms),
                        .is_reserved = known->is_reserved},
            .kind = break_kind::connection_lost,
            .broken_at = now,
            .done = std::make_shared<std::function<void()>>(),
            .is_reported = true};
        this->log_attempt("predecessor_attempt_examined", added, to_string(end.evidence));
        this->waiting.push_back(added);
        this->examine_waiting(added);
    }
}

void end_monitor::start_inquiry(const waiting_attempt& first) {
    const inquiry_key key{key_of(first.attempt.target), first.kind};
    this->inquiries[key] = std::make_unique<end_inquiry>(
        this->loop, this->clock, this->identities, first.attempt.target, first.kind,
        this->options.inquiry,
        [this, key](inquiry_verdict verdict) { this->on_verdict(key, verdict); });
}

void end_monitor::on_verdict(const inquiry_key& key, inquiry_verdict verdict) {
    base::log(base::log_level::info, "back_end_examined",
              {{"backend", key.first.first},
               {"break", text_of(key.second)},
               {"verdict", text_of(verdict)}});
    this->count_inquiry(text_of(verdict));
    if (verdict != inquiry_verdict::unknown) {
        auto node = this->inquiries.extract(key);
        this->ended_inquiries.add(std::move(node.mapped()));
    }
    switch (verdict) {
        case inquiry_verdict::refused:
            this->resolve(key.first, end_evidence::connection_refused);
            return;
        case inquiry_verdict::replaced:
            this->resolve(key.first, end_evidence::replaced);
            return;
        case inquiry_verdict::went_on:
            this->report_going_on(key);
            return;
        case inquiry_verdict::fell_silent:
            this->examine_silence(key);
            return;
        case inquiry_verdict::unknown:
            this->report_doubt(key);
            return;
    }
}

std::vector<end_monitor::waiting_attempt> end_monitor::take_waiting(
    const incarnation_key& key, std::optional<break_kind> kind) {
    std::vector<waiting_attempt> taken;
    for (auto at = this->waiting.begin(); at != this->waiting.end();) {
        const bool is_meant =
            key_of(at->attempt.target) == key && (!kind.has_value() || at->kind == *kind);
        if (is_meant) {
            taken.push_back(std::move(*at));
            at = this->waiting.erase(at);
        } else {
            ++at;
        }
    }
    return taken;
}

void end_monitor::resolve(const incarnation_key& key, end_evidence evidence) {
    this->forget_expired();
    std::vector<waiting_attempt> ended = this->take_waiting(key, std::nullopt);
    if (!ended.empty()) {
        this->ends[key] = {.evidence = evidence, .at = this->clock.now()};
        this->report_end(std::move(ended), evidence);
    }
}

void end_monitor::report_end(std::vector<waiting_attempt> ended, end_evidence evidence) {
    this->metrics
        .add_counter("pearbarrow_suspects_ends_total",
                     "Requests under which this node saw a back end end",
                     {{"evidence", std::string(to_string(evidence))}})
        .increment(static_cast<double>(ended.size()));
    this->report(ended, evidence);
}

void end_monitor::report_doubt(const inquiry_key& key) {
    std::vector<waiting_attempt> in_doubt;
    for (waiting_attempt& each : this->waiting) {
        if (key_of(each.attempt.target) == key.first && each.kind == key.second &&
            !each.is_reported) {
            in_doubt.push_back(each);
            each.is_reported = true;
            // The callback runs with the report, not with the proof that may follow.
            each.done = std::make_shared<std::function<void()>>();
        }
    }
    if (!in_doubt.empty()) {
        this->report(in_doubt, doubt_of(key.second));
    }
}

void end_monitor::report_going_on(const inquiry_key& key) {
    for (waiting_attempt& each : this->take_waiting(key.first, key.second)) {
        if (each.attempt.on_went_on) {
            std::exchange(each.attempt.on_went_on, nullptr)();
        }
        run_once(each.done);
        if (each.kind == break_kind::silent) {
            this->watch_responding(std::move(each));
            continue;
        }
        if (leaves_doubt(each.kind)) {
            this->log_attempt("back_end_went_on", each, text_of(each.kind));
        }
        this->conclude(each.attempt.fingerprint, each.attempt.request, each.attempt.target.id);
    }
}

/// It responds now, and may end because of what it still works on.
void end_monitor::watch_responding(waiting_attempt attempt) {
    const std::string& digest = attempt.attempt.fingerprint.digest;
    const bool is_suspect = this->table().status_of(digest, this->clock.now()).possible_ends > 0;
    attempt.kind = is_suspect ? break_kind::connection_lost : break_kind::given_up_early;
    attempt.is_reported = !leaves_doubt(attempt.kind);
    attempt.broken_at = this->clock.now();
    this->waiting.push_back(attempt);
    this->examine_waiting(attempt);
}

void end_monitor::examine_silence(const inquiry_key& key) {
    const std::vector<waiting_attempt> silenced = this->take_waiting(key.first, key.second);
    for (waiting_attempt each : silenced) {
        each.kind = break_kind::silent;
        each.is_reported = false;
        this->waiting.push_back(each);
        this->examine_waiting(each);
    }
    this->report_doubt({key.first, break_kind::silent});
}

void end_monitor::report(const std::vector<waiting_attempt>& attempts, end_evidence evidence) {
    std::vector<suspect> observed;
    std::vector<std::string> digests;
    for (const waiting_attempt& each : attempts) {
        observed.push_back(this->suspect_of(each, evidence));
        digests.push_back(each.attempt.fingerprint.digest);
    }
    for (const std::string& digest : this->exchange.add(observed)) {
        this->log_blocked(digest);
    }
    if (!is_proof(evidence)) {
        this->metrics
            .add_counter("pearbarrow_suspects_doubts_total",
                         "Requests under which a back end may have ended",
                         {{"evidence", std::string(to_string(evidence))}})
            .increment(static_cast<double>(attempts.size()));
    }
    const char* event = is_proof(evidence) ? "back_end_ended" : "end_suspected";
    for (const waiting_attempt& each : attempts) {
        this->log_attempt(event, each, to_string(evidence));
    }
    ++this->open_reports;
    this->exchange.report(digests, [this, held = std::weak_ptr(this->alive), attempts] {
        if (held.expired()) {
            return;
        }
        --this->open_reports;
        for (const waiting_attempt& each : attempts) {
            run_once(each.done);
        }
    });
}

void end_monitor::on_replaced(const directory::backend_incarnation& incarnation) {
    this->resolve({incarnation.id, incarnation.started_at}, end_evidence::replaced);
}

void end_monitor::apply(const directory::backend_changes& changes) {
    const bool has_just_started =
        this->clock.now() - this->started_at < this->options.late_evidence_time;
    if (has_just_started && !this->table().is_empty()) {
        for (const suspect& known : this->table().all(this->clock.now())) {
            this->examine_predecessor(known.digest);
        }
    }
    if (this->waiting.empty()) {
        return;
    }
    for (const directory::backend& present : changes.present) {
        const auto earlier = std::find_if(
            this->waiting.begin(), this->waiting.end(), [&](const waiting_attempt& each) {
                return each.attempt.target.id == present.id &&
                       each.attempt.target.started_at != present.started_at;
            });
        if (earlier != this->waiting.end()) {
            this->resolve(key_of(earlier->attempt.target), end_evidence::replaced);
        }
    }
}

void end_monitor::on_completed(const request_fingerprint& fingerprint) {
    const bool is_unreported =
        this->table().status_of(fingerprint.digest, this->clock.now()).is_only_reserved;
    if (this->exchange.excuse(fingerprint.digest)) {
        base::log(base::log_level::info, "suspect_excused",
                  {{"fingerprint", fingerprint.digest}, {"reason", "completed"}});
        if (!is_unreported) {
            this->exchange.report({fingerprint.digest}, nullptr);
        }
    }
}

bool end_monitor::has_reported_all() const {
    return this->open_reports == 0 &&
           std::all_of(this->waiting.begin(), this->waiting.end(),
                       [](const waiting_attempt& each) { return each.is_reported; });
}

void end_monitor::remove_ended_inquiries() {
    for (auto at = this->inquiries.begin(); at != this->inquiries.end();) {
        at = at->second->is_over() ? this->inquiries.erase(at) : std::next(at);
    }
}

void end_monitor::forget_expired() {
    const base::instant now = this->clock.now();
    this->waiting.remove_if([this, now](const waiting_attempt& each) {
        const base::milliseconds kept =
            leaves_doubt(each.kind) ? this->options.late_evidence_time : this->options.watch_time;
        return each.is_reported && now - each.broken_at >= kept;
    });
    for (auto at = this->ends.begin(); at != this->ends.end();) {
        at = now - at->second.at >= this->options.end_memory ? this->ends.erase(at) : std::next(at);
    }
}

suspect end_monitor::suspect_of(const waiting_attempt& waited, end_evidence evidence) const {
    const backend_attempt& attempt = waited.attempt;
    const base::instant now = this->clock.now();
    const bool is_sent_known = attempt.sent_at != base::instant{};
    suspected_end end{
        .backend = attempt.target.id,
        .started_at = attempt.target.started_at,
        .request = attempt.request,
        .node = this->options.node,
        .evidence = evidence,
        .age_ms = age_ms_of(now - waited.broken_at),
        .sent_age_ms =
            is_sent_known ? std::max<std::uint64_t>(1, age_ms_of(now - attempt.sent_at)) : 0};
    suspect reported{.scope = attempt.fingerprint.scope,
                     .digest = attempt.fingerprint.digest,
                     .tenant = attempt.tenant,
                     .route = attempt.route,
                     .service = attempt.target.service,
                     .is_reserved = attempt.is_reserved};
    (is_proof(evidence) ? reported.ends : reported.unproved).push_back(std::move(end));
    return reported;
}

void end_monitor::log_attempt(const char* event, const waiting_attempt& attempt,
                              std::string_view evidence) const {
    const auto status =
        this->table().status_of(attempt.attempt.fingerprint.digest, this->clock.now());
    base::log(base::log_level::warning, event,
              {{"request", attempt.attempt.request},
               {"fingerprint", attempt.attempt.fingerprint.digest},
               {"tenant", attempt.attempt.tenant},
               {"route", attempt.attempt.route},
               {"backend", attempt.attempt.target.id},
               {"evidence", evidence},
               {"ends", status.ends},
               {"possible_ends", status.possible_ends},
               {"blocked", status.is_blocked}});
}

void end_monitor::log_blocked(const std::string& digest) const {
    const auto found = this->table().find(digest, this->clock.now());
    if (!found.has_value()) {
        return;
    }
    base::log(base::log_level::error, "request_blocked",
              {{"fingerprint", digest},
               {"tenant", found->tenant},
               {"route", found->route},
               {"service", found->service},
               {"ends", to_json(*found)}});
    this->metrics
        .add_counter("pearbarrow_suspects_blocked_total",
                     "Requests that were blocked after back ends ended under them")
        .increment();
}

void end_monitor::count_inquiry(const char* result) const {
    this->metrics
        .add_counter("pearbarrow_suspects_inquiries_total",
                     "Verdicts about back ends at which an attempt broke off",
                     {{"verdict", result}})
        .increment();
}

}  // namespace pearbarrow::suspects
