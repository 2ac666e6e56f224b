/// Histories for the offline checker: JSON lines in a file.
#pragma once

#include <fstream>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace pearbarrow::emulator {

/// Appends one JSON object a line, each flushed before `write` returns. Without a path it writes
/// nothing.
class history_writer {
  public:
    history_writer() = default;
    /// Opens `path` for appending. Fails with the path as peer.
    absl::Status open(const std::string& path);
    void write(const nlohmann::json& line);

  private:
    std::ofstream file_;
};

}  // namespace pearbarrow::emulator
