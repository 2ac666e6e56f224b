/// The shape of HTTP/1.1 messages, by Boost.Beast. Internal to `net`: the Beast headers stay in
/// http_codec.cc and http_response_reader.cc.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "pearbarrow/net/http.h"

namespace pearbarrow::net {

/// Outcome of feeding bytes to a reader.
enum class read_progress { need_more, head_complete, complete, failed };

/// Reads one request. Only the bytes of that request are taken from the buffer.
class http_request_reader {
  public:
    http_request_reader(std::size_t max_header_bytes, std::size_t max_body_bytes);
    ~http_request_reader();
    http_request_reader(const http_request_reader&) = delete;
    http_request_reader& operator=(const http_request_reader&) = delete;

    /// Consumes from the front of `buffer`. Stops once at `head_complete`.
    read_progress feed(std::string& buffer);
    /// Status with which to refuse after `failed`: 400, 413 or 431.
    int refusal() const;
    std::string refusal_reason() const;
    bool has_begun() const;
    bool expects_continue() const;
    /// Of the body, as the head tells it; 0 where it does not.
    std::size_t content_length() const;
    bool keep_alive() const;
    /// False for HTTP/1.0, which does not know chunks.
    bool can_take_chunks() const;
    /// The request, after `complete`.
    http_request release();

  private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Reads one response, handing the body on as it comes.
class http_response_reader {
  public:
    struct options {
        bool answers_head_request = false;
        std::size_t max_body_bytes = 0;
        std::function<void(std::string_view)> on_body;
    };

    explicit http_response_reader(options options);
    ~http_response_reader();
    http_response_reader(const http_response_reader&) = delete;
    http_response_reader& operator=(const http_response_reader&) = delete;

    /// Consumes from the front of `bytes`. Stops once at `head_complete`.
    read_progress feed(std::string& buffer);
    /// The server closed: complete when the body ends with the connection.
    read_progress end();
    bool has_begun() const;
    bool body_too_large() const;
    std::string failure() const;
    int status() const;
    http_headers headers() const;
    bool keep_alive() const;
    /// How long the server keeps the idle connection, by `Keep-Alive: timeout=SECONDS`.
    std::optional<base::milliseconds> idle_lifetime() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

/// How the answer's body is framed.
enum class body_framing { length, chunks, until_close };

struct response_head {
    int status = 200;
    const http_headers* headers = nullptr;
    body_framing framing = body_framing::length;
    std::size_t body_size = 0;
    bool keep_alive = true;
};

std::string format_response_head(const response_head& head);
/// One chunk of a chunked body; `data` is not empty.
std::string format_chunk(std::string_view data);
std::string_view last_chunk();
/// The request's head. `Host` and `Content-Length` are added.
std::string format_request_head(const http_call& call);

/// An answer of type `application/problem+json`.
http_response problem_response(int status, std::string_view reason, std::string_view detail);

}  // namespace pearbarrow::net
