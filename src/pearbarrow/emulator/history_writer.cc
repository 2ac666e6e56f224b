#include "pearbarrow/emulator/history_writer.h"

#include "pearbarrow/base/status.h"

namespace pearbarrow::emulator {

absl::Status history_writer::open(const std::string& path) {
    file_.open(path, std::ios::app);
    if (!file_) {
        return base::make_error(
            absl::StatusCode::kInvalidArgument, "cannot open the history file",
            {.step = "open_history", .peer = path, .reason = "file_not_writable"});
    }
    return absl::OkStatus();
}

void history_writer::write(const nlohmann::json& line) {
    if (file_.is_open()) {
        file_ << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
    }
}

}  // namespace pearbarrow::emulator
