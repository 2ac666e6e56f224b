#include "pearbarrow/net/http_codec.h"

#include <stdexcept>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

namespace pearbarrow::net {
namespace {

namespace http = boost::beast::http;
using error_code = boost::system::error_code;

std::string to_std(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

boost::beast::string_view to_beast(std::string_view text) {
    return {text.data(), text.size()};
}

template <typename Buffers>
void append_buffers(std::string& out, const Buffers& buffers) {
    const auto end = boost::asio::buffer_sequence_end(buffers);
    for (auto part = boost::asio::buffer_sequence_begin(buffers); part != end; ++part) {
        const boost::asio::const_buffer buffer = *part;
        out.append(static_cast<const char*>(buffer.data()), buffer.size());
    }
}

template <bool IsRequest>
std::string head_text(http::message<IsRequest, http::empty_body>& message) {
    std::string out;
    http::serializer<IsRequest, http::empty_body> serializer(message);
    serializer.split(true);
    error_code error;
    while (!serializer.is_header_done() && !error) {
        std::size_t consumed = 0;
        serializer.next(error, [&](error_code& /*error*/, const auto& buffers) {
            append_buffers(out, buffers);
            consumed = boost::asio::buffer_size(buffers);
        });
        serializer.consume(consumed);
    }
    return out;
}

/// Whether the header contains no line break or null byte, which could inject further lines. Other
/// headers are not sent.
bool is_safe_header(const http_header& header) {
    const auto breaks = [](const std::string& text) {
        return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
    };
    return !header.name.empty() && !breaks(header.name) && !breaks(header.value);
}

template <typename Message>
void add_headers(Message& message, const http_headers& headers) {
    for (const http_header& header : headers.all()) {
        if (is_safe_header(header)) {
            message.insert(to_beast(header.name), to_beast(header.value));
        }
    }
}

}  // namespace

struct http_request_reader::state {
    /// Beast throws if a field does not fit its storage of 64 KiB, whatever the header limit is.
    std::size_t put(const boost::asio::const_buffer& bytes) {
        try {
            return parser.put(bytes, error);
        } catch (const std::length_error&) {
            error = http::error::header_limit;
            return 0;
        }
    }

    http::request_parser<http::string_body> parser;
    /// The parser consumes the framing of a chunk (its size line, or the trailer) only as a whole.
    std::size_t max_framing_bytes = 0;
    error_code error;
    bool has_input = false;
    bool head_reported = false;
};

http_request_reader::http_request_reader(std::size_t max_header_bytes, std::size_t max_body_bytes)
    : state_(std::make_unique<state>()) {
    state_->parser.header_limit(static_cast<std::uint32_t>(max_header_bytes));
    state_->parser.body_limit(max_body_bytes);
    state_->max_framing_bytes = max_header_bytes;
}

http_request_reader::~http_request_reader() = default;

read_progress http_request_reader::feed(std::string& buffer) {
    auto& parser = state_->parser;
    std::size_t consumed = 0;
    read_progress progress = read_progress::need_more;
    while (consumed < buffer.size() || parser.is_done()) {
        if (parser.is_done()) {
            progress = read_progress::complete;
            break;
        }
        state_->has_input = true;
        consumed += state_->put(boost::asio::buffer(buffer) + consumed);
        if (state_->error == http::error::need_more) {
            state_->error = {};
            break;
        }
        if (state_->error) {
            progress = read_progress::failed;
            break;
        }
        if (parser.is_header_done() && !std::exchange(state_->head_reported, true)) {
            parser.eager(true);
            progress = read_progress::head_complete;
            break;
        }
    }
    buffer.erase(0, consumed);
    if (progress == read_progress::need_more && buffer.size() > state_->max_framing_bytes) {
        state_->error = http::error::header_limit;
        return read_progress::failed;
    }
    return progress;
}

int http_request_reader::refusal() const {
    if (state_->error == http::error::header_limit) {
        return 431;
    }
    return state_->error == http::error::body_limit ? 413 : 400;
}

std::string http_request_reader::refusal_reason() const {
    switch (refusal()) {
        case 431:
            return "header_too_large";
        case 413:
            return "body_too_large";
        default:
            return "malformed_request";
    }
}

bool http_request_reader::has_begun() const {
    return state_->has_input;
}

std::size_t http_request_reader::content_length() const {
    return static_cast<std::size_t>(state_->parser.content_length().value_or(0));
}

bool http_request_reader::expects_continue() const {
    return boost::beast::iequals(state_->parser.get()[http::field::expect], "100-continue");
}

bool http_request_reader::keep_alive() const {
    return state_->parser.keep_alive();
}

bool http_request_reader::supports_chunks() const {
    return state_->parser.get().version() >= 11;
}

http_request http_request_reader::release() {
    auto message = state_->parser.release();
    http_request request;
    request.method = to_std(message.method_string());
    request.target = to_std(message.target());
    for (const auto& field : message) {
        request.headers.add(to_std(field.name_string()), to_std(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

std::string format_response_head(const response_head& head) {
    http::response<http::empty_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(head.status));
    add_headers(message, *head.headers);
    switch (head.framing) {
        case body_framing::length:
            if (head.status != 204 && head.status >= 200) {
                message.content_length(head.body_size);
            }
            break;
        case body_framing::chunks:
            message.chunked(true);
            break;
        case body_framing::until_close:
        case body_framing::none:
            break;
    }
    message.keep_alive(head.keep_alive);
    return head_text(message);
}

std::string format_chunk(std::string_view data) {
    std::string out;
    out.reserve(data.size() + 24);
    append_buffers(out, http::make_chunk(boost::asio::buffer(data.data(), data.size())));
    return out;
}

std::string_view last_chunk() {
    return "0\r\n\r\n";
}

std::string format_request_head(const http_call& call) {
    http::request<http::empty_body> message;
    message.version(11);
    message.method_string(to_beast(call.method));
    message.target(to_beast(call.target));
    if (!call.headers.find("Host").has_value()) {
        message.set(http::field::host, to_string(call.server));
    }
    add_headers(message, call.headers);
    if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD")) {
        message.content_length(call.body.size());
    }
    return head_text(message);
}

http_response problem_response(int status, std::string_view reason, std::string_view detail) {
    const auto title = http::obsolete_reason(static_cast<http::status>(status));
    const nlohmann::json body = {{"type", "about:blank"}, {"title", to_std(title)},
                                 {"status", status},      {"reason", reason},
                                 {"detail", detail},      {"executed", "no"}};
    return {.status = status,
            .headers = {{"Content-Type", "application/problem+json"}},
            .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace pearbarrow::net
