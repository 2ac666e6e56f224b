/// Keeps objects that ended inside one of their own callbacks until the callback returns.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "pearbarrow/net/event_loop.h"

namespace pearbarrow::net {

/// Frees the added objects on the event loop or in its own destructor, whichever comes first. The
/// dependencies of the objects must outlive this container, as a member of the owner does.
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
        // The task holds the list weakly: an event loop that outlives the owner must not keep its
        // objects.
        this->loop.post([waiting = std::weak_ptr(this->objects)] {
            if (const auto list = waiting.lock(); list != nullptr) {
                // The list is emptied first because freeing an object may end others.
                const std::vector<Pointer> freed = std::exchange(*list, {});
            }
        });
    }

  private:
    event_loop& loop;
    std::shared_ptr<std::vector<Pointer>> objects = std::make_shared<std::vector<Pointer>>();
};

}  // namespace pearbarrow::net
