#include "pearbarrow/emulator/machine_list.h"

#include <utility>

namespace pearbarrow::emulator {

void to_json(nlohmann::json& json, const machine& value) {
    json = {{"node", value.node},
            {"address", value.address},
            {"zone", value.zone},
            {"state", value.state}};
}

void from_json(const nlohmann::json& json, machine& value) {
    json.at("node").get_to(value.node);
    value.address = json.value("address", "");
    value.zone = json.value("zone", "");
    value.state = json.value("state", "live");
}

void machine_list::put(machine item, base::instant now) {
    pending_.push_back({now + lag_, false, std::move(item)});
}

void machine_list::remove(const std::string& node, base::instant now) {
    pending_.push_back({now + lag_, true, {.node = node}});
}

std::vector<machine> machine_list::read(base::instant now) {
    while (!pending_.empty() && pending_.front().visible_at <= now) {
        change next = std::move(pending_.front());
        pending_.pop_front();
        if (next.removed) {
            visible_.erase(next.item.node);
        } else {
            visible_[next.item.node] = std::move(next.item);
        }
    }
    std::vector<machine> list;
    for (const auto& [node, item] : visible_) {
        list.push_back(item);
    }
    return list;
}

}  // namespace pearbarrow::emulator
