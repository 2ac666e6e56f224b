#include "pearbarrow/directory/parts_fetch.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::directory {
namespace {

constexpr char busy_reason[] = "too_many_parts_asked";

base::instant now() {
    return std::chrono::time_point_cast<base::microseconds>(std::chrono::steady_clock::now());
}

}  // namespace

parts_fetch::parts_fetch(net::event_loop& loop, net::peer_rpc& rpc, base::random_source& random,
                         parts_fetch_options options)
    : loop(loop), rpc(rpc), random(random), options(options) {}

void parts_fetch::start(const net::endpoint& peer, std::uint64_t revision,
                        std::vector<std::uint32_t> differing_parts, done_handler done) {
    if (this->is_active()) {
        return;
    }
    this->peer = peer;
    this->missing_parts = std::move(differing_parts);
    this->gathered = {.revision = revision, .parts = {}, .present = {}};
    this->busy_replies = 0;
    this->done = std::move(done);
    this->request_parts();
}

void parts_fetch::request_parts() {
    if (this->missing_parts.empty()) {
        this->finish(std::move(this->gathered));
        return;
    }
    this->call = this->rpc.call(
        base::node_id(), this->peer, wire::directory_parts,
        wire::encode(parts_request{.parts = this->missing_parts}), this->options.call_timeout,
        {.on_part = nullptr, .on_done = [this](const absl::StatusOr<std::string>& payload) {
             this->handle_reply(payload);
         }});
}

void parts_fetch::handle_reply(const absl::StatusOr<std::string>& payload) {
    if (!payload.ok()) {
        const bool is_busy = base::details_of(payload.status()).reason == busy_reason;
        if (is_busy && ++this->busy_replies <= this->options.max_busy_replies) {
            this->retry_later();
        } else {
            this->finish(std::nullopt);
        }
        return;
    }
    auto parts = wire::decode<backend_parts>(*payload);
    if (!parts.ok() || parts->parts.empty() || parts->revision < this->gathered.revision) {
        // A restarted peer may hold an older list than the one whose digests it sent.
        this->finish(std::nullopt);
        return;
    }
    this->add_parts(*std::move(parts));
}

void parts_fetch::add_parts(backend_parts parts) {
    for (const std::uint32_t part : parts.parts) {
        std::erase(this->missing_parts, part);
        this->gathered.parts.push_back(part);
    }
    for (backend& entry : parts.present) {
        this->gathered.present.push_back(std::move(entry));
    }
    // The timer returns to the loop, so that other work runs between two messages.
    this->next = this->loop.after(base::milliseconds{1}, [this] { this->request_parts(); });
}

void parts_fetch::retry_later() {
    const auto min_delay = static_cast<std::uint64_t>(this->options.busy_delay.count());
    const base::milliseconds delay{
        static_cast<std::int64_t>(min_delay + this->random.below(min_delay))};
    this->next = this->loop.after(delay, [this] { this->request_parts(); });
}

void parts_fetch::finish(std::optional<backend_parts> found) {
    if (!found.has_value()) {
        base::log(base::log_level::info, "directory_parts_not_fetched",
                  {{"peer", net::to_string(this->peer)}, {"lacking", this->missing_parts.size()}});
    }
    const done_handler handler = std::exchange(this->done, nullptr);
    handler(std::move(found));
}

parts_source::parts_source(
    net::peer_rpc& rpc, limits bounds,
    std::function<backend_parts(const parts_request&, std::size_t max_backends)> read)
    : bounds(bounds), read(std::move(read)), permits(bounds.messages_per_second) {
    rpc.register_method(wire::directory_parts, [this](std::string_view payload, auto responder) {
        this->handle_request(payload, *responder);
    });
}

bool parts_source::take_permit(base::instant now) {
    const double seconds = std::chrono::duration<double>(now - this->refilled_at).count();
    this->refilled_at = now;
    this->permits = std::min(this->bounds.messages_per_second,
                             this->permits + seconds * this->bounds.messages_per_second);
    if (this->permits < 1) {
        return false;
    }
    this->permits -= 1;
    return true;
}

void parts_source::handle_request(std::string_view payload, net::peer_responder& responder) {
    const auto request = wire::decode<parts_request>(payload);
    if (!request.ok()) {
        responder.fail(request.status());
        return;
    }
    if (!this->take_permit(now())) {
        responder.fail(base::make_error(absl::StatusCode::kResourceExhausted,
                                        "too many parts are asked for",
                                        {.step = "directory_parts",
                                         .reason = busy_reason,
                                         .was_executed = base::executed::no}));
        return;
    }
    responder.finish(wire::encode(this->read(*request, this->bounds.max_in_message)));
}

}  // namespace pearbarrow::directory
