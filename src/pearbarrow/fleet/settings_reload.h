/// Applies changes of a node's settings file at run time.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/settings/fleet_settings.h"

namespace pearbarrow::fleet {

/// Names of changed fields, by whether a running node can apply them.
struct settings_difference {
    std::vector<std::string> applied;
    std::vector<std::string> need_restart;
};

settings_difference compare(const settings::fleet_settings& current,
                            const settings::fleet_settings& next);

/// Invariant: an invalid file changes no setting.
class settings_reload {
  public:
    using apply_handler = std::function<void(const settings::fleet_settings&)>;

    settings_reload(net::event_loop& loop, std::string file, settings::fleet_settings current,
                    apply_handler apply);

    /// Reads the file and logs the result.
    void reload();

  private:
    void poll();

    std::string file;
    settings::fleet_settings current;
    apply_handler apply;
    std::filesystem::file_time_type read_at;
    std::unique_ptr<net::timer_handle> timer;
};

}  // namespace pearbarrow::fleet
