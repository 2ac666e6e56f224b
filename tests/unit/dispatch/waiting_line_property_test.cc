// Many histories of a waiting line, each from a seed: nobody is lost, nobody served twice, nobody
// held beyond the limit, and no choice passes over one that goes before it.
#include <criterion/criterion.h>

#include <map>

#include "pearbarrow/base/random.h"
#include "pearbarrow/dispatch/waiting_line.h"

using namespace pearbarrow;
using namespace pearbarrow::dispatch;
using base::milliseconds;

namespace {

constexpr std::uint64_t histories = 300;
constexpr int steps = 400;

struct history {
    explicit history(std::uint64_t seed) : random(seed) {}

    void enter() {
        const int name = ++entered;
        const urgency order{.priority = static_cast<std::uint32_t>(random.below(3)),
                            .turns_left = 1 + 4 * random.unit(),
                            .wanted_by = now + milliseconds{random.below(1'500)}};
        const base::instant limit = now + milliseconds{1 + random.below(800)};
        const auto place =
            line.enter({.order = order, .since = now, .at_latest = limit, .on_turn = [this, name] {
                            serve(name);
                        }});
        waiting[name] = {order, limit, place};
    }
    void serve(int name) {
        cr_assert(waiting.erase(name) == 1, "served twice, or after it left");
        ++served;
    }
    void leave() {
        if (waiting.empty()) {
            return;
        }
        auto chosen = waiting.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(random.below(waiting.size())));
        line.leave(chosen->second.place);
        waiting.erase(chosen);
        ++left;
    }
    bool is_in_time(const urgency& order) const {
        const double work = order.turns_left * static_cast<double>(turn_time.count());
        return order.wanted_by >= now + base::microseconds(static_cast<std::int64_t>(work));
    }
    void take() {
        bool anyone_in_time = false;
        for (const auto& [name, one] : waiting) {
            anyone_in_time = anyone_in_time || is_in_time(one.order);
        }
        auto next = line.take_next(now, turn_time);
        cr_assert(next.has_value() == !waiting.empty());
        if (next.has_value()) {
            cr_assert(is_in_time(next->order) == anyone_in_time,
                      "one that can't be in time went first");
            next->on_turn();
        }
    }
    void tick() {
        now += milliseconds{random.below(60)};
        while (auto overdue = line.take_overdue(now)) {
            overdue->on_turn();
        }
        for (const auto& [name, one] : waiting) {
            cr_assert(one.limit > now, "held beyond its limit");
        }
    }
    void run() {
        for (int step = 0; step < steps; ++step) {
            const std::uint64_t drawn = random.below(10);
            if (drawn < 4) {
                enter();
            } else if (drawn < 5) {
                leave();
            } else if (drawn < 8) {
                take();
            } else {
                tick();
            }
            cr_assert(line.size() == waiting.size());
        }
        while (!line.is_empty()) {
            take();
        }
        cr_assert(served + left == entered, "a request was lost");
    }

    struct expected {
        urgency order;
        base::instant limit;
        waiting_line::place place = 0;
    };
    base::random_source random;
    base::instant now{};
    base::microseconds turn_time = milliseconds{200};
    waiting_line line;
    std::map<int, expected> waiting;
    int entered = 0;
    int served = 0;
    int left = 0;
};

}  // namespace

Test(waiting_line_property, nobody_is_lost_doubled_or_held_too_long) {
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        history(seed).run();
    }
}
