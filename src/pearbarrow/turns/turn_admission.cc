#include "pearbarrow/turns/turn_admission.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::turns {

/// One turn, from its arrival to the end of its preparation.
class queued_turn final : public turn_operation {
  public:
    queued_turn(turn_admission& owner, turn_request request, turn_admission::done_callback done)
        : owner(owner),
          request(std::move(request)),
          done(std::move(done)),
          came(owner.clock.now()) {}
    queued_turn(const queued_turn&) = delete;
    queued_turn& operator=(const queued_turn&) = delete;
    ~queued_turn() override { this->leave(); }

    bool has_begun() const override { return this->stage != stages::waiting; }

    void start() {
        if (this->owner.queue.empty() && this->owner.open.has_room()) {
            this->begin();
            return;
        }
        this->place = this->owner.queue.insert(this->owner.queue.end(), this);
        const auto& options = this->owner.options;
        const base::milliseconds tolerated = this->owner.tolerated_wait(this->came);
        const auto wait = this->owner.open.expected_wait(this->owner.queue.size() - 1);
        if (wait.has_value() && *wait > tolerated) {
            this->come_back_after =
                std::clamp(std::chrono::duration_cast<base::milliseconds>(*wait - tolerated),
                           options.least_retry_after, options.most_retry_after);
            this->limit = this->owner.loop.after(base::milliseconds{0}, [this] { this->end(); });
            return;
        }
        this->come_back_after = options.least_retry_after;
        this->limit = this->owner.loop.after(options.longest_wait, [this] { this->end(); });
    }

    void begin() {
        this->limit.reset();
        this->stage = stages::preparing;
        this->began = this->owner.clock.now();
        this->owner.open.begin();
        this->step = this->owner.begin(std::move(this->request),
                                       [this](prepared_turn prepared) { this->take(prepared); });
    }

    bool may_be_in_time(base::instant now) const { return this->request.aim > now; }

  private:
    enum class stages { waiting, preparing, over };

    void take(prepared_turn& prepared) {
        this->stage = stages::over;
        prepared.was_asked = true;
        prepared.waited = this->began - this->came;
        this->owner.open.end(this->began, prepared.outcome != turn_outcome::unavailable,
                             this->owner.clock.now());
        this->owner.begin_waiting();
        // Last: the caller may destroy this.
        const auto callback = std::exchange(this->done, nullptr);
        callback(std::move(prepared));
    }

    /// Turned away: the members were never asked.
    void end() {
        this->leave();
        ++this->owner.turned_away_count;
        prepared_turn result;
        result.outcome = turn_outcome::overloaded;
        result.waited = this->owner.clock.now() - this->came;
        result.retry_after = this->come_back_after;
        const auto callback = std::exchange(this->done, nullptr);
        callback(std::move(result));
    }

    void leave() {
        switch (std::exchange(this->stage, stages::over)) {
            case stages::waiting:
                this->owner.take_out(this->place);
                return;
            case stages::preparing:
                this->owner.open.abandon();
                this->owner.begin_waiting();
                return;
            case stages::over:
                return;
        }
    }

    friend class turn_admission;

    turn_admission& owner;
    turn_request request;
    turn_admission::done_callback done;
    base::instant came;
    base::instant began{};
    stages stage = stages::waiting;
    std::list<queued_turn*>::iterator place;
    base::milliseconds come_back_after{0};
    std::unique_ptr<net::timer_handle> limit;
    std::unique_ptr<turn_operation> step;
};

turn_admission::turn_admission(net::event_loop& loop, const base::clock& clock,
                               admission_options options, begin_step begin)
    : loop(loop), clock(clock), options(options), begin(std::move(begin)), open(options.window) {}

turn_admission::~turn_admission() = default;

std::unique_ptr<turn_operation> turn_admission::admit(turn_request request, done_callback done) {
    auto turn = std::make_unique<queued_turn>(*this, std::move(request), std::move(done));
    turn->start();
    return turn;
}

void turn_admission::begin_waiting() {
    while (!this->queue.empty() && this->open.has_room()) {
        const auto next = this->next_in_line();
        queued_turn* turn = *next;
        this->take_out(next);
        turn->begin();
    }
}

void turn_admission::take_out(std::list<queued_turn*>::iterator place) {
    this->queue.erase(place);
    if (this->queue.empty()) {
        this->crowded_since.reset();
    }
}

base::milliseconds turn_admission::tolerated_wait(base::instant now) {
    if (!this->crowded_since.has_value()) {
        this->crowded_since = now;
    }
    if (now - *this->crowded_since >= this->options.crowded_for) {
        this->crowded_until = now + this->options.crowded_memory;
    }
    return now < this->crowded_until ? this->options.wait_when_crowded : this->options.longest_wait;
}

/// The first whose program can still be in time; the first of all when none can.
std::list<queued_turn*>::iterator turn_admission::next_in_line() {
    const base::instant now = this->clock.now();
    const auto found = std::find_if(this->queue.begin(), this->queue.end(),
                                    [now](const auto* turn) { return turn->may_be_in_time(now); });
    return found == this->queue.end() ? this->queue.begin() : found;
}

}  // namespace pearbarrow::turns
