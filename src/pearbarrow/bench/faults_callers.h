/// A caller that carries one program through, whatever happens on the way.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pearbarrow/bench/faults_service.h"

namespace pearbarrow::bench::faults {

/// What the caller is going to do.
struct program_plan {
    base::program_id program;
    base::tenant_id tenant;
    std::uint64_t budget = 0;
    std::optional<wire::parent_reference> parent;
    std::vector<wire::call_body> calls;
    /// Calls submitted at once, in any order.
    std::uint64_t window = 1;
    /// Chances that a call is cancelled on the way, and sent through two gateways at once.
    double cancel_chance = 0;
    double twice_chance = 0;
    /// Chance that a broken answer is taken up by attaching instead of submitting again.
    double attach_chance = 0;
    /// The caller goes away after its last call, without ending the program.
    bool abandons = false;
    /// Program of which a sub-program is opened after the first call; empty: none.
    std::shared_ptr<program_plan> child;
    bool wait_for_child = false;
};

program_plan draw_plan(simulated_service& world, const base::program_id& program,
                       bool may_have_child);

class program_caller : public std::enable_shared_from_this<program_caller> {
  public:
    program_caller(simulated_service& world, program_plan plan);
    void start();
    /// Runs `done` when the caller has finished.
    void when_done(std::function<void()> done) { done_ = std::move(done); }

  private:
    /// What one request's reader has put together so far.
    struct reading {
        std::string text;
        std::string last_event_id;
    };

    void open();
    void submit_window();
    void submit(std::uint64_t index);
    void send_submit(std::uint64_t index);
    /// `repeated`: another request for the same call was sent in the meantime.
    wire::program_request request_for(std::uint64_t index, const reading& reader);
    void on_answer(std::uint64_t index, const reading& reader,
                   const absl::StatusOr<wire::program_reply>& reply, bool repeated);
    void on_success(std::uint64_t index, const reading& reader, const wire::call_result& result);
    void conclude(std::uint64_t index);
    void cancel_later(std::uint64_t index);
    void probe();
    void open_child();
    void read_history();
    void end();
    void abandon();
    void finish();
    /// Repeats `request` until it is answered by something that repeating would not change.
    void persist(wire::program_request request,
                 std::function<void(const absl::StatusOr<wire::program_reply>&)> done);
    wire::program_request blank() const;
    call_answers& answers(std::uint64_t index);

    simulated_service& world_;
    program_plan plan_;
    std::uint64_t window_begin_ = 0;
    std::uint64_t window_end_ = 0;
    std::map<std::uint64_t, bool> concluded_;
    std::map<std::uint64_t, reading> latest_;
    /// The budget is used up: no further calls are made.
    bool out_of_budget_ = false;
    bool child_opened_ = false;
    std::function<void()> done_;
};

}  // namespace pearbarrow::bench::faults
