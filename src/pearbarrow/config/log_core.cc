#include "pearbarrow/config/log_core.h"

#include <algorithm>

#include "pearbarrow/base/status.h"

namespace pearbarrow::config {
namespace {

/// Timeout after which an incomplete read of the log is restarted.
constexpr base::milliseconds read_timeout{15'000};

base::config_version after(base::config_version version) {
    return base::config_version(version.value() + 1);
}

}  // namespace

log_core::log_core(log_core_options options, configuration_ptr initial, base::random_source& random)
    : options_(std::move(options)),
      current_(std::move(initial)),
      random_(random),
      newest_known_(current_->version()) {}

std::vector<log_action> log_core::apply(const log_event& event, base::instant now) {
    actions out;
    std::visit([&](const auto& each) { on(each, now, out); }, event);
    return out;
}

// ---- Following the key-value service ----

void log_core::on(const follower_changed& event, base::instant now, actions& out) {
    if (event.follows == follows_) {
        return;
    }
    follows_ = event.follows;
    if (follows_) {
        follow_delay_ = options_.retry_initial;
        start_reading(now, out);
        return;
    }
    if (follow_ == follow_state::watching) {
        out.emplace_back(cancel_watch{follow_request_});
    }
    follow_ = follow_state::idle;
    follow_request_ = 0;
}

void log_core::start_reading(base::instant now, actions& out) {
    if (follow_ == follow_state::watching) {
        out.emplace_back(cancel_watch{follow_request_});
    }
    follow_ = follow_state::reading;
    follow_request_ = next_request();
    follow_due_ = now + read_timeout;
    out.emplace_back(read_log{follow_request_, current_->version()});
}

void log_core::wait_before_reading(base::instant now) {
    follow_ = follow_state::waiting;
    const auto jitter = static_cast<double>(follow_delay_.count()) * (0.5 + random_.unit());
    follow_due_ = now + base::milliseconds(static_cast<std::int64_t>(jitter));
    follow_delay_ = std::min(follow_delay_ * 2, options_.retry_maximum);
}

void log_core::on(const log_read& event, base::instant now, actions& out) {
    const bool follows = follow_ == follow_state::reading && event.request == follow_request_;
    store_reachable_ = event.status.ok();
    if (event.status.ok()) {
        apply_received(event.snapshot, event.entries, now, out);
    }
    for (proposal& waiting : proposals_) {
        if (waiting.phase == proposal_phase::settling && waiting.request == event.request) {
            waiting.request = 0;
            waiting.phase = proposal_phase::creating;
            waiting.failure = std::string(event.status.message());
            waiting.retry_at = now + waiting.retry_delay;
            waiting.retry_delay = std::min(waiting.retry_delay * 2, options_.retry_maximum);
        }
    }
    if (!follows) {
        return;
    }
    if (!event.status.ok()) {
        wait_before_reading(now);
        return;
    }
    follow_delay_ = options_.retry_initial;
    follow_ = follow_state::watching;
    follow_request_ = next_request();
    const double spread = 0.75 + 0.5 * random_.unit();
    follow_due_ = now + base::milliseconds(static_cast<std::int64_t>(
                            static_cast<double>(options_.reread_period.count()) * spread));
    out.emplace_back(watch_log{follow_request_, event.revision + 1});
    maybe_compact(event.stored_entries, out);
}

void log_core::on(const watch_delivered& event, base::instant now, actions& out) {
    if (follow_ != follow_state::watching || event.request != follow_request_) {
        return;
    }
    store_reachable_ = true;
    apply_received(nullptr, event.entries, now, out);
    if (newest_known_ > current_->version()) {
        start_reading(now, out);
    }
}

void log_core::on(const watch_ended& event, base::instant now, actions& out) {
    if (follow_ != follow_state::watching || event.request != follow_request_) {
        return;
    }
    store_reachable_ = store_reachable_ && event.status.ok();
    wait_before_reading(now);
}

void log_core::maybe_compact(std::uint64_t stored_entries, actions& out) {
    if (compacting_ || stored_entries < options_.compact_after_entries) {
        return;
    }
    compacting_ = true;
    compact_request_ = next_request();
    out.emplace_back(write_snapshot{compact_request_, current_});
}

void log_core::on(const snapshot_written& event, base::instant now, actions& out) {
    if (event.request == compact_request_) {
        compacting_ = false;
    }
}

// ---- Fetching from peers ----

void log_core::on(const peer_version_seen& event, base::instant now, actions& out) {
    if (event.version <= current_->version()) {
        peer_versions_.erase(event.peer);
        return;
    }
    peer_versions_[event.peer] = event.version;
    newest_known_ = std::max(newest_known_, event.version);
    maybe_fetch(now, out);
}

void log_core::maybe_fetch(base::instant now, actions& out) {
    if (fetch_request_ != 0 || peer_versions_.empty()) {
        return;
    }
    auto chosen = peer_versions_.begin();
    std::advance(chosen, static_cast<long>(random_.below(peer_versions_.size())));
    fetch_request_ = next_request();
    fetch_peer_ = chosen->first;
    fetch_due_ = now + options_.fetch_timeout;
    out.emplace_back(fetch_from_peer{fetch_request_, fetch_peer_, current_->version()});
}

void log_core::on(const peer_answered& event, base::instant now, actions& out) {
    if (event.request != fetch_request_) {
        return;
    }
    fetch_request_ = 0;
    const base::config_version before = current_->version();
    if (event.status.ok()) {
        apply_received(event.snapshot, event.entries, now, out);
    }
    if (current_->version() == before) {
        // The peer has no newer entries. Membership reports its version again if that changes.
        peer_versions_.erase(fetch_peer_);
    }
    maybe_fetch(now, out);
}

// ---- Applying entries ----

void log_core::apply_received(const configuration_ptr& snapshot,
                              const std::vector<log_entry>& entries, base::instant now,
                              actions& out) {
    if (snapshot != nullptr) {
        apply_snapshot(snapshot, out);
    }
    for (const log_entry& entry : entries) {
        apply_entry(entry, out);
    }
    settle_proposals(now, out);
}

void log_core::apply_snapshot(const configuration_ptr& snapshot, actions& out) {
    if (snapshot->version() <= current_->version() && !options_.faults.accept_any_order) {
        return;
    }
    kept_.clear();
    install(snapshot, out);
}

void log_core::apply_entry(const log_entry& entry, actions& out) {
    newest_known_ = std::max(newest_known_, entry.version);
    if (!options_.faults.accept_any_order) {
        if (entry.version <= current_->version()) {
            report_divergence(entry, out);
            return;
        }
        if (entry.version != after(current_->version())) {
            return;
        }
    }
    change content = entry.content;
    content.base_version = base::config_version(entry.version.value() - 1);
    auto next = current_->apply(content);
    if (!next.ok()) {
        // The writer validated the change differently. All nodes skip the same operations, so their
        // configurations stay equal.
        content.operations.clear();
        next = current_->apply(content);
    }
    kept_.push_back(entry);
    if (kept_.size() > options_.kept_entries) {
        kept_.erase(kept_.begin(),
                    kept_.begin() + static_cast<long>(kept_.size() - options_.kept_entries));
    }
    install(*std::move(next), out);
}

void log_core::install(configuration_ptr next, actions& out) {
    current_ = std::move(next);
    newest_known_ = std::max(newest_known_, current_->version());
    std::erase_if(peer_versions_,
                  [&](const auto& peer) { return peer.second <= current_->version(); });
    out.emplace_back(config_installed{current_});
}

void log_core::report_divergence(const log_entry& entry, actions& out) {
    const log_entry* own = find_kept_entry(entry.version);
    if (own != nullptr && own->content.id != entry.content.id) {
        out.emplace_back(config_diverged{entry.version, own->content.id, entry.content.id});
    }
}

const log_entry* log_core::find_kept_entry(base::config_version version) const {
    if (kept_.empty() || version < kept_.front().version || version > kept_.back().version) {
        return nullptr;
    }
    return &kept_[version.value() - kept_.front().version.value()];
}

log_tail log_core::entries_after(base::config_version version, std::size_t max_entries) const {
    log_tail tail;
    if (version >= current_->version()) {
        return tail;
    }
    if (find_kept_entry(after(version)) == nullptr) {
        tail.snapshot = current_;
        return tail;
    }
    for (base::config_version next = after(version);
         next <= current_->version() && tail.entries.size() < max_entries; next = after(next)) {
        tail.entries.push_back(*find_kept_entry(next));
    }
    return tail;
}

// ---- Time ----

void log_core::on(const log_tick& event, base::instant now, actions& out) {
    expire_or_retry(now, out);
    if (follows_ && follow_ != follow_state::idle && now >= follow_due_) {
        start_reading(now, out);
    }
    if (fetch_request_ != 0 && now >= fetch_due_) {
        fetch_request_ = 0;
        peer_versions_.erase(fetch_peer_);
    }
    maybe_fetch(now, out);
}

}  // namespace pearbarrow::config
