/// Takes changes of a node's settings file while the node runs.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/settings/fleet_settings.h"

namespace pearbarrow::fleet {

/// Fields that differ, by what a running node can do about them.
struct settings_difference {
    std::vector<std::string> taken;
    std::vector<std::string> need_restart;
};

settings_difference compare(const settings::fleet_settings& current,
                            const settings::fleet_settings& next);

/// Invariant: a file with a mistake changes nothing.
class settings_reload {
  public:
    using apply_handler = std::function<void(const settings::fleet_settings&)>;

    settings_reload(net::event_loop& loop, std::string file, settings::fleet_settings current,
                    apply_handler apply);

    /// Reads the file now, and tells in the log what came of it.
    void reload();

  private:
    void look();

    std::string file;
    settings::fleet_settings current;
    apply_handler apply;
    std::filesystem::file_time_type read_at;
    std::unique_ptr<net::timer_handle> timer;
};

}  // namespace pearbarrow::fleet
