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
                        std::vector<std::uint32_t> differing, done_handler done) {
    if (this->is_active()) {
        return;
    }
    this->peer = peer;
    this->lacking = std::move(differing);
    this->gathered = {.revision = revision, .parts = {}, .present = {}};
    this->times_busy = 0;
    this->done = std::move(done);
    this->ask();
}

void parts_fetch::ask() {
    if (this->lacking.empty()) {
        this->finish(std::move(this->gathered));
        return;
    }
    this->call = this->rpc.call(
        base::node_id(), this->peer, wire::directory_parts,
        wire::encode(parts_question{.parts = this->lacking}), this->options.call_timeout,
        {.on_part = nullptr,
         .on_done = [this](const absl::StatusOr<std::string>& payload) { this->take(payload); }});
}

void parts_fetch::take(const absl::StatusOr<std::string>& payload) {
    if (!payload.ok()) {
        const bool is_busy = base::details_of(payload.status()).reason == busy_reason;
        if (is_busy && ++this->times_busy <= this->options.most_busy) {
            this->wait_for_peer();
        } else {
            this->finish(std::nullopt);
        }
        return;
    }
    auto parts = wire::decode<backend_parts>(*payload);
    if (!parts.ok() || parts->parts.empty() || parts->revision < this->gathered.revision) {
        // A peer that has started again may hold an older list than it told of.
        this->finish(std::nullopt);
        return;
    }
    this->take_parts(*std::move(parts));
}

void parts_fetch::take_parts(backend_parts parts) {
    for (const std::uint32_t part : parts.parts) {
        std::erase(this->lacking, part);
        this->gathered.parts.push_back(part);
    }
    for (backend& one : parts.present) {
        this->gathered.present.push_back(std::move(one));
    }
    // From the loop: other work goes between two messages.
    this->next = this->loop.after(base::milliseconds{1}, [this] { this->ask(); });
}

void parts_fetch::wait_for_peer() {
    const auto least = static_cast<std::uint64_t>(this->options.busy_pause.count());
    const base::milliseconds pause{static_cast<std::int64_t>(least + this->random.below(least))};
    this->next = this->loop.after(pause, [this] { this->ask(); });
}

void parts_fetch::finish(std::optional<backend_parts> found) {
    if (!found.has_value()) {
        base::log(base::log_level::info, "directory_parts_not_fetched",
                  {{"peer", net::to_string(this->peer)}, {"lacking", this->lacking.size()}});
    }
    const done_handler handler = std::exchange(this->done, nullptr);
    handler(std::move(found));
}

parts_source::parts_source(
    net::peer_rpc& rpc, limits bounds,
    std::function<backend_parts(const parts_question&, std::size_t most)> read)
    : bounds(bounds), read(std::move(read)), room(bounds.messages_per_second) {
    rpc.register_method(wire::directory_parts, [this](std::string_view payload, auto responder) {
        this->take_question(payload, *responder);
    });
}

bool parts_source::takes_one_more(base::instant now) {
    const double seconds = std::chrono::duration<double>(now - this->counted_at).count();
    this->counted_at = now;
    this->room = std::min(this->bounds.messages_per_second,
                          this->room + seconds * this->bounds.messages_per_second);
    if (this->room < 1) {
        return false;
    }
    this->room -= 1;
    return true;
}

void parts_source::take_question(std::string_view payload, net::peer_responder& responder) {
    const auto question = wire::decode<parts_question>(payload);
    if (!question.ok()) {
        responder.fail(question.status());
        return;
    }
    if (!this->takes_one_more(now())) {
        responder.fail(base::make_error(absl::StatusCode::kResourceExhausted,
                                        "too many parts are asked for",
                                        {.step = "directory_parts",
                                         .reason = busy_reason,
                                         .was_executed = base::executed::no}));
        return;
    }
    responder.finish(wire::encode(this->read(*question, this->bounds.most_in_message)));
}

}  // namespace pearbarrow::directory
