#include "pearbarrow/directory/route_table.h"

#include <algorithm>
#include <cctype>

namespace pearbarrow::directory {
namespace {

std::string normalized_host(std::string_view host) {
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

bool begins_with(std::string_view text, std::string_view prefix) {
    return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

route_table::route_table(const std::vector<route>& routes) {
    for (const route& entry : routes) {
        by_host_[normalized_host(entry.host)].push_back(entry);
    }
    for (auto& [host, list] : by_host_) {
        std::stable_sort(list.begin(), list.end(), [](const route& left, const route& right) {
            return left.path_prefix.size() > right.path_prefix.size();
        });
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const auto found = by_host_.find(normalized_host(host));
    if (found == by_host_.end()) {
        return nullptr;
    }
    for (const route& candidate : found->second) {
        if (begins_with(path, candidate.path_prefix)) {
            return &candidate;
        }
    }
    return nullptr;
}

}  // namespace pearbarrow::directory
