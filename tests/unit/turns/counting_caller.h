/// Storage members that never reply, with a count of the calls in flight.
#pragma once

#include <memory>
#include <string>

#include "pearbarrow/turns/member_caller.h"

namespace pearbarrow::turns::testing {

class counting_caller final : public member_caller {
  public:
    std::unique_ptr<net::peer_call_handle> call(const directory::storage_member& /*member*/,
                                                net::method_number /*method*/,
                                                std::string /*payload*/,
                                                base::milliseconds /*timeout*/,
                                                reply_handler /*on_reply*/) override {
        return std::make_unique<open_call>(this->open);
    }

    /// Shared, so that it can be read after the caller is destroyed.
    std::shared_ptr<int> open = std::make_shared<int>(0);

  private:
    class open_call final : public net::peer_call_handle {
      public:
        explicit open_call(std::shared_ptr<int> count) : count(std::move(count)) { ++*this->count; }
        open_call(const open_call&) = delete;
        open_call& operator=(const open_call&) = delete;
        ~open_call() override { --*this->count; }
        void cancel() override {}

      private:
        std::shared_ptr<int> count;
    };
};

inline directory::storage_view view_of_three() {
    directory::storage_view view{.revision = 1, .members = {}};
    for (const char* name : {"store-a", "store-b", "store-c"}) {
        view.members.push_back({.node = base::node_id(name), .address = {}, .zone = "a"});
    }
    return view;
}

}  // namespace pearbarrow::turns::testing
