/// The platform's list of machines, as it was some time ago. Pure.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::emulator {

struct machine {
    std::string node;
    std::string address;
    std::string zone;
    /// "live" or "leaving".
    std::string state = "live";
};

void to_json(nlohmann::json& json, const machine& value);
void from_json(const nlohmann::json& json, machine& value);

class machine_list {
  public:
    explicit machine_list(base::milliseconds lag) : lag_(lag) {}

    /// Visible at once.
    void seed(machine item) { visible_[item.node] = std::move(item); }
    /// Adds or replaces a machine; visible after the lag.
    void put(machine item, base::instant now);
    /// Takes a machine off the list; visible after the lag.
    void remove(const std::string& node, base::instant now);
    /// The list as readers see it now, by name.
    std::vector<machine> read(base::instant now);
    void set_lag(base::milliseconds lag) { lag_ = lag; }

  private:
    struct change {
        base::instant visible_at;
        bool removed = false;
        machine item;
    };

    base::milliseconds lag_;
    std::deque<change> pending_;
    std::map<std::string, machine> visible_;
};

}  // namespace pearbarrow::emulator
