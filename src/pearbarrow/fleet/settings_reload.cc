#include "pearbarrow/fleet/settings_reload.h"

#include <utility>

#include "pearbarrow/base/log.h"

namespace pearbarrow::fleet {
namespace {

// Detects changes of the file without a signal.
constexpr base::milliseconds poll_interval{5'000};

std::filesystem::file_time_type modified_at(const std::string& file) {
    std::error_code ignored;
    return std::filesystem::last_write_time(file, ignored);
}

}  // namespace

settings_difference compare(const settings::fleet_settings& current,
                            const settings::fleet_settings& next) {
    settings_difference difference;
    const auto add_if = [](std::vector<std::string>& list, bool differs, const char* field) {
        if (differs) {
            list.emplace_back(field);
        }
    };
    add_if(difference.applied, current.seeds != next.seeds, "seeds");
    add_if(difference.applied, current.directory_service != next.directory_service,
           "directory_service");
    add_if(difference.applied, current.suspects.released != next.suspects.released,
           "suspects.released");
    add_if(difference.need_restart, current.suspects.max_ends != next.suspects.max_ends,
           "suspects.max_ends");
    add_if(difference.need_restart, current.suspects.block_time != next.suspects.block_time,
           "suspects.block_time_ms");
    add_if(difference.need_restart, current.role != next.role, "role");
    add_if(difference.need_restart, current.node != next.node, "node");
    add_if(difference.need_restart, current.zone != next.zone, "zone");
    add_if(difference.need_restart, current.memory_mb != next.memory_mb, "memory_mb");
    add_if(difference.need_restart, current.log_level != next.log_level, "log_level");
    add_if(difference.need_restart, current.caller != next.caller, "listen.caller");
    add_if(difference.need_restart, current.ready != next.ready, "listen.ready");
    add_if(difference.need_restart, current.peer != next.peer, "listen.peer");
    add_if(difference.need_restart, current.metrics != next.metrics, "listen.metrics");
    add_if(difference.need_restart, current.data_folder != next.data_folder, "data_folder");
    add_if(difference.need_restart, current.stop_timeout != next.stop_timeout, "stop_timeout");
    return difference;
}

settings_reload::settings_reload(net::event_loop& loop, std::string file,
                                 settings::fleet_settings current, apply_handler apply)
    : file(std::move(file)),
      current(std::move(current)),
      apply(std::move(apply)),
      read_at(modified_at(this->file)),
      timer(loop.every(poll_interval, [this] { this->poll(); })) {}

void settings_reload::poll() {
    if (modified_at(this->file) != this->read_at) {
        this->reload();
    }
}

void settings_reload::reload() {
    this->read_at = modified_at(this->file);
    const settings::fleet_settings_result next = settings::check_fleet_file(this->file);
    if (!next.problems.empty()) {
        std::vector<std::string> problems;
        for (const settings::settings_problem& problem : next.problems) {
            problems.push_back(settings::to_string(problem, this->file));
        }
        base::log(base::log_level::error, "settings_rejected", {{"problems", problems}});
        return;
    }
    const settings_difference difference = compare(this->current, next.settings);
    base::log(base::log_level::info, "settings_reloaded",
              {{"taken", difference.applied}, {"need_restart", difference.need_restart}});
    this->current.seeds = next.settings.seeds;
    this->current.directory_service = next.settings.directory_service;
    this->current.suspects.released = next.settings.suspects.released;
    if (!difference.applied.empty()) {
        this->apply(this->current);
    }
}

}  // namespace pearbarrow::fleet
