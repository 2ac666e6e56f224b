// Software of resumable streams. The output of two versions does not fit together, and back ends do
// not check which version began a stream.
#include <algorithm>
#include <limits>

#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {
namespace {

/// Maximum number of choices for one request. Each is reserved at the storage members.
constexpr std::uint32_t max_software_choices = 4;

std::string_view to_string(version_source source) {
    switch (source) {
        case version_source::record:
            return "record";
        case version_source::sole_version:
            return "sole_version";
    }
    return "unknown";
}

}  // namespace

bool forwarded_request::is_resumed() const {
    return is_resumable_stream() && (!facts_.resumed_stream.empty() || facts_.has_last_event);
}

void forwarded_request::ensure_reservation() {
    if (!is_resumable_stream() || facts_.turn.has_value()) {
        return;
    }
    // All requests for one stream must share the id under which it is stored.
    const std::string& began_as =
        facts_.resumed_stream.empty() ? facts_.request_id : facts_.resumed_stream;
    facts_.turn = turn_facts{.program = facts_.program.empty() ? began_as : facts_.program,
                             .token_budget = std::numeric_limits<std::uint64_t>::max(),
                             .max_tokens = 0,
                             .previous_turn = "",
                             .has_budget = false};
}

std::optional<directory::software_version> forwarded_request::required_version() const {
    return software_.has_value() ? std::optional(software_->version) : std::nullopt;
}

void forwarded_request::choose_software() {
    service_ = choose_service();
    const auto version = context_.pool.version_for(placement_request(), context_.clock.now());
    if (version.has_value()) {
        software_ = {.service = service_,
                     .version = version->version,
                     .choice = ++software_choices_,
                     .is_provisional = version->is_provisional};
        provisional_backend_ = version->is_provisional ? version->backend : std::string();
        provisional_key_ = version->is_provisional ? version->key : 0;
    }
}

bool forwarded_request::choose_other_software() {
    if (!is_resumable_stream() || is_resumed() || software_choices_ >= max_software_choices) {
        return false;
    }
    const auto previous = std::exchange(software_, std::nullopt);
    choose_software();
    const bool is_other = software_.has_value() &&
                          (!previous.has_value() || previous->service != software_->service ||
                           previous->version != software_->version);
    if (!is_other) {
        software_ = previous;
        return false;
    }
    context_.log.notable("software_changed",
                         {{"request", facts_.request_id},
                          {"service", software_->service},
                          {"version", software_->version.name},
                          {"previous", previous.has_value() ? previous->version.name : ""},
                          {"choice", software_->choice}});
    // The timer returns to the loop, because this may run within a callback of the preparation.
    prepared_ = false;
    permit_retry_timer_ = context_.loop.after(base::milliseconds{0}, [this] { advance(); });
    return true;
}

bool forwarded_request::serves(const std::string& service) const {
    return std::any_of(
        route_.services.begin(), route_.services.end(),
        [&](const directory::weighted_service& part) { return part.service == service; });
}

/// No stream is older than the timeout of its route. A version that has served alone for that long
/// began every stream of the route.
std::optional<turns::stream_software> forwarded_request::sole_software() const {
    const std::string service = choose_service();
    const base::milliseconds max_age = route_.timeout_ms > 0 ? base::milliseconds{route_.timeout_ms}
                                                             : context_.options.default_timeout;
    const auto version = context_.pool.sole_version(service, max_age, context_.clock.now());
    if (!version.has_value()) {
        return std::nullopt;
    }
    return turns::stream_software{.service = service, .version = *version};
}

bool forwarded_request::adopt_software(const turns::prepared_turn& prepared) {
    const bool is_named = !facts_.resumed_stream.empty();
    if (is_named && !prepared.resumed.has_value()) {
        reject_resumed(409, "unknown_stream", "there is no such stream to resume", std::nullopt);
        return false;
    }
    software_ = is_named ? prepared.resumed->software : std::nullopt;
    version_source_ = version_source::record;
    if (!software_.has_value() || !software_->version.is_known) {
        software_ = sole_software();
        version_source_ = version_source::sole_version;
    }
    if (!software_.has_value()) {
        reject_resumed(503, "stream_version_unknown",
                       "the software version that began the stream is not known", std::nullopt);
        return false;
    }
    if (!serves(software_->service)) {
        reject_resumed(503, "stream_service_gone",
                       "the route no longer uses the service that began the stream", std::nullopt);
        return false;
    }
    return !is_named || settle_began_version(*prepared.resumed, prepared.resumed_age);
}

void forwarded_request::reject_resumed(int status, std::string_view reason, std::string_view detail,
                                       std::optional<base::milliseconds> retry_after) {
    must_start_anew_ = !retry_after.has_value();
    nlohmann::json fields = {{"request", facts_.request_id},
                             {"resumes", facts_.resumed_stream},
                             {"program", facts_.program},
                             {"tenant", facts_.tenant},
                             {"reason", reason},
                             {"start_anew", must_start_anew_},
                             {"backends_revision", context_.pool.revision()}};
    if (software_.has_value()) {
        fields["service"] = software_->service;
        fields["began_version"] = software_->version.name;
    }
    context_.log.notable("resume_refused", std::move(fields));
    context_.log.count_resumed(reason);
    respond_with_problem(status, reason, detail, retry_after);
}

void forwarded_request::reject_resumed_placement() {
    const places::zone_verdict verdict =
        context_.pool.placement_verdict_of(service_, required_version(), placement_bounds());
    if (verdict != places::zone_verdict::permitted) {
        reject_placement();
        return;
    }
    const version_status status =
        context_.pool.status_of(service_, software_->version, context_.clock.now());
    if (status.usable > 0 || status.may_return) {
        reject_resumed(503, "stream_version_unavailable",
                       "no back end of the software version that began the stream can take it now",
                       spread(context_.options.retry_after));
        return;
    }
    reject_resumed(503, "stream_version_gone",
                   "no back end has the software version that began the stream", std::nullopt);
}

bool forwarded_request::is_from_other_software() const {
    return is_resumable_stream() && event_count_ == 0 &&
           context_.pool.has_restarted_with_other_version(target_);
}

void forwarded_request::log_resumed() {
    const base::microseconds watched = context_.pool.watched_for(context_.clock.now());
    context_.log.notable("stream_resumed", {{"request", facts_.request_id},
                                            {"resumes", facts_.resumed_stream},
                                            {"version_source", to_string(version_source_)},
                                            {"watched_ms", watched.count() / 1000},
                                            {"service", software_->service},
                                            {"began_version", software_->version.name},
                                            {"backend", target_.id},
                                            {"version", target_.version.name},
                                            {"attempt", attempts_ + 1}});
    context_.log.count_resumed("sent");
}

}  // namespace pearbarrow::forward
