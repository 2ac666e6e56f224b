/// Asks the process at the address of a back end which back end it is.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::suspects {

enum class identity_reply {
    /// The process responded as this back end.
    same,
    /// Another process responded.
    other,
    /// There was no response, or the connection was lost.
    none,
};

/// A question in progress. Destroying it cancels it without running its callback.
class identity_question {
  public:
    virtual ~identity_question() = default;
};

class identity_source {
  public:
    virtual ~identity_source() = default;
    /// Asks on a new connection. `done` runs once, never inside this call, and must not destroy the
    /// question. Returns null if back ends of the service cannot be asked.
    [[nodiscard]] virtual std::unique_ptr<identity_question> ask(
        const directory::backend& target, base::milliseconds timeout,
        std::function<void(identity_reply)> done) = 0;
};

}  // namespace pearbarrow::suspects
