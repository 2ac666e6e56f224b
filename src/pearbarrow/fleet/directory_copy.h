/// What a storage member keeps of the directory on its disk: after a loss of power while the
/// outside service is down, this is all that anyone knows.
///
/// Back ends are kept one by one, so that a change writes what has changed: of 10,000 back ends a
/// list is 1 MB, and tens of them change every second while a service is released.
#pragma once

#include "pearbarrow/directory/directory_state.h"
#include "pearbarrow/turns/turn_store.h"

namespace pearbarrow::fleet {

class directory_copy {
  public:
    /// `store` must live as long.
    explicit directory_copy(turns::turn_store& store) : store(store) {}

    /// Writes what has changed. `known`: the directory after the change.
    void keep(const directory::directory_state::changes& changed,
              const directory::directory_state& known);
    /// What was kept; empty when nothing was.
    directory::directory_update recall() const;

  private:
    turns::turn_store& store;
};

}  // namespace pearbarrow::fleet
