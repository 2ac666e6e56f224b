#include "pearbarrow/bench/history_file.h"

#include "pearbarrow/base/status.h"

namespace pearbarrow::bench {

absl::Status history_file::open(const std::string& path) {
    file_.open(path, std::ios::app);
    if (!file_) {
        return base::make_error(
            absl::StatusCode::kInvalidArgument, "cannot open the history file",
            {.step = "open_history", .peer = path, .reason = "file_not_writable"});
    }
    return absl::OkStatus();
}

void history_file::write(const nlohmann::json& record) {
    if (file_.is_open()) {
        file_ << record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
    }
}

}  // namespace pearbarrow::bench
