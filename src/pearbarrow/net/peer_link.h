/// Outbound and inbound links between nodes. Internal to `net`.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "pearbarrow/net/connection.h"
#include "pearbarrow/net/peer_calls.h"
#include "pearbarrow/net/peer_frame.h"

namespace pearbarrow::net {

/// Common part of both kinds of links: frames, hello and probes.
class framed_link : public connection_user, public std::enable_shared_from_this<framed_link> {
  public:
    framed_link(std::shared_ptr<peer_core> core, std::shared_ptr<connection> link);

    void on_data(std::string_view bytes) final;
    void on_lost(const absl::Status& status) final;
    /// Closes the link and ends its calls.
    void close_with_error(const absl::Status& status);

  protected:
    /// Validates the hello of the peer. The status describes a mismatch.
    virtual absl::Status on_hello(const hello_message& hello) = 0;
    virtual absl::Status on_frame(peer_frame frame) = 0;
    virtual bool has_calls() const = 0;
    /// Whether to log the loss. Repeated failures to reach a lost peer are not logged.
    virtual bool should_log_loss() { return true; }
    /// Runs once when the link is closed.
    virtual void on_ended(const absl::Status& status) = 0;

    void begin();
    void send(const peer_frame& frame);
    /// Counts an outgoing frame, and compresses it if the link crosses zones.
    std::string prepare_frame(wire::method_number method, bool is_reply, std::string encoded);
    void send_hello();
    /// Closes the link unless the hello of the peer arrives within `time`.
    void expect_hello_within(base::milliseconds time) { hello_deadline_.set_after(time); }
    /// Starts the detection of an unresponsive peer when calls begin on an idle link.
    void start_silence_detection();
    bool is_ready() const { return hello_seen_; }
    bool has_ended() const { return ended_; }

    std::shared_ptr<peer_core> core_;
    std::shared_ptr<connection> link_;

  private:
    absl::Status handle_frame(peer_frame frame);
    absl::Status handle_hello(const peer_frame& frame);
    void on_silence();

    frame_decoder decoder_;
    deadline hello_deadline_;
    deadline silence_;
    base::instant last_received_at_{};
    peer_distance distance_ = peer_distance::unknown;
    /// Whether the peer is in another zone and supports compressed frames.
    bool compresses_ = false;
    bool hello_seen_ = false;
    bool ended_ = false;
};

/// A link to a peer, which carries requests of this node.
class peer_link final : public framed_link {
  public:
    peer_link(std::shared_ptr<peer_core> core, base::node_id node, endpoint address);

    void start();
    /// Sends a request, or queues it until the hello exchange is complete. Fails with
    /// `peer_queue_full`.
    absl::Status send_request(const std::shared_ptr<outgoing_call>& call, peer_frame request);
    /// Cancels all calls in flight.
    void cancel_calls();

  private:
    struct pending_call {
        std::shared_ptr<outgoing_call> call;
        /// Stream position of the frame, once it is queued.
        std::optional<std::uint64_t> position;
    };
    struct waiting_frame {
        std::uint64_t call = 0;
        wire::method_number method = 0;
        std::string bytes;
    };

    absl::Status on_hello(const hello_message& hello) override;
    absl::Status on_frame(peer_frame frame) override;
    bool has_calls() const override { return !calls_.empty(); }
    bool should_log_loss() override;
    void on_ended(const absl::Status& status) override;

    base::milliseconds next_connect_timeout() const;
    void record_connect_failure();
    std::shared_ptr<outgoing_call> take_call(std::uint64_t id);
    bool withdraw(std::uint64_t id);
    bool may_have_sent(const pending_call& pending) const;

    base::node_id node_;
    endpoint address_;
    std::map<std::uint64_t, pending_call> calls_;
    std::deque<waiting_frame> waiting_;
    std::size_t waiting_bytes_ = 0;
};

class remote_responder;

/// A link from a peer, which carries requests of that peer.
class peer_inbound final : public framed_link {
  public:
    using framed_link::framed_link;

    void start();
    const base::node_id& caller() const { return caller_; }
    /// Sends a frame of a reply.
    void send_reply(const peer_frame& frame) { send(frame); }
    void remove_request(std::uint64_t call) { requests_.erase(call); }
    /// Returns the number of requests without a final reply, except long polls.
    std::size_t open_requests() const;
    /// Returns the number of bytes that the kernel has not accepted.
    std::size_t queued_bytes() const { return link_->pending_bytes(); }

  private:
    absl::Status on_hello(const hello_message& hello) override;
    absl::Status on_frame(peer_frame frame) override;
    bool has_calls() const override { return !requests_.empty(); }
    void on_ended(const absl::Status& status) override;
    absl::Status begin_request(const peer_frame& frame);

    base::node_id caller_;
    std::map<std::uint64_t, std::weak_ptr<remote_responder>> requests_;
};

}  // namespace pearbarrow::net
