/// Evidence that the process at the address of a back end is the one that its directory entry
/// describes.
///
/// An entry describes a process at the moment at which that process wrote it. A process that has
/// restarted under the same id is described by the entry of its predecessor until it has written
/// its own. What a node hears on a connection shows that one process has existed since the first
/// bytes on it, because an accepted connection does not outlive its process. (One that waits to be
/// accepted may.) If the entry has not changed for `entry_delay` since then, this process wrote it.
/// A process that states the start time of its entry needs no observation.
#pragma once

#include <algorithm>
#include <optional>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::forward {

struct evidence_options {
    /// Time within which the entry of a new process reaches every node: a heartbeat and the
    /// distribution of the change.
    base::milliseconds entry_delay{2'000};
    /// Time after which the entry of a process that has ended is gone: three heartbeats and the
    /// distribution of the change. It applies after a sign that the process may have ended.
    base::milliseconds entry_lifetime{5'000};
    /// A process that was heard within this time is taken to exist still.
    base::milliseconds max_silence{150};
    /// A response head that comes within this time after the request is taken to come from the
    /// process that existed then.
    base::milliseconds max_head_time{400};
    /// Bytes that arrive within this time after a sign of an end may have been sent before it.
    base::milliseconds transit_time{100};
};

class process_evidence {
  public:
    /// Records that the process was heard on a connection whose first bytes came at
    /// `first_heard_at`.
    void on_heard(const evidence_options& options, base::instant first_heard_at,
                  base::instant now) {
        if (!this->heard_at.has_value() ||
            first_heard_at > *this->heard_at + options.transit_time) {
            // Another process may have replaced the one that was heard before.
            this->since = first_heard_at;
        }
        this->since = std::min(this->since, first_heard_at);
        this->heard_at = now;
    }
    /// Records that the process has stated the start time of the entry.
    void on_stated(base::instant now) {
        this->since = base::instant::min();
        this->heard_at = now;
        this->doubted_at.reset();
    }
    /// Records a sign that the process may have ended.
    void on_doubt(base::instant now) { this->doubted_at = now; }

    /// Whether the connection belongs to the observed process.
    bool covers(const evidence_options& options, base::instant first_heard_at) const {
        return this->heard_at.has_value() && first_heard_at >= this->since &&
               first_heard_at <= *this->heard_at + options.max_silence;
    }
    /// Whether the process that is heard now is the observed one.
    bool is_recent(const evidence_options& options, base::instant now) const {
        return this->heard_at.has_value() && now - *this->heard_at <= options.max_silence;
    }
    /// Returns when the observed process is known to be the one that the entry describes, provided
    /// that the entry does not change until then. Returns nothing if no process was observed.
    std::optional<base::instant> proven_at(const evidence_options& options) const {
        if (!this->heard_at.has_value()) {
            return std::nullopt;
        }
        if (this->since == base::instant::min()) {
            return this->since;
        }
        const bool began_after_doubt =
            this->doubted_at.has_value() && this->since > *this->doubted_at;
        return this->since + (began_after_doubt ? options.entry_lifetime : options.entry_delay);
    }
    bool is_proven(const evidence_options& options, base::instant now) const {
        const auto at = this->proven_at(options);
        return at.has_value() && *at <= now;
    }
    /// Whether there was a sign that the process has ended, which nothing has refuted since.
    bool may_have_ended(const evidence_options& options) const {
        if (!this->doubted_at.has_value()) {
            return false;
        }
        return !this->heard_at.has_value() ||
               *this->heard_at <= *this->doubted_at + options.transit_time;
    }

  private:
    /// One process has existed from `since` to `heard_at`.
    base::instant since{};
    std::optional<base::instant> heard_at;
    std::optional<base::instant> doubted_at;
};

}  // namespace pearbarrow::forward
