/// Objects that ended inside one of their own callbacks, kept until it has returned.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "pearbarrow/net/event_loop.h"

namespace pearbarrow::net {

/// Frees what is added from the loop, or with itself, whichever comes first: what an object refers
/// to must outlive this, as a member of the owner does.
template <typename Pointer>
class ended_objects {
  public:
    explicit ended_objects(event_loop& loop) : loop(loop) {}
    ended_objects(const ended_objects&) = delete;
    ended_objects& operator=(const ended_objects&) = delete;

    void add(Pointer object) {
        this->objects->push_back(std::move(object));
        if (this->objects->size() > 1) {
            return;
        }
        // Holds the list weakly: a loop that outlives the owner must not keep its objects.
        this->loop.post([waiting = std::weak_ptr(this->objects)] {
            if (const auto list = waiting.lock(); list != nullptr) {
                // Taken out first: what is freed may end others.
                const std::vector<Pointer> freed = std::exchange(*list, {});
            }
        });
    }

  private:
    event_loop& loop;
    std::shared_ptr<std::vector<Pointer>> objects = std::make_shared<std::vector<Pointer>>();
};

}  // namespace pearbarrow::net
