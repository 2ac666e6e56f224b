/// Bounded store of recent decision records.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/placement/decision.h"

namespace pearbarrow::placement {

class record_store {
  public:
    explicit record_store(std::size_t limit) : limit_(limit) {}

    void add(std::shared_ptr<const decision_record> record) {
        if (limit_ == 0) {
            return;
        }
        const base::attempt_id attempt = record->inputs.attempt;
        if (records_.insert_or_assign(attempt, std::move(record)).second) {
            order_.push_back(attempt);
        }
        if (order_.size() > limit_) {
            records_.erase(order_.front());
            order_.pop_front();
        }
    }
    std::optional<decision_record> find(const base::attempt_id& attempt) const {
        const auto found = records_.find(attempt);
        return found == records_.end() ? std::nullopt : std::optional(*found->second);
    }

  private:
    std::size_t limit_;
    absl::flat_hash_map<base::attempt_id, std::shared_ptr<const decision_record>> records_;
    std::deque<base::attempt_id> order_;
};

}  // namespace pearbarrow::placement
