#include "pearbarrow/forward/admission.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pearbarrow::forward {
namespace {

/// Weight of the newest answer in the mean time.
constexpr double newest_weight = 0.05;

}  // namespace

class admission::line_ticket final : public ticket {
  public:
    line_ticket(dispatch::waiting_line& line, dispatch::waiting_line::place number)
        : line(line), number(number) {}
    line_ticket(const line_ticket&) = delete;
    line_ticket& operator=(const line_ticket&) = delete;
    ~line_ticket() override { this->line.leave(this->number); }

  private:
    dispatch::waiting_line& line;
    dispatch::waiting_line::place number;
};

admission::admission(net::event_loop& loop, const base::clock& clock, backend_pool& pool,
                     admission_options options)
    : loop(loop), clock(clock), pool(pool), options(std::move(options)), others({}) {
    this->pool.set_shared_load(this->others);
}

admission::~admission() {
    *this->alive = false;
}

std::unique_ptr<admission::ticket> admission::enter(const std::string& service,
                                                    const dispatch::urgency& order,
                                                    base::milliseconds time_left,
                                                    std::function<void()> on_turn) {
    service_line& waiting = this->lines[service];
    if (waiting.line.is_empty() && this->has_room(service, waiting)) {
        on_turn();
        return nullptr;
    }
    const base::instant now = this->clock.now();
    const auto longest = std::min(this->options.longest_wait, time_left / 2);
    const auto number = waiting.line.enter(
        {.order = order, .since = now, .at_latest = now + longest, .on_turn = std::move(on_turn)});
    // Posted: the caller does not hold its ticket yet.
    this->serve_later();
    return std::make_unique<line_ticket>(waiting.line, number);
}

void admission::note_ended(const std::string& service, base::microseconds took) {
    service_line& waiting = this->lines[service];
    if (took.count() > 0) {
        const auto time = static_cast<double>(took.count());
        waiting.mean_time = waiting.mean_time == 0
                                ? time
                                : waiting.mean_time + newest_weight * (time - waiting.mean_time);
    }
    if (!waiting.line.is_empty()) {
        this->serve_later();
    }
}

std::size_t admission::waiting_count() const {
    return std::accumulate(
        this->lines.begin(), this->lines.end(), std::size_t{0},
        [](std::size_t sum, const auto& item) { return sum + item.second.line.size(); });
}

base::microseconds admission::least_work(const service_line& waiting) const {
    return base::microseconds(
        static_cast<std::int64_t>(this->options.least_share_of_turn * waiting.mean_time));
}

bool admission::has_room(const std::string& service, service_line& waiting) {
    const base::instant now = this->clock.now();
    if (!this->options.hold_back || !this->others.is_known(now)) {
        return true;
    }
    const service_load load = this->pool.load_of_service(service, now);
    const auto in_time =
        static_cast<double>(waiting.line.count_in_time(now, this->least_work(waiting)));
    const double own_demand = load.own + in_time + 1;
    const double demand = own_demand + load.elsewhere + this->others.waiting(now);
    return load.own < std::max(1.0, load.admitted * own_demand / std::max(demand, load.admitted));
}

dispatch::load_report admission::report(bool wants_totals) {
    if (!this->options.share_load) {
        return {};
    }
    dispatch::load_report report{.node = this->options.node,
                                 .life = this->options.life,
                                 .number = ++this->last_report,
                                 .loads = this->pool.own_loads(this->clock.now()),
                                 .wants_totals = wants_totals};
    const base::instant now = this->clock.now();
    for (const auto& [service, waiting] : this->lines) {
        report.waiting +=
            static_cast<std::uint32_t>(waiting.line.count_in_time(now, this->least_work(waiting)));
    }
    return report;
}

void admission::take(const dispatch::load_totals& totals) {
    this->others.take(totals, this->clock.now());
    if (totals.is_given && this->is_waiting()) {
        this->serve_later();
    }
}

void admission::serve_later() {
    if (std::exchange(this->look_is_posted, true)) {
        return;
    }
    this->loop.post([this, alive = this->alive] {
        if (*alive) {
            this->look_is_posted = false;
            this->serve_all();
        }
    });
}

void admission::serve_all() {
    for (auto& [service, waiting] : this->lines) {
        this->serve(service, waiting);
    }
    this->next_look = this->is_waiting() ? this->loop.after(this->options.look_interval,
                                                            [this] { this->serve_all(); })
                                         : nullptr;
}

void admission::serve(const std::string& service, service_line& waiting) {
    while (auto overdue = waiting.line.take_overdue(this->clock.now())) {
        overdue->on_turn();
    }
    while (!waiting.line.is_empty() && this->has_room(service, waiting)) {
        auto next = waiting.line.take_next(this->clock.now(), this->least_work(waiting));
        next->on_turn();
    }
}

}  // namespace pearbarrow::forward
