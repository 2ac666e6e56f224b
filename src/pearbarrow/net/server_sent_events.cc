#include "pearbarrow/net/server_sent_events.h"

#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace pearbarrow::net {
namespace {

void append_field(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).push_back('\n');
}

}  // namespace

std::string format_event(const server_sent_event& event) {
    std::string out;
    out.reserve(event.id.size() + event.event.size() + event.data.size() + 32);
    if (!event.id.empty()) {
        append_field(out, "id", event.id);
    }
    if (!event.event.empty()) {
        append_field(out, "event", event.event);
    }
    std::string_view rest = event.data;
    for (;;) {
        const auto newline = rest.find('\n');
        append_field(out, "data", rest.substr(0, newline));
        if (newline == std::string_view::npos) {
            break;
        }
        rest.remove_prefix(newline + 1);
    }
    out.push_back('\n');
    return out;
}

bool is_event_stream(std::string_view content_type) {
    const std::string_view type = content_type.substr(0, content_type.find(';'));
    return absl::EqualsIgnoreCase(
        absl::StripAsciiWhitespace(absl::string_view(type.data(), type.size())),
        "text/event-stream");
}

server_sent_event_parser::server_sent_event_parser(std::function<void(server_sent_event)> on_event)
    : on_event_(std::move(on_event)) {}

void server_sent_event_parser::feed(std::string_view bytes) {
    while (!bytes.empty()) {
        if (after_carriage_return_ && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            uses_crlf_ = true;
        }
        after_carriage_return_ = false;
        const auto end = bytes.find_first_of("\r\n");
        const std::string_view line = bytes.substr(0, end);
        if (end == std::string_view::npos) {
            keep_partial_line(line);
            return;
        }
        after_carriage_return_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        finish_line(line);
    }
}

void server_sent_event_parser::keep_partial_line(std::string_view part) {
    is_line_open_ = is_line_open_ || !part.empty();
    if (is_dropping_) {
        return;
    }
    if (buffer_.size() + part.size() > max_event_bytes) {
        drop_event();
        return;
    }
    buffer_.append(part);
}

void server_sent_event_parser::finish_line(std::string_view line) {
    const bool is_empty = line.empty() && !is_line_open_;
    is_line_open_ = false;
    if (is_empty) {
        finish_event();
        return;
    }
    if (is_dropping_) {
        return;
    }
    if (buffer_.empty()) {
        process_line(line);
        return;
    }
    buffer_.append(line);
    const std::string whole = std::exchange(buffer_, {});
    process_line(whole);
}

void server_sent_event_parser::drop_event() {
    overflowed_ = true;
    is_dropping_ = true;
    is_event_open_ = true;
    buffer_.clear();
    current_ = {};
    has_data_ = false;
}

void server_sent_event_parser::finish_event() {
    is_event_open_ = false;
    is_dropping_ = false;
    server_sent_event event = std::exchange(current_, {});
    if (std::exchange(has_data_, false)) {
        on_event_(std::move(event));
    }
}

void server_sent_event_parser::process_line(std::string_view line) {
    is_event_open_ = true;
    const bool is_comment = line.front() == ':';
    if (!is_comment) {
        add_field(line);
    }
}

void server_sent_event_parser::add_field(std::string_view line) {
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (name == "data") {
        if (current_.data.size() + value.size() > max_event_bytes) {
            drop_event();
            return;
        }
        if (std::exchange(has_data_, true)) {
            current_.data.push_back('\n');
        }
        current_.data.append(value);
    } else if (name == "id") {
        current_.id = std::string(value);
    } else if (name == "event") {
        current_.event = std::string(value);
    }
}

}  // namespace pearbarrow::net
