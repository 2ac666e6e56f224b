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

const char* text_of(net::probe_result result) {
    switch (result) {
        case net::probe_result::accepted:
            return "connection_accepted";
        case net::probe_result::refused:
            return "connection_refused";
        case net::probe_result::no_reply:
            return "no_reply";
    }
    return "unknown";
}

/// The back end may have ended under the attempt, which is not proved.
void log_suspected(const broken_attempt& attempt, std::string_view evidence) {
    base::log(base::log_level::warning, "end_suspected",
              {{"request", attempt.request},
               {"fingerprint", attempt.fingerprint.digest},
               {"tenant", attempt.tenant},
               {"route", attempt.route},
               {"backend", attempt.target.id},
               {"evidence", evidence}});
}

suspect suspect_of(const broken_attempt& attempt, const std::string& node, end_evidence evidence) {
    return {.scope = attempt.fingerprint.scope,
            .digest = attempt.fingerprint.digest,
            .tenant = attempt.tenant,
            .route = attempt.route,
            .service = attempt.target.service,
            .ends = {{.backend = attempt.target.id,
                      .started_at = attempt.target.started_at,
                      .request = attempt.request,
                      .node = node,
                      .evidence = evidence}}};
}

}  // namespace

end_monitor::end_monitor(net::event_loop& loop, const base::clock& clock,
                         base::metrics_registry& metrics, suspect_exchange& exchange,
                         end_monitor_options options)
    : loop(loop),
      clock(clock),
      metrics(metrics),
      exchange(exchange),
      options(std::move(options)),
      ended_probes(loop) {}

end_monitor::~end_monitor() = default;

std::unique_ptr<examination> end_monitor::examine(broken_attempt attempt,
                                                  std::function<void()> done) {
    this->forget_expired();
    const incarnation_key key{attempt.target.id, attempt.target.started_at};
    auto callback = std::make_shared<std::function<void()>>(std::move(done));
    if (const auto known = this->ends.find(key); known != this->ends.end()) {
        this->loop.post([this, alive = std::weak_ptr(callback), attempt = std::move(attempt),
                         evidence = known->second.evidence] {
            if (const auto held = alive.lock(); held != nullptr) {
                this->report_end({{.attempt = attempt, .done = held}}, evidence);
            }
        });
        return std::make_unique<detachable_callback>(std::move(callback));
    }
    const auto [at, is_new] = this->probes.try_emplace(key);
    open_probe& probe = at->second;
    probe.waiting.push_back({.attempt = std::move(attempt), .done = callback});
    if (is_new) {
        probe.started_at = this->clock.now();
        probe.probe = net::probe_connection(
            this->loop, probe.waiting.front().attempt.target.address, this->options.probe_timeout,
            [this, key](net::probe_result result) { this->on_probed(key, result); });
    }
    return std::make_unique<detachable_callback>(std::move(callback));
}

void end_monitor::on_probed(const incarnation_key& key, net::probe_result result) {
    auto node = this->probes.extract(key);
    open_probe& probed = node.mapped();
    this->ended_probes.add(std::move(probed.probe));
    const auto took = this->clock.now() - probed.started_at;
    base::log(base::log_level::info, "back_end_probed",
              {{"backend", key.first},
               {"address", net::to_string(probed.waiting.front().attempt.target.address)},
               {"result", text_of(result)},
               {"requests", probed.waiting.size()},
               {"microseconds", took.count()}});
    this->count_examination(text_of(result));
    if (result == net::probe_result::refused) {
        this->ends[key] = {.evidence = end_evidence::connection_refused, .at = this->clock.now()};
        this->report_end(probed.waiting, end_evidence::connection_refused);
        return;
    }
    for (waiting_attempt& waiting : probed.waiting) {
        log_suspected(waiting.attempt, text_of(result));
        this->keep_unresolved(std::move(waiting.attempt));
    }
    for (const waiting_attempt& waiting : probed.waiting) {
        run_once(waiting.done);
    }
}

void end_monitor::report_end(const std::vector<waiting_attempt>& ended, end_evidence evidence) {
    std::vector<suspect> observed;
    std::vector<std::string> digests;
    for (const waiting_attempt& each : ended) {
        observed.push_back(suspect_of(each.attempt, this->options.node, evidence));
        digests.push_back(each.attempt.fingerprint.digest);
    }
    for (const std::string& digest : this->exchange.add(observed)) {
        this->log_blocked(digest);
    }
    for (const waiting_attempt& each : ended) {
        const auto status =
            this->table().status_of(each.attempt.fingerprint.digest, this->clock.now());
        base::log(base::log_level::warning, "back_end_ended",
                  {{"request", each.attempt.request},
                   {"fingerprint", each.attempt.fingerprint.digest},
                   {"tenant", each.attempt.tenant},
                   {"route", each.attempt.route},
                   {"backend", each.attempt.target.id},
                   {"evidence", to_string(evidence)},
                   {"ends", status.ends},
                   {"blocked", status.is_blocked}});
    }
    this->metrics
        .add_counter("pearbarrow_suspects_ends_total",
                     "Requests under which this node saw a back end end",
                     {{"evidence", std::string(to_string(evidence))}})
        .increment(static_cast<double>(ended.size()));
    this->exchange.report(digests, [ended] {
        for (const waiting_attempt& each : ended) {
            run_once(each.done);
        }
    });
}

void end_monitor::on_replaced(const directory::backend_incarnation& incarnation) {
    this->resolve({incarnation.id, incarnation.started_at}, end_evidence::replaced);
}

void end_monitor::apply(const directory::backend_changes& changes) {
    if (this->unresolved.empty()) {
        return;
    }
    for (const directory::backend& present : changes.present) {
        const auto earlier = std::find_if(
            this->unresolved.begin(), this->unresolved.end(), [&](const unresolved_attempt& each) {
                return each.attempt.target.id == present.id &&
                       each.attempt.target.started_at != present.started_at;
            });
        if (earlier != this->unresolved.end()) {
            this->resolve({present.id, earlier->attempt.target.started_at}, end_evidence::replaced);
        }
    }
}

void end_monitor::resolve(const incarnation_key& key, end_evidence evidence) {
    this->forget_expired();
    std::vector<waiting_attempt> ended;
    for (auto at = this->unresolved.begin(); at != this->unresolved.end();) {
        const directory::backend& target = at->attempt.target;
        if (incarnation_key{target.id, target.started_at} != key) {
            ++at;
            continue;
        }
        ended.push_back(
            {.attempt = std::move(at->attempt), .done = std::make_shared<std::function<void()>>()});
        at = this->unresolved.erase(at);
    }
    if (!ended.empty()) {
        this->ends[key] = {.evidence = evidence, .at = this->clock.now()};
        this->report_end(ended, evidence);
    }
}

void end_monitor::on_completed(const request_fingerprint& fingerprint) {
    if (this->exchange.excuse(fingerprint.digest)) {
        base::log(base::log_level::info, "suspect_excused",
                  {{"fingerprint", fingerprint.digest}, {"reason", "completed"}});
        this->exchange.report({fingerprint.digest}, nullptr);
    }
}

void end_monitor::keep_unresolved(broken_attempt attempt) {
    if (this->unresolved.size() == this->options.max_unresolved) {
        this->unresolved.pop_front();
    }
    this->unresolved.push_back({.attempt = std::move(attempt), .broken_at = this->clock.now()});
}

void end_monitor::forget_expired() {
    const base::instant now = this->clock.now();
    while (!this->unresolved.empty() &&
           now - this->unresolved.front().broken_at >= this->options.late_evidence_time) {
        this->unresolved.pop_front();
    }
    for (auto at = this->ends.begin(); at != this->ends.end();) {
        at = now - at->second.at >= this->options.end_memory ? this->ends.erase(at) : std::next(at);
    }
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

void end_monitor::count_examination(const char* result) const {
    this->metrics
        .add_counter("pearbarrow_suspects_probes_total",
                     "Back ends probed after the connection of an attempt was lost",
                     {{"result", result}})
        .increment();
}

}  // namespace pearbarrow::suspects
