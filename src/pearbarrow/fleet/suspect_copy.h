/// The copy of the suspects that a storage member keeps on its disk. After all nodes have failed at
/// once, no other copy exists.
///
/// A reservation contains one attempt of each try; the copy contains those that followed within the
/// try, and the attempts of requests without a reservation. Changes are written without waiting for
/// the disk, so a loss of power may take what became known within the last writes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/suspects/suspect_exchange.h"
#include "pearbarrow/turns/turn_store.h"

namespace pearbarrow::fleet {

class suspect_copy final : public suspects::suspect_observer {
  public:
    /// The parameters must outlive this object.
    suspect_copy(turns::turn_store& store, suspects::suspect_exchange& exchange,
                 const base::clock& clock)
        : store(store), exchange(exchange), clock(clock) {}
    ~suspect_copy() override { this->exchange.set_observer(nullptr); }

    /// Adds the stored suspects to the exchange. Their ages do not contain the time during which
    /// the member was down, since the wall clock may have been stepped.
    void restore();
    /// Stores what the exchange learns from now on.
    void follow() { this->exchange.set_observer(this); }
    std::size_t stored_count() const { return this->stored.size(); }
    void on_changed(const std::string& digest) override;
    void on_expired() override;

  private:
    void write(turns::suspect_entry entry);

    turns::turn_store& store;
    suspects::suspect_exchange& exchange;
    const base::clock& clock;
    /// Hash of what is stored of each suspect, without its ages.
    std::map<std::string, std::uint64_t> stored;
};

}  // namespace pearbarrow::fleet
