/// The history of one request, put together from the logs of several nodes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace pearbarrow::operators {

/// One log line, with what its order depends on.
struct trace_line {
    /// As logged: UTC, sorts as text.
    std::string time;
    std::string node;
    std::string event;
    nlohmann::json fields;
    /// The line is about the request itself or one that resumes its stream, not about what its
    /// nodes went through meanwhile.
    bool of_request = false;
    /// Identifies the content of the request, which all tries of a caller share; empty if the line
    /// does not state it.
    std::string fingerprint;
};

struct request_trace {
    std::string request;
    /// In the order of time.
    std::vector<trace_line> lines;
    /// Index of the line that decided the outcome; none when all went well.
    std::optional<std::size_t> deciding;
};

/// Collects the lines about `request`, about requests that resume its stream, and about other tries
/// with its content, from logs of any nodes, and what the nodes that served it noted within a
/// second around it (lost and regained dependencies, changes, starts and stops). Text before a
/// line's first brace, as log collectors add it, is ignored; so are other lines.
class trace_collector {
  public:
    explicit trace_collector(std::string request) : request_(std::move(request)) {}

    void add_line(std::string_view line);
    request_trace finish() const;

  private:
    std::string request_;
    std::vector<trace_line> of_request_;
    std::vector<trace_line> of_nodes_;
    /// Lines that state the content of other requests.
    std::vector<trace_line> of_contents_;
};

/// The step of the request that took the longest.
struct costliest_step {
    std::string name;
    std::int64_t milliseconds = 0;
    /// Of the whole request.
    std::int64_t of_milliseconds = 0;
};

/// None when the request's end was not logged with its steps.
std::optional<costliest_step> find_costliest_step(const request_trace& trace);

/// Returns how the last response of a back end was framed, how its connection ended, and why it
/// counts as whole or broken off. None if no back end has sent the head of a response.
std::optional<std::string> response_end_text(const request_trace& trace);

/// Returns which back ends ended under the tries of the request, by what evidence, and whether it
/// was refused for them. None if no end is known.
std::optional<std::string> ends_text(const request_trace& trace);

/// The trace for a person, one line each; the deciding one begins with "=>". The costliest step
/// stands last.
std::string trace_text(const request_trace& trace);

}  // namespace pearbarrow::operators
