/// Calls in flight from a node, and the state shared by its links. Internal to `net`.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "pearbarrow/net/connection.h"
#include "pearbarrow/net/deadline.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::net {

/// Multiplexes many timeouts over one timer.
class call_timeouts {
  public:
    /// Expiry time and serial number.
    using key = std::pair<base::instant, std::uint64_t>;

    explicit call_timeouts(boost::asio::io_context& context);
    key add(base::instant when, std::function<void()> task);
    void remove(const key& entry) { tasks_.erase(entry); }

  private:
    void run_expired();

    std::map<key, std::function<void()>> tasks_;
    std::uint64_t last_serial_ = 0;
    deadline timer_;
};

/// Caller side of one request, local or remote.
class outgoing_call final : public std::enable_shared_from_this<outgoing_call> {
  public:
    /// Withdraws the request from its transport and notifies the server. Returns true if the
    /// request may have reached the server.
    using withdraw_function = std::function<bool()>;

    outgoing_call(call_timeouts& timeouts, std::string peer, peer_call_callbacks callbacks)
        : timeouts_(timeouts), peer_(std::move(peer)), callbacks_(std::move(callbacks)) {}

    void set_withdraw(withdraw_function withdraw) { withdraw_ = std::move(withdraw); }
    void expire_after(base::milliseconds timeout);
    void part(std::string_view payload);
    /// Ends the call with its result.
    void complete(absl::StatusOr<std::string> result);
    /// Ends the call without a result.
    void cancel();
    bool is_done() const { return done_; }

  private:
    void expire();
    void finish();

    call_timeouts& timeouts_;
    std::string peer_;
    peer_call_callbacks callbacks_;
    withdraw_function withdraw_;
    std::optional<call_timeouts::key> timeout_;
    bool done_ = false;
};

class peer_inbound;
class peer_link;

/// State shared by the links of one node.
struct peer_core : std::enable_shared_from_this<peer_core> {
    peer_core(boost::asio::io_context& io_context, peer_rpc_options rpc_options)
        : context(io_context),
          options(std::move(rpc_options)),
          counters(std::make_shared<traffic_counters>()),
          timeouts(io_context) {}

    boost::asio::io_context& context;
    peer_rpc_options options;
    std::shared_ptr<traffic_counters> counters;
    peer_traffic traffic;
    std::map<method_number, peer_method_handler> methods;
    call_timeouts timeouts;
    std::shared_ptr<tls_context> server_tls;
    std::shared_ptr<tls_context> client_tls;
    std::map<std::pair<base::node_id, endpoint>, std::shared_ptr<peer_link>> outbound;
    std::set<std::shared_ptr<peer_inbound>> inbound;
    std::set<std::shared_ptr<outgoing_call>> local_calls;
    /// Peers whose loss has been logged and to which no link has been established since.
    std::set<std::pair<base::node_id, endpoint>> reported_lost_peers;
    /// Consecutive failed connection attempts for each peer.
    std::map<std::pair<base::node_id, endpoint>, std::uint32_t> failed_connects;
    std::uint64_t last_call = 0;
    bool stopping = false;
    bool shut_down = false;
};

/// Passes a request to the handler of its method, or replies with an error if there is none.
void dispatch_method(peer_core& core, method_number method, std::string_view payload,
                     std::shared_ptr<peer_responder> responder);

/// Starts a call from the node to itself.
void start_local_call(const std::shared_ptr<peer_core>& core,
                      const std::shared_ptr<outgoing_call>& call, method_number method,
                      std::string payload, base::milliseconds timeout);

absl::Status queue_full(std::string_view peer);

}  // namespace pearbarrow::net
