/// The copy of the directory that a storage member keeps on its disk. After a power failure while
/// the directory service is down, no other copy of the directory exists.
///
/// Back ends are stored one by one, so that a change writes only the entries that it affects: a
/// list of 10,000 back ends has 1 MB, and tens of them change every second during the release of a
/// service.
#pragma once

#include "pearbarrow/directory/directory_state.h"
#include "pearbarrow/turns/turn_store.h"

namespace pearbarrow::fleet {

class directory_copy {
  public:
    /// `store` must outlive this object.
    explicit directory_copy(turns::turn_store& store) : store(store) {}

    /// Writes the changed parts. `known` is the directory after the change.
    void save(const directory::directory_state::changes& changed,
              const directory::directory_state& known);
    /// Returns the stored directory, or an empty update if there is none.
    directory::directory_update load() const;

  private:
    turns::turn_store& store;
};

}  // namespace pearbarrow::fleet
