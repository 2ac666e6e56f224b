#include "pearbarrow/net/peer_link.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::net {
namespace {

/// Bounds the memory used for peers that never return.
constexpr std::size_t max_reported_lost_peers = 4'096;

constexpr char hello_timeout[] = "hello_timeout";

connection_options limits_of(const peer_rpc_options& options) {
    constexpr std::size_t read_bytes = std::size_t{16} * 1024;
    // Exceeds the limit for requests so that cancel and probe frames still fit.
    return {.max_pending_bytes = options.max_queued_bytes + options.max_frame_bytes,
            .write_timeout = options.write_timeout,
            .read_buffer_bytes = read_bytes,
            .verify_address = false,
            .buffered = options.buffered,
            .kind = buffer_kind::frames};
}

absl::Status bad_link(std::string_view message, std::string peer, std::string reason) {
    return base::make_error(
        absl::StatusCode::kUnavailable, message,
        {.step = "peer_hello", .peer = std::move(peer), .reason = std::move(reason)});
}

absl::Status bad_frame(std::string peer) {
    return base::make_error(absl::StatusCode::kInvalidArgument, "a frame that has no place here",
                            {.step = "peer_frame",
                             .peer = std::move(peer),
                             .reason = "malformed_frame",
                             .was_executed = base::executed::unknown});
}

}  // namespace

framed_link::framed_link(std::shared_ptr<peer_core> core, std::shared_ptr<connection> link)
    : core_(std::move(core)),
      link_(std::move(link)),
      decoder_(core_->options.max_frame_bytes),
      hello_deadline_(
          core_->context,
          [this] { close_with_error(bad_link("no hello in time", link_->peer(), hello_timeout)); }),
      silence_(core_->context, [this] { on_silence(); }) {
    hello_deadline_.set_after(core_->options.connect_timeout);
}

void framed_link::begin() {
    link_->attach(shared_from_this());
}

void framed_link::send(const peer_frame& frame) {
    std::string bytes = encode_frame(frame);
    const auto kind = static_cast<frame_kind>(frame.kind);
    const bool is_reply =
        kind == frame_kind::part || kind == frame_kind::reply || kind == frame_kind::error;
    link_->write(prepare_frame(frame.method, is_reply, std::move(bytes)));
}

std::string framed_link::prepare_frame(wire::method_number method, bool is_reply,
                                       std::string encoded) {
    if (compresses_) {
        encoded = compress_frame(std::move(encoded));
    }
    core_->traffic.add(method, is_reply, distance_, encoded.size());
    return encoded;
}

void framed_link::send_hello() {
    send({.kind = static_cast<std::uint8_t>(frame_kind::hello),
          .payload = wire::encode(hello_message{.cluster = core_->options.cluster,
                                                .node = core_->options.self,
                                                .zone = core_->options.zone,
                                                .supports_compression = true})});
}

void framed_link::on_data(std::string_view bytes) {
    last_received_at_ = now();
    const auto status = decoder_.feed(bytes, [this](peer_frame frame) {
        if (const auto handled = handle_frame(std::move(frame)); !handled.ok()) {
            close_with_error(handled);
        }
        return !ended_;
    });
    if (!status.ok()) {
        close_with_error(status);
    }
}

absl::Status framed_link::handle_frame(peer_frame frame) {
    if (!hello_seen_) {
        return handle_hello(frame);
    }
    switch (static_cast<frame_kind>(frame.kind)) {
        case frame_kind::hello:
            return bad_frame(link_->peer());
        case frame_kind::probe:
            send({.kind = static_cast<std::uint8_t>(frame_kind::probe_reply)});
            return absl::OkStatus();
        case frame_kind::probe_reply:
            return absl::OkStatus();
        case frame_kind::packed: {
            auto inner = decompress_frame(frame, core_->options.max_frame_bytes);
            return inner.ok() ? on_frame(*std::move(inner)) : inner.status();
        }
        default:
            return on_frame(std::move(frame));
    }
}

absl::Status framed_link::handle_hello(const peer_frame& frame) {
    const auto hello = wire::decode<hello_message>(frame.payload);
    if (frame.kind != static_cast<std::uint8_t>(frame_kind::hello) || !hello.ok()) {
        return bad_link("the link does not begin with a hello", link_->peer(), "malformed_hello");
    }
    if (hello->version != peer_protocol_version) {
        return bad_link("protocol version " + std::to_string(hello->version), link_->peer(),
                        "version_mismatch");
    }
    if (hello->cluster != core_->options.cluster) {
        return bad_link("a node of another cluster", link_->peer(), "cluster_mismatch");
    }
    hello_seen_ = true;
    hello_deadline_.clear();
    if (const auto& distance_of = core_->options.distance_of; distance_of && !hello->zone.empty()) {
        distance_ = distance_of(hello->zone);
    }
    compresses_ = hello->supports_compression && (distance_ == peer_distance::other_zone ||
                                                  distance_ == peer_distance::other_region);
    return on_hello(*hello);
}

void framed_link::start_silence_detection() {
    if (!silence_.is_set()) {
        last_received_at_ = now();
        silence_.set(last_received_at_ + core_->options.silence_before_probe);
    }
}

void framed_link::on_silence() {
    if (ended_ || !has_calls()) {
        return;
    }
    const base::instant current_time = now();
    const auto& options = core_->options;
    if (current_time - last_received_at_ >= options.silence_before_loss) {
        close_with_error(base::make_error(absl::StatusCode::kUnavailable, "the node is silent",
                                          {.step = "peer_link",
                                           .peer = link_->peer(),
                                           .reason = "peer_silent",
                                           .was_executed = base::executed::unknown}));
        return;
    }
    if (current_time - last_received_at_ >= options.silence_before_probe) {
        send({.kind = static_cast<std::uint8_t>(frame_kind::probe)});
        silence_.set(std::min<base::instant>(current_time + options.silence_before_probe,
                                             last_received_at_ + options.silence_before_loss));
        return;
    }
    silence_.set(last_received_at_ + options.silence_before_probe);
}

void framed_link::on_lost(const absl::Status& status) {
    close_with_error(status);
}

void framed_link::close_with_error(const absl::Status& status) {
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    hello_deadline_.clear();
    silence_.clear();
    // An orderly close is not logged.
    if (status.code() != absl::StatusCode::kOutOfRange && !core_->shut_down && should_log_loss()) {
        auto fields = base::log_fields(status);
        fields["link"] = link_->peer();
        base::log(base::log_level::warning, "peer_link_lost", std::move(fields));
    }
    // The hello is written first, so that the peer can detect the mismatch too.
    link_->close_after_writes();
    on_ended(status);
}

peer_link::peer_link(std::shared_ptr<peer_core> core, base::node_id node, endpoint address)
    : framed_link(core, std::make_shared<connection>(
                            core->context, connection::tcp::socket(core->context), core->client_tls,
                            limits_of(core->options), core->counters)),
      node_(std::move(node)),
      address_(std::move(address)) {}

base::milliseconds peer_link::next_connect_timeout() const {
    constexpr std::uint32_t max_doublings = 10;
    const peer_rpc_options& options = core_->options;
    if (options.first_connect_timeout.count() == 0) {
        return options.connect_timeout;
    }
    const auto found = core_->failed_connects.find({node_, address_});
    const std::uint32_t failed = found == core_->failed_connects.end() ? 0 : found->second;
    return std::min(options.connect_timeout,
                    options.first_connect_timeout * (1U << std::min(failed, max_doublings)));
}

void peer_link::record_connect_failure() {
    if (core_->failed_connects.size() >= max_reported_lost_peers) {
        core_->failed_connects.clear();
    }
    ++core_->failed_connects[{node_, address_}];
}

void peer_link::start() {
    expect_hello_within(next_connect_timeout());
    link_->connect(address_, [self = std::static_pointer_cast<peer_link>(shared_from_this())](
                                 const absl::Status& status) {
        if (self->has_ended()) {
            return;
        }
        if (!status.ok()) {
            self->close_with_error(status);
            return;
        }
        self->begin();
        self->send_hello();
    });
}

bool peer_link::should_log_loss() {
    if (core_->reported_lost_peers.size() >= max_reported_lost_peers) {
        core_->reported_lost_peers.clear();
    }
    return core_->reported_lost_peers.insert({node_, address_}).second;
}

absl::Status peer_link::send_request(const std::shared_ptr<outgoing_call>& call,
                                     peer_frame request) {
    const std::size_t size = request.payload.size() + frame_overhead_bytes;
    const std::size_t queued = waiting_bytes_ + link_->pending_bytes();
    if (queued + size > core_->options.max_queued_bytes ||
        calls_.size() >= core_->options.max_open_requests) {
        return queue_full(node_.value());
    }
    const std::uint64_t id = request.call;
    std::string bytes = encode_frame(request);
    pending_call pending{.call = call};
    if (is_ready()) {
        pending.position = link_->queued_position();
        link_->write(prepare_frame(request.method, false, std::move(bytes)));
        start_silence_detection();
    } else {
        waiting_bytes_ += bytes.size();
        waiting_.push_back({.call = id, .method = request.method, .bytes = std::move(bytes)});
    }
    calls_.emplace(id, std::move(pending));
    call->set_withdraw([weak = weak_from_this(), id] {
        const auto self = std::static_pointer_cast<peer_link>(weak.lock());
        return self == nullptr || self->withdraw(id);
    });
    return absl::OkStatus();
}

absl::Status peer_link::on_hello(const hello_message& hello) {
    if (!node_.value().empty() && hello.node != node_) {
        return bad_link("another node answers at this address: " + hello.node.value(),
                        to_string(address_), "wrong_node");
    }
    core_->reported_lost_peers.erase({node_, address_});
    core_->failed_connects.erase({node_, address_});
    for (waiting_frame& frame : waiting_) {
        if (const auto found = calls_.find(frame.call); found != calls_.end()) {
            found->second.position = link_->queued_position();
            link_->write(prepare_frame(frame.method, false, std::move(frame.bytes)));
        }
    }
    waiting_.clear();
    waiting_bytes_ = 0;
    if (has_calls()) {
        start_silence_detection();
    }
    return absl::OkStatus();
}

absl::Status peer_link::on_frame(peer_frame frame) {
    switch (static_cast<frame_kind>(frame.kind)) {
        case frame_kind::part:
            if (const auto found = calls_.find(frame.call); found != calls_.end()) {
                // The copy is needed because the callback may cancel the call.
                const auto call = found->second.call;
                call->part(frame.payload);
            }
            return absl::OkStatus();
        case frame_kind::reply:
            if (const auto call = take_call(frame.call); call != nullptr) {
                call->complete(std::move(frame.payload));
            }
            return absl::OkStatus();
        case frame_kind::error: {
            const auto error = wire::decode<error_message>(frame.payload);
            if (!error.ok()) {
                return bad_frame(link_->peer());
            }
            if (const auto call = take_call(frame.call); call != nullptr) {
                call->complete(to_status(*error));
            }
            return absl::OkStatus();
        }
        default:
            return bad_frame(link_->peer());
    }
}

std::shared_ptr<outgoing_call> peer_link::take_call(std::uint64_t id) {
    // The call is absent if it was cancelled while its reply was in transit.
    auto node = calls_.extract(id);
    return node.empty() ? nullptr : std::move(node.mapped().call);
}

bool peer_link::may_have_sent(const pending_call& pending) const {
    return pending.position.has_value() && link_->may_have_sent(*pending.position);
}

bool peer_link::withdraw(std::uint64_t id) {
    const auto node = calls_.extract(id);
    if (node.empty() || has_ended()) {
        return true;
    }
    const bool sent = node.mapped().position.has_value();
    const bool may_have_executed = may_have_sent(node.mapped());
    if (sent) {
        send({.kind = static_cast<std::uint8_t>(frame_kind::cancel), .call = id});
        return may_have_executed;
    }
    const auto same = [id](const waiting_frame& frame) { return frame.call == id; };
    if (const auto found = std::find_if(waiting_.begin(), waiting_.end(), same);
        found != waiting_.end()) {
        waiting_bytes_ -= found->bytes.size();
        waiting_.erase(found);
    }
    return false;
}

void peer_link::cancel_calls() {
    const auto calls = calls_;
    for (const auto& [id, pending] : calls) {
        pending.call->cancel();
    }
}

void peer_link::on_ended(const absl::Status& status) {
    const auto found = core_->outbound.find({node_, address_});
    if (found != core_->outbound.end() && found->second.get() == this) {
        core_->outbound.erase(found);
    }
    base::error_details details = base::details_of(status);
    // A refused connection fails immediately, so only an unresponsive peer increases the next
    // timeout.
    if (details.reason == hello_timeout) {
        record_connect_failure();
    }
    if (details.reason == "connection_closed") {
        details.reason = "connection_lost";
    }
    details.peer = node_.value().empty() ? to_string(address_) : node_.value();
    const auto code = status.code() == absl::StatusCode::kOutOfRange
                          ? absl::StatusCode::kUnavailable
                          : status.code();
    const std::string message(status.message().data(), status.message().size());
    const auto calls = std::exchange(calls_, {});
    waiting_.clear();
    waiting_bytes_ = 0;
    for (const auto& [id, pending] : calls) {
        details.was_executed =
            may_have_sent(pending) ? base::executed::unknown : base::executed::no;
        pending.call->complete(base::make_error(code, message, details));
    }
}

}  // namespace pearbarrow::net
