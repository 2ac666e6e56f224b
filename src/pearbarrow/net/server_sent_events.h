/// Formatting and incremental parsing of server-sent events (WHATWG HTML, section 9.2).
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace pearbarrow::net {

struct server_sent_event {
    std::string id;
    std::string event;
    std::string data;
};

/// Formats the event with a final empty line. Newlines in `data` split it into several data lines.
std::string format_event(const server_sent_event& event);

/// Whether the value of a `Content-Type` header stands for server-sent events.
bool is_event_stream(std::string_view content_type);

/// Limit for the size of an event while it is parsed.
inline constexpr std::size_t max_event_bytes = std::size_t{16} * 1024 * 1024;

/// Parses bytes that arrive in pieces of any size and reports each complete event.
class server_sent_event_parser {
  public:
    explicit server_sent_event_parser(std::function<void(server_sent_event)> on_event);
    void feed(std::string_view bytes);
    /// Whether an event or a line longer than `max_event_bytes` was dropped.
    bool overflowed() const { return overflowed_; }
    /// Whether the bytes received so far end inside an event: in a line, after a field or comment
    /// line but before the empty line that ends the event, or in the middle of a CRLF.
    bool is_inside_event() const {
        return is_line_open_ || is_event_open_ || (after_carriage_return_ && uses_crlf_);
    }

  private:
    void keep_partial_line(std::string_view part);
    void finish_line(std::string_view line);
    void process_line(std::string_view line);
    void finish_event();
    void add_field(std::string_view line);
    void drop_event();

    std::function<void(server_sent_event)> on_event_;
    std::string buffer_;
    server_sent_event current_;
    bool has_data_ = false;
    /// Whether bytes have arrived since the last line end.
    bool is_line_open_ = false;
    /// Whether a line has arrived since the last empty line.
    bool is_event_open_ = false;
    /// Whether the current event is too long. Its remaining lines are ignored.
    bool is_dropping_ = false;
    bool after_carriage_return_ = false;
    /// Whether a line of the stream has ended with CRLF.
    bool uses_crlf_ = false;
    bool overflowed_ = false;
};

}  // namespace pearbarrow::net
