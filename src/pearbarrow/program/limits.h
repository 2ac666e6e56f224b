/// Admission checks of programs and calls: limits of the program, its tenant and its class.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/config/bounds.h"
#include "pearbarrow/program/owner_options.h"
#include "pearbarrow/program/program_state.h"
#include "pearbarrow/program/shard_events.h"

namespace pearbarrow::program {

/// Returns the limits of a program: the smaller of its own and the configured value, or the one
/// that is set, or else the owner's default.
wire::program_limits limits_of(const program_state& program, const config::limits& configured,
                               const wire::program_limits& defaults);

/// Refuses a budget above the configured bound with `budget_above_limit`.
absl::Status check_budget(std::uint64_t token_budget, const config::limits& configured);

/// Refuses a call with `turn_limit`, or with `loop_detected` when the last `equal_calls` calls have
/// the same hash.
absl::Status check_program_limits(const program_state& program, std::uint64_t body_hash,
                                  const wire::program_limits& limits);

/// Returns an error that states that nothing was executed. A zero `retry_after` means that a retry
/// does not help.
absl::Status refusal(absl::StatusCode code, std::string_view message, std::string_view reason,
                     base::milliseconds retry_after = base::milliseconds(0));

/// Counts open programs and unfinished calls by tenant and by class, and checks their limits.
class concurrency {
  public:
    void set_limits(std::vector<event::concurrency_limit> limits) { limits_ = std::move(limits); }

    /// These checks refuse with `tenant_concurrency` or `class_concurrency`.
    absl::Status check_open(const base::tenant_id& tenant, const std::string& program_class,
                            base::milliseconds retry_after) const;
    absl::Status check_call(const program_state& program, base::milliseconds retry_after) const;

    void add_program(const program_state& program);
    void remove_program(const program_state& program);
    void add_call(const program_state& program);
    void remove_call(const program_state& program);

  private:
    struct usage {
        std::uint64_t programs = 0;
        std::uint64_t calls = 0;
    };
    const event::concurrency_limit* tenant_limit(const base::tenant_id& tenant) const;
    const event::concurrency_limit* class_limit(const std::string& program_class) const;
    usage usage_of(const base::tenant_id& tenant) const;
    usage usage_of_class(const std::string& program_class) const;
    template <typename Change>
    void change(const program_state& program, Change apply);

    std::vector<event::concurrency_limit> limits_;
    std::map<base::tenant_id, usage> by_tenant_;
    std::map<std::string, usage> by_class_;
};

}  // namespace pearbarrow::program
