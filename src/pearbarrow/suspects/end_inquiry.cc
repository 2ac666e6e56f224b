#include "pearbarrow/suspects/end_inquiry.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pearbarrow::suspects {
namespace {

using milliseconds = base::milliseconds;

/// Delays between the probes after a lost connection.
constexpr std::array<milliseconds, 11> delays_after_loss{
    milliseconds{50},    milliseconds{100},   milliseconds{150},  milliseconds{300},
    milliseconds{500},   milliseconds{500},   milliseconds{500},  milliseconds{1'000},
    milliseconds{1'000}, milliseconds{2'000}, milliseconds{4'000}};
/// Delays before the examinations of a back end that may end soon. They are few, since each costs
/// the back end a connection and most failed attempts have another cause.
constexpr std::array<milliseconds, 3> delays_of_watch{milliseconds{500}, milliseconds{1'000},
                                                      milliseconds{2'500}};
/// Steps with the longer delays, to which an inquiry returns for a further attempt.
constexpr std::size_t first_long_step = 3;
constexpr std::size_t first_long_step_of_watch = 1;

}  // namespace

end_inquiry::end_inquiry(net::event_loop& loop, const base::clock& clock,
                         identity_source& identities, directory::backend target, break_kind kind,
                         inquiry_options options, std::function<void(inquiry_verdict)> on_verdict)
    : loop(loop),
      clock(clock),
      identities(identities),
      target(std::move(target)),
      kind(kind),
      options(options),
      on_verdict(std::move(on_verdict)),
      broken_at(clock.now()),
      ended_probes(loop),
      ended_questions(loop) {
    if (this->is_watched()) {
        this->continue_later();
        return;
    }
    if (this->kind == break_kind::connection_lost) {
        this->probe();
        return;
    }
    this->ask(this->options.silence_time);
    this->timer = this->loop.after(this->options.response_time, [this] { this->report_unknown(); });
}

void end_inquiry::extend() {
    this->broken_at = this->clock.now();
    this->step =
        std::min(this->step, this->is_watched() ? first_long_step_of_watch : first_long_step);
}

void end_inquiry::probe() {
    this->timer.reset();
    this->open_probe =
        net::probe_connection(this->loop, this->target.address, this->options.probe_timeout,
                              [this](net::probe_result result) { this->on_probed(result); });
}

void end_inquiry::on_probed(net::probe_result result) {
    this->ended_probes.add(std::move(this->open_probe));
    if (result == net::probe_result::refused) {
        this->give(inquiry_verdict::refused);
        return;
    }
    this->report_unknown();
    if (this->was_unanswered) {
        // It was silent for too long to tell a suspended process from one that has restarted.
        this->has_ended = true;
        return;
    }
    const bool has_settled =
        !this->is_watched() && this->clock.now() - this->broken_at >= this->options.settle_time;
    if (has_settled && result == net::probe_result::accepted) {
        this->ask(this->options.response_time);
    } else {
        this->continue_later();
    }
}

void end_inquiry::ask(base::milliseconds timeout) {
    this->question = this->identities.ask(this->target, timeout, [this](identity_reply reply) {
        this->ended_questions.add(std::move(this->question));
        this->on_identified(reply);
    });
    if (this->question != nullptr) {
        return;
    }
    if (this->is_watched()) {
        this->probe();
    } else if (this->kind == break_kind::connection_lost) {
        // It has accepted all connections since.
        this->give(inquiry_verdict::went_on);
    } else {
        this->was_unanswered = true;
    }
}

void end_inquiry::on_identified(identity_reply reply) {
    if (reply == identity_reply::other) {
        this->give(inquiry_verdict::replaced);
    } else if (this->is_watched()) {
        this->on_watched(reply);
    } else if (reply == identity_reply::same) {
        this->give(inquiry_verdict::went_on);
    } else if (this->kind == break_kind::connection_lost) {
        this->continue_later();
    } else {
        const bool was_prompt = !this->has_verdict;
        this->was_unanswered = !was_prompt;
        this->kind = was_prompt ? break_kind::connection_lost : this->kind;
        this->probe();
    }
}

void end_inquiry::on_watched(identity_reply reply) {
    if (reply == identity_reply::none) {
        this->give(inquiry_verdict::fell_silent);
    } else if (this->step == delays_of_watch.size()) {
        this->give(inquiry_verdict::went_on);
    } else {
        this->continue_later();
    }
}

void end_inquiry::continue_later() {
    const std::size_t count =
        this->is_watched() ? delays_of_watch.size() : delays_after_loss.size();
    if (this->step == count) {
        this->has_ended = true;
        return;
    }
    const milliseconds delay =
        this->is_watched() ? delays_of_watch[this->step] : delays_after_loss[this->step];
    ++this->step;
    this->timer = this->loop.after(delay, [this] {
        if (this->is_watched()) {
            this->ask(this->options.response_time);
        } else {
            this->probe();
        }
    });
}

void end_inquiry::report_unknown() {
    if (!std::exchange(this->has_verdict, true)) {
        this->on_verdict(inquiry_verdict::unknown);
    }
}

void end_inquiry::give(inquiry_verdict verdict) {
    this->timer.reset();
    this->has_verdict = true;
    this->has_ended = true;
    this->on_verdict(verdict);
}

}  // namespace pearbarrow::suspects
