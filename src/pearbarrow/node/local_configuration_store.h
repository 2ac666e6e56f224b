/// The configuration log of a node without a platform: a file of JSON lines in its data folder,
/// synced before a change is accepted. docs/design/ownership.md says when it is used.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/node/configuration_store.h"
#include "pearbarrow/node/node_context.h"

namespace pearbarrow::node {

class local_configuration_store final : public configuration_store {
  public:
    local_configuration_store(node_context& context, std::string file);

    /// Reads the file. Fails with reason `config_log_corrupt` when a line that is followed by
    /// another can't be read; an unfinished last line is a change that was never accepted.
    absl::Status open();

    void connect(configuration_event_sink sink) override { sink_ = std::move(sink); }
    void carry_out(const config::create_entry& action) override;
    void carry_out(const config::read_log& action) override;
    /// Nothing but this node writes the log, so a watch never has news.
    void carry_out(const config::watch_log&) override {}
    void carry_out(const config::cancel_watch&) override {}
    /// The whole log stays, so there is nothing to compact.
    void carry_out(const config::write_snapshot& action) override;

  private:
    absl::Status append(const std::string& line);
    void emit(config::log_event event);

    node_context& context_;
    std::string file_;
    configuration_event_sink sink_;
    std::vector<config::log_entry> entries_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
