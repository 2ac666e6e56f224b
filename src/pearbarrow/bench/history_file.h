/// The file into which a load run writes its history.
#pragma once

#include <fstream>
#include <string>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace pearbarrow::bench {

/// Writes one JSON object a line; without an opened file it writes nothing.
class history_file {
  public:
    /// kInvalidArgument, with the path as peer, when the file cannot be opened for appending.
    absl::Status open(const std::string& path);
    void write(const nlohmann::json& record);

  private:
    std::ofstream file_;
};

}  // namespace pearbarrow::bench
