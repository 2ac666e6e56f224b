/// The two kinds of link between nodes: to a peer that is called, and from one that calls.
/// Internal to `net`.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "pearbarrow/net/connection.h"
#include "pearbarrow/net/peer_calls.h"
#include "pearbarrow/net/peer_frame.h"

namespace pearbarrow::net {

/// Frames, hello and probes: what both kinds have in common.
class framed_link : public connection_user, public std::enable_shared_from_this<framed_link> {
  public:
    framed_link(std::shared_ptr<peer_core> core, std::shared_ptr<connection> link);

    void on_data(std::string_view bytes) final;
    void on_lost(const absl::Status& status) final;
    /// Closes and ends what was under way.
    void lose(const absl::Status& status);

  protected:
    /// Checks the other side's hello; the status says what does not match.
    virtual absl::Status on_hello(const hello_message& hello) = 0;
    virtual absl::Status on_frame(peer_frame frame) = 0;
    virtual bool has_calls() const = 0;
    /// Whether the loss is news, and not one more failure to reach a peer that is known as lost.
    virtual bool loss_is_news() { return true; }
    /// The link is closed; runs once.
    virtual void ended(const absl::Status& status) = 0;

    void begin();
    void send(const peer_frame& frame);
    /// Counts a frame that is about to be written, and packs it where the link's bytes are dear.
    std::string for_link(wire::method_number method, bool is_answer, std::string encoded);
    void send_hello();
    /// Gives the link up unless the other side's hello comes in this time from now.
    void expect_hello_within(base::milliseconds time) { hello_deadline_.set_after(time); }
    /// Starts the search for a silent peer, when calls begin on an idle link.
    void watch_silence();
    bool is_ready() const { return hello_seen_; }
    bool has_ended() const { return ended_; }

    std::shared_ptr<peer_core> core_;
    std::shared_ptr<connection> link_;

  private:
    absl::Status take(peer_frame frame);
    absl::Status take_hello(const peer_frame& frame);
    void on_silence();

    frame_decoder decoder_;
    deadline hello_deadline_;
    deadline silence_;
    base::instant last_heard_{};
    peer_distance distance_ = peer_distance::unknown;
    /// The peer is in another zone and understands packed frames.
    bool packs_ = false;
    bool hello_seen_ = false;
    bool ended_ = false;
};

/// A link to a peer, on which this node makes requests.
class peer_link final : public framed_link {
  public:
    peer_link(std::shared_ptr<peer_core> core, base::node_id node, endpoint address);

    void start();
    /// Sends a request, or keeps it until the hello is done. Fails with `peer_queue_full`.
    absl::Status send_request(const std::shared_ptr<outgoing_call>& call, peer_frame request);
    /// Cancels every call under way.
    void abandon_calls();

  private:
    struct pending_call {
        std::shared_ptr<outgoing_call> call;
        /// Where its frame begins in the stream of bytes, once it is queued.
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
    bool loss_is_news() override;
    void ended(const absl::Status& status) override;

    base::milliseconds time_to_connect() const;
    void count_failed_connect();
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

/// A link from a peer, on which it makes requests.
class peer_inbound final : public framed_link {
  public:
    using framed_link::framed_link;

    void start();
    const base::node_id& caller() const { return caller_; }
    /// Sends a frame of an answer.
    void answer(const peer_frame& frame) { send(frame); }
    void forget(std::uint64_t call) { requests_.erase(call); }

  private:
    absl::Status on_hello(const hello_message& hello) override;
    absl::Status on_frame(peer_frame frame) override;
    bool has_calls() const override { return !requests_.empty(); }
    void ended(const absl::Status& status) override;
    absl::Status begin_request(const peer_frame& frame);

    base::node_id caller_;
    std::map<std::uint64_t, std::weak_ptr<remote_responder>> requests_;
};

}  // namespace pearbarrow::net
