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
        now + (is_contact ? this->options.pacing.contact_start_pause : this->pacing.start_pause());
}

void service_watch::note_reader(base::instant now) {
    this->reader_until = now + this->options.wait_for_reader;
}

base::instant service_watch::next() const {
    const bool is_due = this->state == stage::starting || this->state == stage::pausing;
    return is_due ? std::min(this->due, this->turn) : this->turn;
}

std::vector<service_watch::action> service_watch::read() {
    this->state = stage::reading;
    return {{.what = call::read}};
}

std::vector<service_watch::action> service_watch::watch(base::instant now) {
    this->state = stage::watching;
    this->watch_began = now;
    return {{.what = call::watch}};
}

void service_watch::take_news(const knowledge& known, base::instant now) {
    const bool is_short = now - this->watch_began < this->options.short_watch;
    if (is_short && known.company.connected) {
        this->rest(known, now);
        return;
    }
    // What changes within the pause comes with one answer.
    this->pause(this->pacing.pause_after_news(known.company), stage::pausing, now);
}

void service_watch::pause(base::milliseconds time, stage next, base::instant now) {
    this->state = next;
    this->due = now + time;
}

/// A node that no peer answers keeps watching: nobody else would tell it anything.
void service_watch::rest(const knowledge& known, base::instant now) {
    if (known.company.connected) {
        this->state = stage::resting;
    } else {
        this->pause(this->retry_time(), stage::pausing, now);
    }
}

base::milliseconds service_watch::retry_time() {
    const auto least = static_cast<std::uint64_t>(this->options.least_retry.count());
    return base::milliseconds{static_cast<std::int64_t>(least + this->random.below(9 * least))};
}

std::vector<service_watch::action> service_watch::advance(const knowledge& known,
                                                          base::instant now) {
    if (this->state == stage::starting && now >= this->due) {
        if (known.is_level) {
            this->rest(known, now);
        } else if (this->reader_until.has_value() && now < *this->reader_until) {
            this->due = *this->reader_until;
        } else {
            return this->read();
        }
    }
    std::vector<action> actions;
    if (this->state == stage::resting) {
        this->rest(known, now);
    }
    if (this->state == stage::pausing && now >= this->due) {
        actions = this->watch(now);
    }
    if (now >= this->turn) {
        this->turn = now + this->pacing.until_next(known.unix_time);
        if (this->is_turn(known)) {
            actions.push_back({.what = call::look});
        }
    }
    return actions;
}

// The service's watches may miss changes without a word, all of them at once and for seconds, and
// those that watch may die, so somebody has to look now and then. The draw goes by hashes of
// addresses and the interval: turns in the order of the nodes would shift whenever a node hears of
// another one, and a whole zone would come one after the other.
bool service_watch::is_turn(const knowledge& known) {
    const std::uint64_t interval = this->pacing.interval_at(known.unix_time);
    if (std::exchange(this->judged, interval) == interval || this->state == stage::reading ||
        this->state == stage::starting) {
        return false;
    }
    return !known.company.connected || known.is_drawn(interval);
}

std::vector<service_watch::action> service_watch::ended(call what, outcome how,
                                                        std::uint32_t passes,
                                                        const knowledge& known, base::instant now) {
    switch (what) {
        case call::read:
            return this->take_reading(how, known, now);
        case call::watch:
            return this->take_watch(how, known, now);
        case call::look:
            return this->take_look(how, passes, known, now);
        case call::pass_on:
            break;
    }
    return {};
}

std::vector<service_watch::action> service_watch::take_reading(outcome how, const knowledge& known,
                                                               base::instant now) {
    if (how == outcome::failed) {
        // In the same way as at the start: peers may tell what the service does not.
        this->pause(this->retry_time(), stage::starting, now);
        return {};
    }
    if (how == outcome::known && known.company.connected) {
        this->rest(known, now);
        return {};
    }
    return this->watch(now);
}

std::vector<service_watch::action> service_watch::take_watch(outcome how, const knowledge& known,
                                                             base::instant now) {
    if (this->state != stage::watching) {
        // Another reading has overtaken it.
        return {};
    }
    switch (how) {
        case outcome::news:
            this->take_news(known, now);
            return {};
        case outcome::known:
            this->rest(known, now);
            return {};
        case outcome::nothing:
            return this->watch(now);
        case outcome::missed:
            return this->read();
        case outcome::failed:
            this->rest(known, now);
            return this->pass_on(0, known);
    }
    return {};
}

std::vector<service_watch::action> service_watch::take_look(outcome how, std::uint32_t passes,
                                                            const knowledge& known,
                                                            base::instant now) {
    switch (how) {
        case outcome::news:
            // Nobody else has told of it: whoever watched does so no longer.
            if (this->state == stage::resting) {
                this->pause(this->pacing.pause_after_news(known.company), stage::pausing, now);
            }
            return {};
        case outcome::missed:
            return this->state == stage::reading ? std::vector<action>() : this->read();
        case outcome::failed:
            return this->pass_on(passes, known);
        case outcome::known:
        case outcome::nothing:
            return {};
    }
    return {};
}

std::vector<service_watch::action> service_watch::pass_on(std::uint32_t passes,
                                                          const knowledge& known) const {
    if (passes >= this->options.most_passes || !known.company.connected) {
        return {};
    }
    return {{.what = call::pass_on, .passes = passes + 1}};
}

std::vector<service_watch::action> service_watch::look_is_slow(std::uint32_t passes,
                                                               const knowledge& known) const {
    return this->pass_on(passes, known);
}

std::vector<service_watch::action> service_watch::asked(std::uint32_t passes) const {
    if (this->state == stage::reading || this->state == stage::starting) {
        return {};
    }
    return {{.what = call::look, .passes = passes}};
}

}  // namespace pearbarrow::directory
