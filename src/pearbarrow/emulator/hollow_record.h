/// What the hollow nodes of a process learned, and when: times of configurations and of deaths.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/membership/member.h"

namespace pearbarrow::emulator {

/// Keeps the newest versions and departures only, so that its memory is bounded. Times are
/// microseconds since the Unix epoch, to be compared with those of other processes of the machine.
class hollow_record {
  public:
    static constexpr std::size_t kept_versions = 64;
    static constexpr std::size_t kept_departures = 512;

    /// The configuration `version` came into force at `observer`.
    void installed(const base::node_id& observer, base::config_version version,
                   std::int64_t unix_microseconds);
    /// `subject` is no longer live for `observer`, or live again.
    void departed(const base::node_id& observer, const base::node_id& subject,
                  std::int64_t unix_microseconds);
    void returned(const base::node_id& observer, const base::node_id& subject);
    /// The observer is gone: nothing that it learned counts any more.
    void forget_observer(const base::node_id& observer);
    /// Starts a new list of departures.
    void forget_departures() { departures_.clear(); }

    /// `{"versions": {"5": {"nodes": n, "last": t}}, "departures": {"node-a": {...}}}`: how many
    /// nodes of this process know, and when the last of them learned it.
    nlohmann::json to_json() const;

  private:
    using observers = std::map<base::node_id, std::int64_t>;

    std::map<base::config_version, observers> versions_;
    std::map<base::node_id, observers> departures_;
};

/// Ids that are in `before` and not in `after`; both ordered by id.
std::vector<base::node_id> missing_ids(const std::vector<membership::member>& before,
                                       const std::vector<membership::member>& after);

}  // namespace pearbarrow::emulator
