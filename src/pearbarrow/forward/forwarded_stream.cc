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
        case version_source::same_content:
            return "same_content";
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
    // A node that has just started does not know which versions have left.
    if (context_.pool.watched_for(context_.clock.now()) < max_age) {
        return std::nullopt;
    }
    const auto version = context_.pool.sole_version(service, max_age, context_.clock.now());
    if (!version.has_value()) {
        return std::nullopt;
    }
    return turns::stream_software{.service = service, .version = *version};
}

std::optional<turns::recorded_attempt> forwarded_request::recorded_of(
    const turns::prepared_turn& prepared) {
    if (!prepared.resumed.has_value()) {
        return std::nullopt;
    }
    return turns::recorded_attempt{.reserved = *prepared.resumed, .age = prepared.resumed_age};
}

/// A try that is settled without a back end has brought no event.
unnamed_stream forwarded_request::find_unnamed_stream(
    const std::vector<turns::recorded_attempt>& attempts) {
    unnamed_stream found;
    for (const turns::recorded_attempt& attempt : attempts) {
        const auto& software = attempt.reserved.software;
        const bool has_no_event = attempt.reserved.settled && attempt.reserved.backend == 0;
        if (!software.has_value() || !software->version.is_known || has_no_event) {
            continue;
        }
        if (!found.began.has_value()) {
            found.began = attempt;
            continue;
        }
        const auto& known = found.began->reserved.software;
        found.is_ambiguous = found.is_ambiguous || known->service != software->service ||
                             known->version != software->version;
        // The least certain one decides whether the process has to be examined.
        if (software->is_provisional && !known->is_provisional) {
            found.began = attempt;
        }
    }
    return found;
}

bool forwarded_request::adopt_software(const turns::prepared_turn& prepared) {
    const bool is_named = !facts_.resumed_stream.empty();
    if (is_named && !prepared.resumed.has_value()) {
        reject_resumed(409, "unknown_stream", "there is no such stream to resume", std::nullopt);
        return false;
    }
    const auto unnamed = is_named ? unnamed_stream() : find_unnamed_stream(prepared.same_content);
    if (unnamed.is_ambiguous) {
        reject_resumed(503, "stream_version_unknown",
                       "earlier tries of the stream began at several software versions",
                       std::nullopt);
        return false;
    }
    const auto began = is_named ? recorded_of(prepared) : unnamed.began;
    software_ = began.has_value() ? began->reserved.software : std::nullopt;
    version_source_ = is_named ? version_source::record : version_source::same_content;
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
    return !began.has_value() || settle_began_version(began->reserved, began->age);
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
    if (!has_version_left()) {
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
