/// Recently used conversations, bounded in bytes. The journal keeps all of them.
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

/// What the journal retains of one finished call.
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

/// Least recently used programs leave first. The newest one stays even when it alone is larger
/// than the bound, since its call could not run otherwise.
class history_cache {
  public:
    explicit history_cache(std::uint64_t max_bytes) : max_bytes_(max_bytes) {}

    /// The history of `program`, or null when it must be read; counts as a use.
    const program_history* find(const base::program_id& program);
    void put(const base::program_id& program, program_history history);
    /// Adds a call to a history that is cached; does nothing when it is not.
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
