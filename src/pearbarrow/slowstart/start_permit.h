/// Whether a request may be sent now to a back end that has just started.
///
/// A cold back end bears a rate from all callers together, so no node can judge by itself: a permit
/// is a part of that rate. Behind an interface, since there are several ways to divide it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/turns/turn_operation.h"

namespace pearbarrow::slowstart {

/// One start of a back end's process, and what it bears while it is cold.
struct cold_start {
    std::string backend;
    /// As `directory::backend::started_at`.
    std::uint64_t started_at = 0;
    /// Requests a second from all nodes together.
    double rate = 0;
};

enum class permit_verdict : std::uint8_t {
    /// One request may be sent now.
    granted,
    /// The back end's rate is used up.
    refused,
    /// Nobody who could grant answered: the request goes elsewhere.
    unanswered,
};

std::string_view to_string(permit_verdict verdict);

struct permit_decision {
    permit_verdict verdict = permit_verdict::unanswered;
    /// Until one may be had, as far as is known.
    base::milliseconds retry_after{0};
};

class permit_source {
  public:
    virtual ~permit_source() = default;
    /// `done` runs once, never before this returns; the operation may not be destroyed inside it.
    /// Destroying it before ends the question.
    [[nodiscard]] virtual std::unique_ptr<turns::turn_operation> ask(
        const cold_start& target, std::function<void(const permit_decision&)> done) = 0;
};

}  // namespace pearbarrow::slowstart
