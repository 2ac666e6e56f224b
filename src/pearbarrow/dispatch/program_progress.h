/// How many turns a program still has before it, learnt from the turns of earlier programs.
///
/// A pure state machine. Of each route it counts how many turns came as the first, second and so on
/// of their program; a program that has had some is expected to go on as long as others went on.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace pearbarrow::dispatch {

class program_progress {
  public:
    /// A turn has come whose program had `earlier` turns before.
    void note_turn(const std::string& route, std::size_t earlier);
    /// Turns that are expected, this one among them; 1 when nothing is known.
    double turns_left(const std::string& route, std::size_t earlier) const;

  private:
    /// Programs with more turns count as having this many.
    static constexpr std::size_t most_turns = 64;
    /// Turns of a route after which all counts are halved, so that old ones fade.
    static constexpr double fading_turns = 4'000;
    /// Fewer first turns than these say nothing.
    static constexpr double least_programs = 20;
    /// Routes come and go with the configuration; beyond these all are learnt anew.
    static constexpr std::size_t most_routes = 256;

    struct route_counts {
        std::array<double, most_turns> turns{};
        double sum = 0;
    };

    std::map<std::string, route_counts> routes;
};

}  // namespace pearbarrow::dispatch
