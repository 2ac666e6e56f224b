#include "pearbarrow/directory/service_watch.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::directory {

service_watch::service_watch(base::random_source& random, service_watch_options options)
    : random(random), options(options), pacing(random, options.pacing) {}

void service_watch::begin(base::instant now, bool is_contact) {
    this->state = stage::starting;
    this->is_contact = is_contact;
    this->due =
        now + (is_contact ? this->options.pacing.contact_start_delay : this->pacing.start_delay());
}

void service_watch::on_peer_reading(base::instant now) {
    this->wait_for_reader_until = now + this->options.wait_for_reader;
}

base::instant service_watch::next() const {
    const bool is_due = this->state == stage::starting || this->state == stage::delayed;
    return is_due ? std::min(this->due, this->next_interval) : this->next_interval;
}

std::vector<service_watch::action> service_watch::read() {
    this->state = stage::reading;
    return {{.what = call::read}};
}

std::vector<service_watch::action> service_watch::watch(base::instant now) {
    this->state = stage::watching;
    this->watch_started_at = now;
    return {{.what = call::watch}};
}

void service_watch::on_new_changes(const node_state& known, base::instant now) {
    const bool is_short = now - this->watch_started_at < this->options.short_watch;
    if (is_short && known.connectivity.connected) {
        this->become_idle(known, now);
        return;
    }
    // The next watch returns all changes made during the delay at once.
    this->delay_for(this->pacing.delay_after_changes(known.connectivity), stage::delayed, now);
}

void service_watch::delay_for(base::milliseconds delay, stage next, base::instant now) {
    this->state = next;
    this->due = now + delay;
}

/// A node without connected peers keeps watching, because no other node would send it changes.
void service_watch::become_idle(const node_state& known, base::instant now) {
    if (known.connectivity.connected) {
        this->state = stage::idle;
    } else {
        this->delay_for(this->retry_delay(), stage::delayed, now);
    }
}

base::milliseconds service_watch::retry_delay() {
    const auto min_delay = static_cast<std::uint64_t>(this->options.min_retry_delay.count());
    return base::milliseconds{
        static_cast<std::int64_t>(min_delay + this->random.below(9 * min_delay))};
}

std::vector<service_watch::action> service_watch::advance(const node_state& known,
                                                          base::instant now) {
    if (this->state == stage::starting && now >= this->due) {
        if (known.has_all_parts) {
            this->become_idle(known, now);
        } else if (this->wait_for_reader_until.has_value() && now < *this->wait_for_reader_until) {
            this->due = *this->wait_for_reader_until;
        } else {
            return this->read();
        }
    }
    std::vector<action> actions;
    if (this->state == stage::idle) {
        this->become_idle(known, now);
    }
    if (this->state == stage::delayed && now >= this->due) {
        actions = this->watch(now);
    }
    if (now >= this->next_interval) {
        this->next_interval = now + this->pacing.until_next_interval(known.unix_time);
        if (this->is_poll_due(known)) {
            actions.push_back({.what = call::poll});
        }
    }
    return actions;
}

// Watches may miss changes silently, all of them at once and for seconds, and the nodes that watch
// may fail, so some node has to poll periodically. The selection hashes the addresses and the
// interval. A round robin would shift whenever a node learns of another one, and the nodes of one
// zone would poll one after the other.
bool service_watch::is_poll_due(const node_state& known) {
    const std::uint64_t interval = this->pacing.interval_at(known.unix_time);
    if (std::exchange(this->last_interval, interval) == interval || this->state == stage::reading ||
        this->state == stage::starting) {
        return false;
    }
    return !known.connectivity.connected || known.is_selected(interval);
}

std::vector<service_watch::action> service_watch::on_call_ended(call what, outcome how,
                                                                std::uint32_t hops,
                                                                const node_state& known,
                                                                base::instant now) {
    switch (what) {
        case call::read:
            return this->on_read_ended(how, known, now);
        case call::watch:
            return this->on_watch_ended(how, known, now);
        case call::poll:
            return this->on_poll_ended(how, hops, known, now);
        case call::delegate:
            break;
    }
    return {};
}

std::vector<service_watch::action> service_watch::on_read_ended(outcome how,
                                                                const node_state& known,
                                                                base::instant now) {
    if (how == outcome::failed) {
        // The node waits as it does at its start: peers may send what the service does not.
        this->delay_for(this->retry_delay(), stage::starting, now);
        return {};
    }
    if (how == outcome::known_changes && known.connectivity.connected) {
        this->become_idle(known, now);
        return {};
    }
    return this->watch(now);
}

std::vector<service_watch::action> service_watch::on_watch_ended(outcome how,
                                                                 const node_state& known,
                                                                 base::instant now) {
    if (this->state != stage::watching) {
        // A full read has started since and replaces the watch.
        return {};
    }
    switch (how) {
        case outcome::new_changes:
            this->on_new_changes(known, now);
            return {};
        case outcome::known_changes:
            this->become_idle(known, now);
            return {};
        case outcome::unchanged:
            return this->watch(now);
        case outcome::missed:
            return this->read();
        case outcome::failed:
            this->become_idle(known, now);
            return this->delegate(0, known);
    }
    return {};
}

std::vector<service_watch::action> service_watch::on_poll_ended(outcome how, std::uint32_t hops,
                                                                const node_state& known,
                                                                base::instant now) {
    switch (how) {
        case outcome::new_changes:
            // No peer has sent this change, so the nodes that watched no longer do.
            if (this->state == stage::idle) {
                this->delay_for(this->pacing.delay_after_changes(known.connectivity),
                                stage::delayed, now);
            }
            return {};
        case outcome::missed:
            return this->state == stage::reading ? std::vector<action>() : this->read();
        case outcome::failed:
            return this->delegate(hops, known);
        case outcome::known_changes:
        case outcome::unchanged:
            return {};
    }
    return {};
}

std::vector<service_watch::action> service_watch::delegate(std::uint32_t hops,
                                                           const node_state& known) const {
    if (hops >= this->options.max_hops || !known.connectivity.connected) {
        return {};
    }
    return {{.what = call::delegate, .hops = hops + 1}};
}

std::vector<service_watch::action> service_watch::on_slow_poll(std::uint32_t hops,
                                                               const node_state& known) const {
    return this->delegate(hops, known);
}

std::vector<service_watch::action> service_watch::on_poll_request(std::uint32_t hops) const {
    if (this->state == stage::reading || this->state == stage::starting) {
        return {};
    }
    return {{.what = call::poll, .hops = hops}};
}

}  // namespace pearbarrow::directory
