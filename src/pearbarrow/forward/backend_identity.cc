#include "pearbarrow/forward/backend_identity.h"

#include <utility>

namespace pearbarrow::forward {
namespace {

using suspects::identity_reply;

constexpr int misdirected_status = 421;
constexpr std::size_t max_health_body_bytes = std::size_t{64} * 1024;

class health_check final : public suspects::identity_question {
  public:
    health_check(std::string expected_id, std::string id_header,
                 std::function<void(identity_reply)> done)
        : expected_id(std::move(expected_id)),
          id_header(std::move(id_header)),
          done(std::move(done)) {}

    void start(net::http_client& client, net::http_call call) {
        this->call = client.start(
            std::move(call),
            {.on_head = [this](
                            int status,
                            const net::http_headers& response) { this->on_head(status, response); },
             .on_chunk = nullptr,
             .on_done = [this](const absl::Status& /*status*/) { this->done(this->reply); }});
    }

  private:
    /// A response without an id, such as a rejection, came from the process that was addressed,
    /// since any other one would have responded that the request was misdirected.
    void on_head(int status, const net::http_headers& response) {
        const std::string id = response.find(this->id_header).value_or(this->expected_id);
        const bool is_same = status != misdirected_status && id == this->expected_id;
        this->reply = is_same ? identity_reply::same : identity_reply::other;
    }

    std::string expected_id;
    std::string id_header;
    std::function<void(identity_reply)> done;
    identity_reply reply = identity_reply::none;
    std::unique_ptr<net::http_call_handle> call;
};

}  // namespace

backend_identity::backend_identity(net::http_client& client, header_names headers,
                                   path_source path_of)
    : client(client), headers(std::move(headers)), path_of(std::move(path_of)) {}

std::unique_ptr<suspects::identity_question> backend_identity::ask(
    const directory::backend& target, base::milliseconds timeout,
    std::function<void(identity_reply)> done) {
    const std::string path = this->path_of(target.service);
    if (path.empty()) {
        return nullptr;
    }
    net::http_call call{.server = target.address,
                        .method = "GET",
                        .target = path,
                        .headers = {{"Host", net::to_string(target.address)},
                                    {this->headers.target_backend, target.id},
                                    {"Connection", "close"}},
                        .body = "",
                        .connect_timeout = timeout,
                        .head_timeout = timeout,
                        .idle_timeout = timeout,
                        .total_timeout = 2 * timeout,
                        .max_body_bytes = max_health_body_bytes};
    // An open connection may have been silent for a long time, so each question opens its own.
    call.server_incarnation = ++this->questions;
    auto question = std::make_unique<health_check>(target.id, this->headers.responding_backend,
                                                   std::move(done));
    question->start(this->client, std::move(call));
    return question;
}

}  // namespace pearbarrow::forward
