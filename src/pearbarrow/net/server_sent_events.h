/// Server-sent events (WHATWG HTML, section 9.2): formatting and incremental parsing.
#pragma once

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

/// Feeds bytes in any division and calls back for each whole event.
class server_sent_event_parser {
  public:
    explicit server_sent_event_parser(std::function<void(server_sent_event)> on_event);
    void feed(std::string_view bytes);

  private:
    void take_line(std::string_view line);

    std::function<void(server_sent_event)> on_event_;
    std::string buffer_;
    server_sent_event current_;
    bool has_data_ = false;
};

}  // namespace pearbarrow::net
