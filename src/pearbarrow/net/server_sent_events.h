/// Server-sent events (WHATWG HTML, section 9.2): formatting and incremental parsing.
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

/// The event's text, ending with an empty line. Newlines in `data` become several data lines.
std::string format_event(const server_sent_event& event);

/// Longest event kept while it is parsed.
inline constexpr std::size_t max_event_bytes = std::size_t{16} * 1024 * 1024;

/// Feeds bytes in any division and calls back for each whole event.
class server_sent_event_parser {
  public:
    explicit server_sent_event_parser(std::function<void(server_sent_event)> on_event);
    void feed(std::string_view bytes);
    /// True once an event or a line longer than `max_event_bytes` was dropped.
    bool overflowed() const { return overflowed_; }

  private:
    void keep_partial_line(std::string_view part);
    void finish_line(std::string_view line);
    void take_line(std::string_view line);
    void drop_event();

    std::function<void(server_sent_event)> on_event_;
    std::string buffer_;
    server_sent_event current_;
    bool has_data_ = false;
    bool after_carriage_return_ = false;
    bool overflowed_ = false;
};

}  // namespace pearbarrow::net
