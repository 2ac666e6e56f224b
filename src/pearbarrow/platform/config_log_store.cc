#include "pearbarrow/platform/config_log_store.h"

#include <algorithm>
#include <charconv>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/status.h"

namespace pearbarrow::platform {
namespace {

/// Entries read in one request.
constexpr std::int64_t page_entries = 128;
/// Part of a snapshot: etcd refuses requests above 1.5 MiB, and base64 adds a third.
constexpr std::size_t part_bytes = std::size_t{512} * 1024;

struct snapshot_head {
    std::uint64_t version = 0;
    std::size_t parts = 0;
};

absl::Status store_error(std::string_view message, std::string_view reason) {
    return base::make_error(absl::StatusCode::kInternal, message,
                            {.step = "config_log", .reason = std::string(reason)});
}

absl::StatusOr<config::log_entry> read_entry(const key_value& item) {
    const std::size_t slash = item.key.rfind('/');
    std::uint64_t version = 0;
    const char* first = item.key.data() + slash + 1;
    const char* last = item.key.data() + item.key.size();
    if (slash == std::string::npos || std::from_chars(first, last, version).ptr != last) {
        return store_error("unexpected key " + item.key, "malformed_log_entry");
    }
    auto content = config::decode_change(item.value);
    if (!content.ok()) {
        return content.status();
    }
    return config::log_entry{base::config_version(version), *std::move(content)};
}

absl::StatusOr<snapshot_head> read_head(const std::string& text) {
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("version") || !parsed.contains("parts")) {
        return store_error("the snapshot's key cannot be read", "malformed_snapshot");
    }
    return snapshot_head{parsed.value("version", std::uint64_t{0}),
                         parsed.value("parts", std::size_t{0})};
}

}  // namespace

/// A read under way.
struct config_log_store::reading {
    std::uint64_t request = 0;
    std::uint64_t after = 0;
    std::uint64_t next = 0;
    config::configuration_ptr snapshot;
    std::vector<config::log_entry> entries;
    std::int64_t revision = 0;
    std::uint64_t stored_entries = 0;
    snapshot_head head;
    std::string text;
    std::size_t next_part = 0;
    bool counted = false;
    bool snapshot_tried = false;
};

/// A compaction under way.
struct config_log_store::writing {
    std::uint64_t request = 0;
    std::uint64_t version = 0;
    std::vector<std::string> parts;
    std::size_t next_part = 0;
    std::uint64_t earlier_version = 0;
    std::int64_t earlier_revision = 0;
};

config_log_store::config_log_store(key_value_client& client, std::string cluster,
                                   std::function<void(config::log_event)> emit)
    : client_(client), prefix_("pearbarrow/" + cluster + "/config/"), emit_(std::move(emit)) {}

config_log_store::~config_log_store() = default;

std::string config_log_store::log_key(std::uint64_t version) const {
    return fmt::format("{}log/{:020}", prefix_, version);
}

std::string config_log_store::part_key(std::uint64_t version, std::size_t part) const {
    return fmt::format("{}parts/{:020}/{:04}", prefix_, version, part);
}

void config_log_store::carry_out(const config::create_entry& action) {
    const std::uint64_t version = action.version.value();
    transaction request;
    request.conditions.push_back(
        {log_key(version), compare_target::create_revision, compare_result::equal, 0});
    if (version > 1) {
        request.conditions.push_back(
            {log_key(version - 1), compare_target::create_revision, compare_result::greater, 0});
    } else {
        request.conditions.push_back(
            {prefix_ + "snapshot", compare_target::create_revision, compare_result::equal, 0});
    }
    request.puts.push_back({log_key(version), config::encode_change(action.content), 0});
    client_.commit(std::move(request),
                   [this, alive = std::weak_ptr<bool>(alive_),
                    id = action.request](absl::StatusOr<transaction_result> answer) {
                       if (alive.expired()) {
                           return;
                       }
                       absl::Status status = answer.status();
                       if (answer.ok() && !answer->succeeded) {
                           status = absl::AlreadyExistsError("the entry is taken");
                       }
                       emit_(config::entry_created{id, std::move(status)});
                   });
}

// ---- Reading ----

void config_log_store::carry_out(const config::read_log& action) {
    auto state = std::make_shared<reading>();
    state->request = action.request;
    state->after = action.after.value();
    state->next = state->after + 1;
    // How many entries are stored decides on compaction; the revision must not be newer than what
    // the entries are read at, so it comes from this first answer.
    client_.range(
        {.key = prefix_ + "log/", .range_end = prefix_end(prefix_ + "log/"), .count_only = true},
        [this, alive = std::weak_ptr<bool>(alive_), state](absl::StatusOr<range_result> answer) {
            if (alive.expired()) {
                return;
            }
            if (!answer.ok()) {
                finish_reading(*state, answer.status());
                return;
            }
            state->revision = answer->revision;
            state->stored_entries = static_cast<std::uint64_t>(answer->count);
            read_entries(state);
        });
}

void config_log_store::read_entries(std::shared_ptr<reading> state) {
    client_.range(
        {.key = log_key(state->next),
         .range_end = prefix_end(prefix_ + "log/"),
         .limit = page_entries},
        [this, alive = std::weak_ptr<bool>(alive_), state](absl::StatusOr<range_result> answer) {
            if (alive.expired()) {
                return;
            }
            if (!answer.ok()) {
                finish_reading(*state, answer.status());
                return;
            }
            take_entries(state, *answer);
        });
}

void config_log_store::take_entries(std::shared_ptr<reading> state, const range_result& answer) {
    for (const key_value& item : answer.items) {
        auto entry = read_entry(item);
        if (!entry.ok()) {
            finish_reading(*state, entry.status());
            return;
        }
        if (entry->version.value() != state->next) {
            break;
        }
        ++state->next;
        state->entries.push_back(*std::move(entry));
    }
    const bool gap = !answer.items.empty() && state->entries.empty() && !state->snapshot_tried;
    if (gap) {
        // The entries that follow ours are gone: the snapshot holds them.
        read_snapshot_head(state);
    } else if (answer.more && state->next > state->after + 1) {
        read_entries(state);
    } else {
        finish_reading(*state, absl::OkStatus());
    }
}

void config_log_store::read_snapshot_head(std::shared_ptr<reading> state) {
    state->snapshot_tried = true;
    client_.range({.key = prefix_ + "snapshot"}, [this, alive = std::weak_ptr<bool>(alive_),
                                                  state](absl::StatusOr<range_result> answer) {
        if (alive.expired()) {
            return;
        }
        if (!answer.ok() || answer->items.empty()) {
            finish_reading(*state, answer.ok()
                                       ? store_error("there is no snapshot", "snapshot_missing")
                                       : answer.status());
            return;
        }
        const auto head = read_head(answer->items.front().value);
        if (!head.ok()) {
            finish_reading(*state, head.status());
            return;
        }
        state->head = *head;
        read_snapshot_parts(state);
    });
}

void config_log_store::read_snapshot_parts(std::shared_ptr<reading> state) {
    if (state->next_part == state->head.parts) {
        auto snapshot = config::decode_configuration(state->text);
        if (!snapshot.ok()) {
            finish_reading(*state, snapshot.status());
            return;
        }
        state->snapshot = *std::move(snapshot);
        state->next = state->snapshot->version().value() + 1;
        state->after = state->next - 1;
        read_entries(state);
        return;
    }
    client_.range(
        {.key = part_key(state->head.version, state->next_part)},
        [this, alive = std::weak_ptr<bool>(alive_), state](absl::StatusOr<range_result> answer) {
            if (alive.expired()) {
                return;
            }
            if (!answer.ok() || answer->items.empty()) {
                // A newer snapshot has replaced it meanwhile: the core reads again.
                finish_reading(*state, answer.ok()
                                           ? store_error("a part is missing", "snapshot_replaced")
                                           : answer.status());
                return;
            }
            state->text += answer->items.front().value;
            ++state->next_part;
            read_snapshot_parts(state);
        });
}

void config_log_store::finish_reading(const reading& state, absl::Status status) {
    emit_(config::log_read{.request = state.request,
                           .status = std::move(status),
                           .snapshot = state.snapshot,
                           .entries = state.entries,
                           .revision = state.revision,
                           .stored_entries = state.stored_entries});
}

// ---- Watching ----

void config_log_store::carry_out(const config::watch_log& action) {
    const std::uint64_t id = action.request;
    watch_request_ = id;
    watch_callbacks callbacks;
    callbacks.on_events = [this, id](const std::vector<watch_event>& events, std::int64_t) {
        config::watch_delivered delivered{id, {}};
        for (const watch_event& event : events) {
            auto entry =
                event.deleted ? store_error("deleted", "compacted") : read_entry(event.item);
            if (entry.ok()) {
                delivered.entries.push_back(*std::move(entry));
            }
        }
        if (!delivered.entries.empty()) {
            emit_(std::move(delivered));
        }
    };
    callbacks.on_end = [this, id](absl::Status status) {
        emit_(config::watch_ended{id, std::move(status)});
    };
    watch_ = client_.watch({.key = prefix_ + "log/",
                            .range_end = prefix_end(prefix_ + "log/"),
                            .start_revision = action.from_revision},
                           std::move(callbacks));
}

void config_log_store::carry_out(const config::cancel_watch& action) {
    if (action.request == watch_request_) {
        watch_.reset();
    }
}

// ---- Compaction ----

void config_log_store::carry_out(const config::write_snapshot& action) {
    auto state = std::make_shared<writing>();
    state->request = action.request;
    state->version = action.snapshot->version().value();
    const std::string text = config::encode_configuration(*action.snapshot);
    for (std::size_t start = 0; start < text.size(); start += part_bytes) {
        state->parts.push_back(text.substr(start, part_bytes));
    }
    client_.range({.key = prefix_ + "snapshot"}, [this, alive = std::weak_ptr<bool>(alive_),
                                                  state](absl::StatusOr<range_result> answer) {
        if (alive.expired()) {
            return;
        }
        if (!answer.ok()) {
            finish_writing(*state, answer.status());
            return;
        }
        if (!answer->items.empty()) {
            const auto head = read_head(answer->items.front().value);
            state->earlier_version = head.ok() ? head->version : 0;
            state->earlier_revision = answer->items.front().mod_revision;
        }
        if (state->earlier_version >= state->version) {
            finish_writing(*state, absl::OkStatus());
            return;
        }
        write_next_part(state);
    });
}

void config_log_store::write_next_part(std::shared_ptr<writing> state) {
    if (state->next_part == state->parts.size()) {
        commit_snapshot(state);
        return;
    }
    // Every writer of this version writes the same bytes: no condition is needed.
    client_.put({part_key(state->version, state->next_part), state->parts[state->next_part], 0},
                [this, alive = std::weak_ptr<bool>(alive_), state](absl::Status status) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!status.ok()) {
                        finish_writing(*state, std::move(status));
                        return;
                    }
                    ++state->next_part;
                    write_next_part(state);
                });
}

void config_log_store::commit_snapshot(std::shared_ptr<writing> state) {
    transaction request;
    request.conditions.push_back({prefix_ + "snapshot", compare_target::mod_revision,
                                  compare_result::equal, state->earlier_revision});
    const nlohmann::json head = {{"version", state->version}, {"parts", state->parts.size()}};
    request.puts.push_back({prefix_ + "snapshot", head.dump(), 0});
    // Entry `version` itself stays: the next one is created only while it exists.
    request.deletes.push_back({log_key(0), log_key(state->version)});
    request.deletes.push_back({prefix_ + "parts/", part_key(state->version, 0)});
    client_.commit(std::move(request), [this, alive = std::weak_ptr<bool>(alive_),
                                        state](absl::StatusOr<transaction_result> answer) {
        if (!alive.expired()) {
            finish_writing(*state, answer.status());
        }
    });
}

void config_log_store::finish_writing(const writing& state, absl::Status status) {
    emit_(config::snapshot_written{state.request, std::move(status)});
}

}  // namespace pearbarrow::platform
