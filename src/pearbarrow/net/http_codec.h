/// Encoding and decoding of HTTP/1.1 messages with Boost.Beast. Internal to `net`: only
/// http_codec.cc and http_response_reader.cc include the headers of Beast.
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

/// Result of feeding bytes to a reader.
enum class read_progress { need_more, head_complete, complete, failed };

/// Parses one request. Consumes only the bytes of that request from the buffer.
class http_request_reader {
  public:
    http_request_reader(std::size_t max_header_bytes, std::size_t max_body_bytes);
    ~http_request_reader();
    http_request_reader(const http_request_reader&) = delete;
    http_request_reader& operator=(const http_request_reader&) = delete;

    /// Consumes bytes from the front of `buffer`. Returns `head_complete` once.
    read_progress feed(std::string& buffer);
    /// Status of the response after `failed`: 400, 413 or 431.
    int refusal() const;
    std::string refusal_reason() const;
    bool has_begun() const;
    bool expects_continue() const;
    /// Content length given by the head, or 0.
    std::size_t content_length() const;
    bool keep_alive() const;
    /// False for HTTP/1.0, which does not support chunked responses.
    bool supports_chunks() const;
    /// Returns the request after `complete`.
    http_request release();

  private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Parses one response and passes the body on as it arrives.
class http_response_reader {
  public:
    struct options {
        bool for_head_request = false;
        std::size_t max_body_bytes = 0;
        std::function<void(std::string_view)> on_body;
    };

    explicit http_response_reader(options options);
    ~http_response_reader();
    http_response_reader(const http_response_reader&) = delete;
    http_response_reader& operator=(const http_response_reader&) = delete;

    /// Consumes bytes from the front of `buffer`. Returns `head_complete` once.
    read_progress feed(std::string& buffer);
    /// Handles the end of the connection: the response is complete if its body extends to the end
    /// of the connection.
    read_progress end();
    /// Framing of the body. Valid after `head_complete`.
    body_framing framing() const;
    bool has_begun() const;
    bool body_too_large() const;
    std::string failure() const;
    int status() const;
    http_headers headers() const;
    bool keep_alive() const;
    /// Idle lifetime of the connection according to `Keep-Alive: timeout=SECONDS`.
    std::optional<base::milliseconds> idle_lifetime() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

struct response_head {
    int status = 200;
    const http_headers* headers = nullptr;
    body_framing framing = body_framing::length;
    std::size_t body_size = 0;
    bool keep_alive = true;
};

std::string format_response_head(const response_head& head);
/// Formats one chunk of a chunked body. `data` must not be empty.
std::string format_chunk(std::string_view data);
std::string_view last_chunk();
/// Formats the head of a request, including `Host` and `Content-Length`.
std::string format_request_head(const http_call& call);

/// Creates a response of type `application/problem+json`.
http_response problem_response(int status, std::string_view reason, std::string_view detail);

}  // namespace pearbarrow::net
