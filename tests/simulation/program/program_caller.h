/// A caller that runs one program to its end and retries after faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "program_world.h"

namespace pearbarrow::simulation {

/// The calls and options of one caller.
struct program_plan {
    base::program_id program;
    base::tenant_id tenant;
    std::uint64_t budget = 0;
    std::optional<wire::parent_reference> parent;
    std::vector<wire::call_body> calls;
    /// Number of calls submitted concurrently, in any order.
    std::uint64_t window = 1;
    /// Probabilities that a call is cancelled while it runs, and that it is submitted twice.
    double cancel_chance = 0;
    double twice_chance = 0;
    /// Plan of the sub-program that is opened after the first window of calls; null if there is
    /// none.
    std::shared_ptr<program_plan> child;
    bool wait_for_child = false;
};

program_plan random_plan(program_world& world, const base::program_id& program,
                         bool may_have_child);

class program_caller : public std::enable_shared_from_this<program_caller> {
  public:
    program_caller(program_world& world, program_plan plan);
    void start();
    /// Runs `done` when the caller has finished.
    void when_done(std::function<void()> done) { done_ = std::move(done); }

  private:
    /// Text and last event id that the reader of one request has received.
    struct reading {
        std::string text;
        std::string last_event_id;
    };

    void open();
    void submit_window();
    void submit(std::uint64_t index);
    void send_submit(std::uint64_t index);
    /// `repeated`: another request for the same call was sent in the meantime.
    void on_reply(std::uint64_t index, const reading& reader,
                  const absl::StatusOr<wire::program_reply>& reply, bool repeated);
    void on_success(std::uint64_t index, const reading& reader, const wire::call_result& result);
    void conclude(std::uint64_t index);
    void cancel_later(std::uint64_t index);
    void probe();
    void open_child();
    void read_history();
    void end();
    void finish();
    /// Repeats `request` until its reply is final.
    void persist(wire::program_request request,
                 std::function<void(const absl::StatusOr<wire::program_reply>&)> done);
    wire::program_request blank() const;
    call_replies& replies(std::uint64_t index);

    program_world& world_;
    program_plan plan_;
    std::uint64_t window_begin_ = 0;
    std::uint64_t window_end_ = 0;
    std::map<std::uint64_t, bool> concluded_;
    std::map<std::uint64_t, reading> latest_;
    /// The budget is exhausted and no further calls are made.
    bool out_of_budget_ = false;
    bool child_opened_ = false;
    std::function<void()> done_;
};

}  // namespace pearbarrow::simulation
