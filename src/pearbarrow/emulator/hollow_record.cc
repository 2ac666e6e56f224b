#include "pearbarrow/emulator/hollow_record.h"

#include <algorithm>

namespace pearbarrow::emulator {

namespace {

nlohmann::json summary_of(const std::map<base::node_id, std::int64_t>& observers) {
    std::int64_t last = 0;
    for (const auto& [observer, time] : observers) {
        last = std::max(last, time);
    }
    return {{"nodes", observers.size()}, {"last", last}};
}

}  // namespace

void hollow_record::installed(const base::node_id& observer, base::config_version version,
                              std::int64_t unix_microseconds) {
    versions_[version].emplace(observer, unix_microseconds);
    if (versions_.size() > kept_versions) {
        versions_.erase(versions_.begin());
    }
}

void hollow_record::departed(const base::node_id& observer, const base::node_id& subject,
                             std::int64_t unix_microseconds) {
    if (departures_.size() < kept_departures || departures_.contains(subject)) {
        departures_[subject].emplace(observer, unix_microseconds);
    }
}

void hollow_record::returned(const base::node_id& observer, const base::node_id& subject) {
    const auto found = departures_.find(subject);
    if (found == departures_.end()) {
        return;
    }
    found->second.erase(observer);
    if (found->second.empty()) {
        departures_.erase(found);
    }
}

void hollow_record::forget_observer(const base::node_id& observer) {
    for (auto& [version, observers] : versions_) {
        observers.erase(observer);
    }
    for (auto& [subject, observers] : departures_) {
        observers.erase(observer);
    }
}

nlohmann::json hollow_record::to_json() const {
    nlohmann::json versions = nlohmann::json::object();
    for (const auto& [version, observers] : versions_) {
        versions[std::to_string(version.value())] = summary_of(observers);
    }
    nlohmann::json departures = nlohmann::json::object();
    for (const auto& [subject, observers] : departures_) {
        departures[subject.value()] = summary_of(observers);
    }
    return {{"versions", std::move(versions)}, {"departures", std::move(departures)}};
}

std::vector<base::node_id> missing_ids(const std::vector<membership::member>& before,
                                       const std::vector<membership::member>& after) {
    std::vector<base::node_id> missing;
    auto next = after.begin();
    for (const membership::member& member : before) {
        while (next != after.end() && next->id < member.id) {
            ++next;
        }
        if (next == after.end() || next->id != member.id) {
            missing.push_back(member.id);
        }
    }
    return missing;
}

}  // namespace pearbarrow::emulator
