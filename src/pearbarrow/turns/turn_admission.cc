#include "pearbarrow/turns/turn_admission.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::turns {

/// One turn, from its arrival until its preparation ends.
class queued_turn final : public turn_operation {
  public:
    queued_turn(turn_admission& owner, turn_request request, turn_admission::done_callback done)
        : owner(owner),
          request(std::move(request)),
          done(std::move(done)),
          arrived_at(owner.clock.now()) {}
    queued_turn(const queued_turn&) = delete;
    queued_turn& operator=(const queued_turn&) = delete;
    ~queued_turn() override { this->leave(); }

    bool has_begun() const override { return this->stage != stages::waiting; }

    void start() {
        if (this->owner.queue.empty() && this->owner.preparations.has_room()) {
            this->begin();
            return;
        }
        this->position = this->owner.queue.insert(this->owner.queue.end(), this);
        const auto& options = this->owner.options;
        const base::milliseconds max_wait = this->owner.max_queue_time(this->arrived_at);
        const auto wait = this->owner.preparations.expected_wait(this->owner.queue.size() - 1);
        if (wait.has_value() && *wait > max_wait) {
            this->retry_after =
                std::clamp(std::chrono::duration_cast<base::milliseconds>(*wait - max_wait),
                           options.min_retry_after, options.max_retry_after);
            this->timeout =
                this->owner.loop.after(base::milliseconds{0}, [this] { this->reject(); });
            return;
        }
        this->retry_after = options.min_retry_after;
        this->timeout = this->owner.loop.after(options.max_queue_time, [this] { this->reject(); });
    }

    void begin() {
        this->timeout.reset();
        this->stage = stages::preparing;
        this->started_at = this->owner.clock.now();
        this->owner.preparations.begin();
        this->preparation =
            this->owner.begin(std::move(this->request),
                              [this](prepared_turn prepared) { this->on_prepared(prepared); });
    }

    bool may_be_in_time(base::instant now) const { return this->request.deadline > now; }

  private:
    enum class stages { waiting, preparing, finished };

    void on_prepared(prepared_turn& prepared) {
        this->stage = stages::finished;
        prepared.was_sent = true;
        prepared.queue_time = this->started_at - this->arrived_at;
        this->owner.preparations.end(this->started_at,
                                     prepared.outcome != turn_outcome::unavailable,
                                     this->owner.clock.now());
        this->owner.start_queued();
        // This must be last because the callback may destroy this object.
        const auto callback = std::exchange(this->done, nullptr);
        callback(std::move(prepared));
    }

    /// Rejects the turn without sending any request to the members.
    void reject() {
        this->leave();
        ++this->owner.rejected_count;
        prepared_turn result;
        result.outcome = turn_outcome::overloaded;
        result.queue_time = this->owner.clock.now() - this->arrived_at;
        result.retry_after = this->retry_after;
        const auto callback = std::exchange(this->done, nullptr);
        callback(std::move(result));
    }

    void leave() {
        switch (std::exchange(this->stage, stages::finished)) {
            case stages::waiting:
                this->owner.remove(this->position);
                return;
            case stages::preparing:
                this->owner.preparations.abandon();
                this->owner.start_queued();
                return;
            case stages::finished:
                return;
        }
    }

    friend class turn_admission;

    turn_admission& owner;
    turn_request request;
    turn_admission::done_callback done;
    base::instant arrived_at;
    base::instant started_at{};
    stages stage = stages::waiting;
    std::list<queued_turn*>::iterator position;
    base::milliseconds retry_after{0};
    std::unique_ptr<net::timer_handle> timeout;
    std::unique_ptr<turn_operation> preparation;
};

turn_admission::turn_admission(net::event_loop& loop, const base::clock& clock,
                               admission_options options, begin_step begin)
    : loop(loop),
      clock(clock),
      options(options),
      begin(std::move(begin)),
      preparations(options.window) {}

turn_admission::~turn_admission() = default;

std::unique_ptr<turn_operation> turn_admission::admit(turn_request request, done_callback done) {
    auto turn = std::make_unique<queued_turn>(*this, std::move(request), std::move(done));
    turn->start();
    return turn;
}

void turn_admission::start_queued() {
    while (!this->queue.empty() && this->preparations.has_room()) {
        const auto next = this->next_turn();
        queued_turn* turn = *next;
        this->remove(next);
        turn->begin();
    }
}

void turn_admission::remove(std::list<queued_turn*>::iterator position) {
    this->queue.erase(position);
    if (this->queue.empty()) {
        this->queue_nonempty_since.reset();
    }
}

base::milliseconds turn_admission::max_queue_time(base::instant now) {
    if (!this->queue_nonempty_since.has_value()) {
        this->queue_nonempty_since = now;
    }
    if (now - *this->queue_nonempty_since >= this->options.overload_threshold) {
        this->overloaded_until = now + this->options.overload_memory;
    }
    return now < this->overloaded_until ? this->options.max_queue_time_when_overloaded
                                        : this->options.max_queue_time;
}

/// Returns the first turn whose program can still meet its deadline, or the first turn if there is
/// none.
std::list<queued_turn*>::iterator turn_admission::next_turn() {
    const base::instant now = this->clock.now();
    const auto found = std::find_if(this->queue.begin(), this->queue.end(),
                                    [now](const auto* turn) { return turn->may_be_in_time(now); });
    return found == this->queue.end() ? this->queue.begin() : found;
}

}  // namespace pearbarrow::turns
