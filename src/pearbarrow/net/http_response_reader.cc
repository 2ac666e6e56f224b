#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/optional.hpp>

#include "pearbarrow/net/http_codec.h"

namespace pearbarrow::net {
namespace {

namespace http = boost::beast::http;
using error_code = boost::system::error_code;

constexpr std::uint32_t max_response_header_bytes = 64 * 1024;
/// The parser consumes the framing of a chunk (its size line, or the trailer) only as a whole.
/// Longer framing is malformed.
constexpr std::size_t max_framing_bytes = max_response_header_bytes;

constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr unsigned switching_protocols = 101;
constexpr unsigned min_final_status = 200;

/// Returns what is wrong with the head of a response; empty if nothing is. The parser accepts any
/// number of three digits, and takes those below 200 for interim responses.
template <typename Parser>
std::string_view problem_of_head(const Parser& parser) {
    const unsigned status = parser.get().result_int();
    if (status < min_status || status > max_status) {
        return "the status is not between 100 and 599";
    }
    if (status == switching_protocols) {
        return "the protocol is switched without a request to do so";
    }
    const auto& head = parser.get();
    const bool has_framing = head.count(http::field::content_length) > 0 ||
                             head.count(http::field::transfer_encoding) > 0;
    if (status < min_final_status && has_framing) {
        return "an interim response announces a body";
    }
    return {};
}

/// A Beast body type that passes data on instead of storing it. Beast prescribes the names.
struct forwarded_body {
    using value_type = std::function<void(std::string_view)>;

    class reader {
      public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields>& /*header*/, value_type& receiver)
            : receiver_(receiver) {}

        void init(const boost::optional<std::uint64_t>& /*length*/, error_code& error) {
            error = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, error_code& error) {
            error = {};
            std::size_t total = 0;
            const auto end = boost::asio::buffer_sequence_end(buffers);
            for (auto part = boost::asio::buffer_sequence_begin(buffers); part != end; ++part) {
                const boost::asio::const_buffer buffer = *part;
                total += buffer.size();
                if (buffer.size() > 0 && receiver_) {
                    receiver_({static_cast<const char*>(buffer.data()), buffer.size()});
                }
            }
            return total;
        }

        void finish(error_code& error) { error = {}; }

      private:
        value_type& receiver_;
    };
};

}  // namespace

struct http_response_reader::state {
    http::response_parser<forwarded_body> parser;
    error_code error;
    bool has_input = false;
    bool head_reported = false;
    bool has_body = true;
    bool has_long_framing = false;
    /// What is wrong with the head; empty if nothing is.
    std::string_view head_problem;
};

http_response_reader::http_response_reader(options options) : state_(std::make_unique<state>()) {
    auto& parser = state_->parser;
    parser.header_limit(max_response_header_bytes);
    parser.body_limit(options.max_body_bytes);
    parser.skip(options.for_head_request);
    parser.get().body() = std::move(options.on_body);
}

http_response_reader::~http_response_reader() = default;

read_progress http_response_reader::feed(std::string& buffer) {
    auto& parser = state_->parser;
    std::size_t consumed = 0;
    read_progress progress = read_progress::need_more;
    while (consumed < buffer.size() || parser.is_done()) {
        if (parser.is_done()) {
            progress = read_progress::complete;
            break;
        }
        state_->has_input = true;
        consumed += parser.put(boost::asio::buffer(buffer) + consumed, state_->error);
        if (state_->error == http::error::need_more) {
            state_->error = {};
            break;
        }
        if (state_->error) {
            progress = read_progress::failed;
            break;
        }
        if (parser.is_header_done() && !std::exchange(state_->head_reported, true)) {
            state_->head_problem = problem_of_head(parser);
            if (!state_->head_problem.empty()) {
                progress = read_progress::failed;
                break;
            }
            parser.eager(true);
            state_->has_body = !parser.is_done();
            progress = read_progress::head_complete;
            break;
        }
    }
    buffer.erase(0, consumed);
    if (progress == read_progress::need_more && buffer.size() > max_framing_bytes) {
        state_->has_long_framing = true;
        return read_progress::failed;
    }
    return progress;
}

read_progress http_response_reader::end() {
    if (!state_->parser.is_header_done() || !state_->head_problem.empty()) {
        return read_progress::failed;
    }
    state_->parser.put_eof(state_->error);
    return state_->error ? read_progress::failed : read_progress::complete;
}

body_framing http_response_reader::framing() const {
    const auto& parser = state_->parser;
    if (!parser.is_header_done() || !state_->has_body) {
        return body_framing::none;
    }
    if (parser.chunked()) {
        return body_framing::chunks;
    }
    return parser.content_length().has_value() ? body_framing::length : body_framing::until_close;
}

bool http_response_reader::has_begun() const {
    return state_->has_input;
}

bool http_response_reader::body_too_large() const {
    return state_->error == http::error::body_limit;
}

std::string http_response_reader::failure() const {
    if (state_->has_long_framing) {
        return "a chunk size or trailer is too long";
    }
    if (!state_->head_problem.empty()) {
        return std::string(state_->head_problem);
    }
    return state_->error ? state_->error.message() : "the answer is not whole";
}

int http_response_reader::status() const {
    return static_cast<int>(state_->parser.get().result_int());
}

http_headers http_response_reader::headers() const {
    http_headers result;
    for (const auto& field : state_->parser.get()) {
        result.add(std::string(field.name_string().data(), field.name_string().size()),
                   std::string(field.value().data(), field.value().size()));
    }
    return result;
}

bool http_response_reader::keep_alive() const {
    return state_->parser.keep_alive();
}

std::optional<base::milliseconds> http_response_reader::idle_lifetime() const {
    const auto value = state_->parser.get()[http::field::keep_alive];
    // The list refers to the text, and separates its parameters by semicolons.
    std::string text = ";" + std::string(value);
    std::replace(text.begin(), text.end(), ',', ';');
    for (const auto& parameter : http::param_list(text)) {
        if (!boost::beast::iequals(parameter.first, "timeout")) {
            continue;
        }
        std::uint32_t seconds = 0;
        const auto number = parameter.second;
        const auto result = std::from_chars(number.data(), number.data() + number.size(), seconds);
        if (result.ec == std::errc{}) {
            return base::milliseconds{std::int64_t{seconds} * 1000};
        }
    }
    return std::nullopt;
}

}  // namespace pearbarrow::net
