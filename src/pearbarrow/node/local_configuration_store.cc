#include "pearbarrow/node/local_configuration_store.h"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::node {

namespace {

absl::Status storage_error(const std::string& file, const std::string& what) {
    return base::make_error(absl::StatusCode::kUnavailable, what,
                            {.step = "config_log",
                             .peer = file,
                             .reason = "config_store_unavailable",
                             .was_executed = base::executed::unknown});
}

}  // namespace

local_configuration_store::local_configuration_store(node_context& context, std::string file)
    : context_(context), file_(std::move(file)) {}

absl::Status local_configuration_store::open() {
    std::ifstream input(file_, std::ios::binary);
    std::string line;
    std::uintmax_t good_bytes = 0;
    while (std::getline(input, line)) {
        const bool unfinished = input.eof();
        const auto change = config::decode_change(line);
        if (unfinished) {
            break;
        }
        const base::config_version version(entries_.size() + 1);
        if (!change.ok() || change->base_version.value() + 1 != version.value()) {
            return base::make_error(
                absl::StatusCode::kDataLoss,
                "line " + std::to_string(version.value()) +
                    " of the configuration log can't be read",
                {.step = "config_log", .peer = file_, .reason = "config_log_corrupt"});
        }
        entries_.push_back({version, *change});
        good_bytes += line.size() + 1;
    }
    input.close();
    std::error_code error;
    if (std::filesystem::exists(file_, error)) {
        std::filesystem::resize_file(file_, good_bytes, error);
    }
    return error ? storage_error(file_, error.message()) : absl::OkStatus();
}

absl::Status local_configuration_store::append(const std::string& line) {
    std::FILE* output = std::fopen(file_.c_str(), "ab");
    if (output == nullptr) {
        return storage_error(file_, "cannot open the configuration log");
    }
    const bool written = std::fwrite(line.data(), 1, line.size(), output) == line.size() &&
                         std::fflush(output) == 0 && ::fsync(::fileno(output)) == 0;
    const bool closed = std::fclose(output) == 0;
    return written && closed ? absl::OkStatus()
                             : storage_error(file_, "cannot write the configuration log");
}

void local_configuration_store::carry_out(const config::create_entry& action) {
    absl::Status status;
    if (action.version.value() != entries_.size() + 1) {
        status = absl::AlreadyExistsError("another change has this version");
    } else {
        status = append(config::encode_change(action.content) + "\n");
    }
    if (status.ok()) {
        entries_.push_back({action.version, action.content});
    }
    emit(config::entry_created{action.request, status});
}

void local_configuration_store::carry_out(const config::read_log& action) {
    config::log_read event;
    event.request = action.request;
    for (const config::log_entry& entry : entries_) {
        if (entry.version > action.after) {
            event.entries.push_back(entry);
        }
    }
    event.revision = static_cast<std::int64_t>(entries_.size());
    emit(std::move(event));
}

void local_configuration_store::carry_out(const config::write_snapshot& action) {
    emit(config::snapshot_written{action.request, absl::OkStatus()});
}

void local_configuration_store::emit(config::log_event event) {
    context_.loop.post([this, event = std::move(event), alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            sink_(event);
        }
    });
}

}  // namespace pearbarrow::node
