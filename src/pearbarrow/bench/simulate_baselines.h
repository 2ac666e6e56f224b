/// The baseline policies. Each sends a call on at once; engines queue in order of arrival. They
/// count what is in flight exactly, which favours them over routers that go by load reports.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/bench/simulate_policy.h"
#include "pearbarrow/placement/prefix_directory.h"

namespace pearbarrow::bench {

class immediate_policy : public placement_policy {
  public:
    explicit immediate_policy(const experiment& setup);
    void offer(const call_view& call, sim_time now, policy_output& output) final;
    void finished(const call_result& result, sim_time now, policy_output& output) override;
    bool releases() const final { return release_; }

  protected:
    virtual std::uint32_t choose(const call_view& call, sim_time now) = 0;
    /// The engine with the fewest calls in flight; ties in turn.
    std::uint32_t least_loaded();

    std::vector<std::uint32_t> in_flight_;

  private:
    bool release_;
    std::uint32_t turn_ = 0;
};

class round_robin_policy final : public immediate_policy {
  public:
    using immediate_policy::immediate_policy;

  private:
    std::uint32_t choose(const call_view& call, sim_time now) override;
    std::uint32_t next_ = 0;
};

class least_loaded_policy final : public immediate_policy {
  public:
    using immediate_policy::immediate_policy;

  private:
    std::uint32_t choose(const call_view& call, sim_time now) override { return least_loaded(); }
};

/// The engine believed to hold the longest part of the prompt, when that is at least half of it and
/// the engines are not out of balance; else the least loaded one. The rule and its numbers follow
/// the cache-aware routers in use with SGLang and vLLM.
class prefix_affinity_policy final : public immediate_policy {
  public:
    prefix_affinity_policy(const experiment& setup, std::uint32_t balance_difference);
    void finished(const call_result& result, sim_time now, policy_output& output) override;
    void program_ended(std::uint32_t program, sim_time now, policy_output& output) override;
    void evicted(std::uint32_t engine, std::uint32_t program, std::uint32_t tokens_left,
                 sim_time now) override;

  private:
    std::uint32_t choose(const call_view& call, sim_time now) override;

    std::uint32_t balance_difference_;
    placement::prefix_directory directory_;
    std::vector<placement::prefix_directory::held_tokens> held_;
};

}  // namespace pearbarrow::bench
