#include "pearbarrow/base/log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::base {
namespace {

/// Longest line that a pipe accepts atomically.
constexpr std::size_t max_line_bytes = 4'096;

/// Whether standard output accepts a line without blocking. Outputs that cannot be polled, such as
/// files, never block.
bool can_write_line() {
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    const int ready = ::poll(&output, 1, 0);
    return ready != 0;
}

/// Writes lines to standard output and drops them while it would block.
class output_sink final : public spdlog::sinks::base_sink<std::mutex> {
  protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        if (!can_write_line()) {
            ++dropped_;
            return;
        }
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (line.size() > max_line_bytes) {
            // A truncated line is not valid JSON, so a line that reports its size replaces it.
            line.clear();
            fmt::format_to(
                std::back_inserter(line),
                "{{\"level\":\"warning\",\"event\":\"log_line_too_long\",\"bytes\":{}}}\n",
                message.payload.size());
        }
        if (dropped_ > 0) {
            fmt::print(stdout,
                       "{{\"level\":\"warning\",\"event\":\"log_lines_dropped\",\"lines\":{}}}\n",
                       std::exchange(dropped_, 0));
        }
        std::fwrite(line.data(), 1, line.size(), stdout);
    }
    void flush_() override { std::fflush(stdout); }

  private:
    std::uint64_t dropped_ = 0;
};

struct logging_state {
    std::shared_ptr<spdlog::logger> logger;
    nlohmann::json common_fields = nlohmann::json::object();
};

logging_state& state() {
    static logging_state instance = [] {
        logging_state created;
        auto sink = std::make_shared<output_sink>();
        created.logger = std::make_shared<spdlog::logger>("pearbarrow", std::move(sink));
        created.logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v})",
                                    spdlog::pattern_time_type::utc);
        created.logger->flush_on(spdlog::level::debug);
        return created;
    }();
    return instance;
}

spdlog::level::level_enum to_spdlog(log_level level) {
    switch (level) {
        case log_level::debug:
            return spdlog::level::debug;
        case log_level::info:
            return spdlog::level::info;
        case log_level::warning:
            return spdlog::level::warn;
        case log_level::error:
            return spdlog::level::err;
    }
    return spdlog::level::info;
}

}  // namespace

void configure_logging(std::string_view min_level, nlohmann::json common_fields) {
    // The process continues without its log if the reader of standard output ends.
    std::signal(SIGPIPE, SIG_IGN);
    state().logger->set_level(spdlog::level::from_str(std::string(min_level)));
    state().common_fields = std::move(common_fields);
}

void log(log_level level, std::string_view event, nlohmann::json fields) {
    const auto spdlog_level = to_spdlog(level);
    if (!state().logger->should_log(spdlog_level)) {
        return;
    }
    nlohmann::json line = state().common_fields;
    line["event"] = event;
    line.update(fields);
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    state().logger->log(spdlog_level, std::string_view(text).substr(1, text.size() - 2));
}

nlohmann::json log_fields(const absl::Status& status) {
    const error_details details = details_of(status);
    return {{"error", status.ToString(absl::StatusToStringMode::kWithNoExtraData)},
            {"step", details.step},
            {"peer", details.peer},
            {"reason", details.reason}};
}

}  // namespace pearbarrow::base
