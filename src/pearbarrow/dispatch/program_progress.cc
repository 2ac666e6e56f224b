#include "pearbarrow/dispatch/program_progress.h"

#include <algorithm>
#include <numeric>

namespace pearbarrow::dispatch {

void program_progress::note_turn(const std::string& route, std::size_t earlier) {
    if (this->routes.size() >= most_routes && this->routes.count(route) == 0) {
        this->routes.clear();
    }
    route_counts& counts = this->routes[route];
    ++counts.turns[std::min(earlier, most_turns - 1)];
    ++counts.sum;
    if (counts.sum >= fading_turns) {
        for (double& count : counts.turns) {
            count /= 2;
        }
        counts.sum /= 2;
    }
}

double program_progress::turns_left(const std::string& route, std::size_t earlier) const {
    const auto found = this->routes.find(route);
    if (found == this->routes.end() || found->second.turns.front() < least_programs) {
        return 1;
    }
    const auto& turns = found->second.turns;
    const std::size_t at = std::min(earlier, most_turns - 1);
    const double here = std::max(turns[at], 1.0);
    const double after =
        std::accumulate(turns.begin() + static_cast<std::ptrdiff_t>(at) + 1, turns.end(), 0.0);
    return 1 + after / here;
}

}  // namespace pearbarrow::dispatch
