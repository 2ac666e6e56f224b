/// What must hold of a shard's journal, checked against what the leaders of a simulation report.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::simulation {

/// One record as its owner knows it.
struct known_record {
    std::string payload;
    std::string retention_key;
    std::vector<std::string> dropped_prefixes;

    bool operator==(const known_record&) const = default;
};

using record_map = std::map<base::log_index, known_record>;

/// Collects violations as sentences; an empty list is a pass.
class journal_checker {
  public:
    /// A leader has told its owner that the record is committed.
    void on_committed(const std::string& process, const base::ballot& ballot, base::log_index index,
                      const known_record& record);
    /// A leader has begun its reign with these records.
    void on_recovered(const std::string& process, const base::ballot& ballot,
                      const record_map& records, base::instant now);
    /// The leader of `ballot` was confirmed; its owner had asked at `asked`.
    void on_confirmed(const base::ballot& ballot, base::instant asked);
    /// The answer to a read of `prefix` asked when `at_request` records were known as committed.
    void on_retained(const std::string& prefix, const record_map& at_request,
                     const std::vector<wire::journal_entry>& entries);
    void violate(std::string sentence);

    const record_map& records() const { return records_; }
    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t operations() const { return operations_; }

  private:
    void acknowledge(const base::ballot& ballot, base::log_index index, const known_record& record);
    void note_committer(const std::string& process, const base::ballot& ballot);

    record_map records_;
    /// Lowest ballot under which each record was reported as committed.
    std::map<base::log_index, base::ballot> acknowledged_by_;
    std::map<base::ballot, std::string> committers_;
    std::map<base::ballot, base::instant> recovered_at_;
    std::vector<std::string> violations_;
    std::size_t operations_ = 0;
};

/// Committed records under `prefix` that no committed drop covers.
record_map retained_records(const record_map& records, const std::string& prefix);

}  // namespace pearbarrow::simulation
