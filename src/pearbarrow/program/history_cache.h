/// A cache of recently used conversations, bounded in bytes. The journal keeps all conversations.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/program/records.h"

namespace pearbarrow::program {

/// The data of one finished call that the journal retains.
struct finished_call {
    wire::call_body body;
    result_record result;
};

/// All finished calls of one program, in order.
struct program_history {
    std::map<base::call_number, finished_call> calls;

    std::uint64_t bytes() const;
    /// The conversation: the turns of the calls that succeeded.
    std::vector<wire::chat_message> messages() const;
};

/// Rebuilds a history from retained records in journal order.
absl::StatusOr<program_history> history_from(const base::program_id& program,
                                             const std::vector<std::string>& payloads);

/// LRU cache of program histories. The most recently used history stays even when it alone exceeds
/// the bound, since its call could not run otherwise.
class history_cache {
  public:
    explicit history_cache(std::uint64_t max_bytes) : max_bytes_(max_bytes) {}

    /// Returns the history of `program` and marks it as used, or null when it is not cached.
    const program_history* find(const base::program_id& program);
    void put(const base::program_id& program, program_history history);
    /// Adds a call to a cached history. Does nothing when the history is not cached.
    void add(const base::program_id& program, base::call_number number, finished_call call);
    void erase(const base::program_id& program);
    std::uint64_t bytes() const { return bytes_; }

  private:
    struct entry {
        program_history history;
        std::uint64_t bytes = 0;
        std::list<base::program_id>::iterator position;
    };

    void shrink();

    std::uint64_t max_bytes_;
    std::uint64_t bytes_ = 0;
    std::map<base::program_id, entry> entries_;
    /// Most recently used first.
    std::list<base::program_id> order_;
};

}  // namespace pearbarrow::program
