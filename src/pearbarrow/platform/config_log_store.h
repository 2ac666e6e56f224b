/// The configuration log in the platform's key-value service: carries out the actions of
/// `config::log_core` that go there.
///
/// Keys under `pearbarrow/<cluster>/config/`: `log/<n as 20 digits>` holds entry n, `snapshot`
/// names the version of the newest snapshot and its number of parts, `parts/<version>/<i>` holds a
/// part. An entry is created only while its predecessor exists; compaction keeps the newest entry,
/// so a node that is far behind can't create an entry that was compacted away. The snapshot's key
/// is replaced by compare-and-swap together with the removal of the entries before it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/config/log_core.h"
#include "pearbarrow/platform/key_value_client.h"

namespace pearbarrow::platform {

class config_log_store {
  public:
    /// `emit` takes the answers, as events for the core.
    config_log_store(key_value_client& client, std::string cluster,
                     std::function<void(config::log_event)> emit);
    ~config_log_store();

    void carry_out(const config::create_entry& action);
    void carry_out(const config::read_log& action);
    void carry_out(const config::watch_log& action);
    void carry_out(const config::cancel_watch& action);
    void carry_out(const config::write_snapshot& action);

  private:
    struct reading;
    struct writing;

    std::string log_key(std::uint64_t version) const;
    std::string part_key(std::uint64_t version, std::size_t part) const;
    void read_entries(std::shared_ptr<reading> state);
    void take_entries(std::shared_ptr<reading> state, const range_result& answer);
    void read_snapshot_head(std::shared_ptr<reading> state);
    void read_snapshot_parts(std::shared_ptr<reading> state);
    void finish_reading(const reading& state, absl::Status status);
    void write_next_part(std::shared_ptr<writing> state);
    void commit_snapshot(std::shared_ptr<writing> state);
    void finish_writing(const writing& state, absl::Status status);

    key_value_client& client_;
    std::string prefix_;
    std::function<void(config::log_event)> emit_;
    std::unique_ptr<watch_handle> watch_;
    std::uint64_t watch_request_ = 0;
    /// Answers that come after this object's end are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearbarrow::platform
