/// Reads of a replica: for recovery, for catching others up, and of retained entries.
#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/journal/entry.h"
#include "pearbarrow/journal/replica_state.h"

namespace pearbarrow::journal {

using wire::journal_outcome;
using wire::journal_reply;
using wire::journal_request;

void replica::state::complete_read(const journal_request& request, journal_reply& reply) {
    const auto shard = wire::header_of(request).shard;
    const auto* read = std::get_if<wire::journal_read_request>(&request);
    auto status = read != nullptr
                      ? read_state(*read, reply)
                      : read_history(std::get<wire::journal_read_retained_request>(request), reply);
    if (!status.ok()) {
        reply.outcome = journal_outcome::failed;
        reply.reason = base::details_of(status).reason;
        reply.entries.clear();
        if (reply.reason == "journal_corrupt") {
            mark_corrupt(shard, std::move(status));
        }
    }
}

absl::Status replica::state::read_state(const wire::journal_read_request& request,
                                        journal_reply& reply) {
    const auto shard = request.header.shard;
    switch (request.part) {
        case wire::journal_read_part::entries:
            return read_log(request, reply);
        case wire::journal_read_part::snapshot:
            return read_snapshot(request, reply);
        case wire::journal_read_part::retained:
            break;
    }
    auto page = store_.read_retained(shard, cores_.at(shard).metadata().retained_copy, "",
                                     {request.after_key, request.after_index},
                                     page_bytes(request.max_bytes));
    if (page.ok()) {
        reply.entries = std::move(page->entries);
        reply.more = page->more;
    }
    return page.status();
}

absl::Status replica::state::read_log(const wire::journal_read_request& request,
                                      journal_reply& reply) {
    const auto shard = request.header.shard;
    const auto& core = cores_.at(shard);
    const auto before = core.ballot_at(previous_index(request.from));
    auto page = store_.read_entries(shard, request.from, core.metadata().last_index,
                                    page_bytes(request.max_bytes));
    if (!page.ok()) {
        return page.status();
    }
    const bool gap = request.from <= core.metadata().last_index &&
                     (page->entries.empty() || page->entries.front().index != request.from);
    if (!before || gap) {
        return base::make_error(absl::StatusCode::kOutOfRange, "not in the log",
                                {.step = "journal_read", .reason = "entries_unavailable"});
    }
    reply.previous_ballot = *before;
    reply.entries = std::move(page->entries);
    reply.more = page->more;
    return absl::OkStatus();
}

absl::Status replica::state::read_snapshot(const wire::journal_read_request& request,
                                           journal_reply& reply) {
    const auto found = store_.read_snapshot(request.header.shard);
    if (!found.ok()) {
        return found.status();
    }
    const auto& snapshot = found->has_value() ? **found : std::string();
    const auto offset = std::min<std::size_t>(request.offset, snapshot.size());
    reply.chunk = snapshot.substr(offset, std::max<std::size_t>(1, page_bytes(request.max_bytes)));
    reply.more = offset + reply.chunk.size() < snapshot.size();
    return absl::OkStatus();
}

absl::Status replica::state::read_history(const wire::journal_read_retained_request& request,
                                          journal_reply& reply) {
    const auto shard = request.header.shard;
    const auto& core = cores_.at(shard);
    const retained_cursor cursor{request.after_key, request.after_index};
    const auto limit = page_bytes(request.max_bytes);
    auto page = store_.read_retained(shard, core.metadata().retained_copy, request.key_prefix,
                                     cursor, limit);
    if (!page.ok()) {
        return page.status();
    }
    // Merge with what is still in the log; keys from the page's last on come with a later page.
    std::map<replica_core::keyed_position, std::optional<wire::journal_entry>> merged;
    for (const auto& position : core.live_keyed(request.key_prefix, cursor)) {
        if (!page->more || position.key < page->entries.back().retention_key) {
            merged.emplace(position, std::nullopt);
        }
    }
    for (auto& entry : page->entries) {
        replica_core::keyed_position position{entry.retention_key, entry.index};
        merged.emplace(std::move(position), std::move(entry));
    }
    std::size_t bytes = 0;
    reply.more = page->more;
    for (auto& [position, entry] : merged) {
        if (bytes > limit) {
            reply.more = true;
            break;
        }
        if (!entry) {
            auto live = store_.read_entries(shard, position.index, position.index, 0);
            if (!live.ok()) {
                return live.status();
            }
            entry = std::move(live->entries.at(0));
        }
        bytes += entry_bytes(*entry);
        reply.entries.push_back(*std::move(entry));
    }
    return absl::OkStatus();
}

}  // namespace pearbarrow::journal
