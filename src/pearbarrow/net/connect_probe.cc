#include "pearbarrow/net/connect_probe.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pearbarrow::net {
namespace {

using boost::asio::ip::tcp;

/// Shared with the handler of the connection attempt, which may run after the probe is destroyed.
struct probe_state {
    explicit probe_state(boost::asio::io_context& context) : socket(context) {}

    void finish(probe_result result) {
        this->timer.reset();
        boost::system::error_code ignored;
        this->socket.close(ignored);
        if (const auto callback = std::exchange(this->done, nullptr); callback) {
            callback(result);
        }
    }

    tcp::socket socket;
    std::unique_ptr<timer_handle> timer;
    std::function<void(probe_result)> done;
};

class tcp_probe final : public connect_probe {
  public:
    explicit tcp_probe(std::shared_ptr<probe_state> state) : state(std::move(state)) {}
    tcp_probe(const tcp_probe&) = delete;
    tcp_probe& operator=(const tcp_probe&) = delete;
    ~tcp_probe() override {
        this->state->done = nullptr;
        this->state->timer.reset();
        boost::system::error_code ignored;
        this->state->socket.close(ignored);
    }

  private:
    std::shared_ptr<probe_state> state;
};

probe_result result_of(const boost::system::error_code& error) {
    if (!error) {
        return probe_result::accepted;
    }
    const bool is_refused = error == boost::asio::error::connection_refused ||
                            error == boost::asio::error::connection_reset;
    return is_refused ? probe_result::refused : probe_result::no_reply;
}

}  // namespace

std::unique_ptr<connect_probe> probe_connection(event_loop& loop, const endpoint& server,
                                                base::milliseconds timeout,
                                                std::function<void(probe_result)> done) {
    auto state = std::make_shared<probe_state>(loop.context());
    state->done = std::move(done);
    const std::weak_ptr<probe_state> weak = state;
    state->timer = loop.after(timeout, [weak] {
        if (const auto held = weak.lock(); held != nullptr) {
            held->finish(probe_result::no_reply);
        }
    });
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(server.address, error);
    if (error) {
        loop.post([state] { state->finish(probe_result::no_reply); });
    } else {
        state->socket.async_connect(tcp::endpoint(address, server.port),
                                    [state](const boost::system::error_code& failed) {
                                        if (state->done) {
                                            state->finish(result_of(failed));
                                        }
                                    });
    }
    return std::make_unique<tcp_probe>(std::move(state));
}

}  // namespace pearbarrow::net
