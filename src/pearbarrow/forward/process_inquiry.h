/// Asks the process at the address of a back end when it started.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/forward/header_names.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::forward {

struct process_inquiry_options {
    /// Path at which back ends report on themselves; empty if they do not.
    std::string path;
    /// Top-level field of the report with the start time, in Unix milliseconds.
    std::string start_time_field;
    base::milliseconds timeout{300};
};

enum class process_statement {
    /// The process states the start time of the directory entry.
    same,
    /// Another process responded.
    other,
    /// The process states no start time, or there was no response.
    none,
};

std::string_view to_string(process_statement statement);

class process_inquiry {
  public:
    process_inquiry(net::http_client& client, header_names headers, process_inquiry_options options)
        : client(client), headers(std::move(headers)), options(std::move(options)) {}

    /// Asks on a new connection. `done` runs once, never inside this call, unless the handle is
    /// destroyed first. Returns null if the back end cannot be asked.
    [[nodiscard]] std::unique_ptr<net::http_call_handle> ask(
        const directory::backend& target, std::function<void(process_statement)> done);

  private:
    net::http_client& client;
    header_names headers;
    process_inquiry_options options;
    std::uint64_t questions = 0;
};

}  // namespace pearbarrow::forward
