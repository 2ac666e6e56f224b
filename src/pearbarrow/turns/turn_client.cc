#include "pearbarrow/turns/turn_client.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/turns/majority_write.h"
#include "pearbarrow/turns/restarting_preparation.h"

namespace pearbarrow::turns {
namespace {

constexpr base::milliseconds settle_timeout{5'000};

/// Returns the program of a request; all entries of a request belong to one program.
base::program_id program_of(const finish_request& request) {
    if (!request.settled.empty()) {
        return request.settled.front().program;
    }
    return request.records.empty() ? base::program_id() : request.records.front().program;
}

/// Handle of the caller that waits for a write. Destroying it drops the callback, not the write.
class write_handle final : public turn_operation {
  public:
    explicit write_handle(std::weak_ptr<majority_write> write) : write_(std::move(write)) {}
    write_handle(const write_handle&) = delete;
    write_handle& operator=(const write_handle&) = delete;
    ~write_handle() override {
        if (const auto write = write_.lock(); write != nullptr) {
            write->detach();
        }
    }

  private:
    std::weak_ptr<majority_write> write_;
};

}  // namespace

std::string_view to_string(turn_outcome outcome) {
    switch (outcome) {
        case turn_outcome::may_run:
            return "may_run";
        case turn_outcome::budget_exceeded:
            return "budget_exceeded";
        case turn_outcome::no_such_turn:
            return "no_such_turn";
        case turn_outcome::unavailable:
            return "storage_unavailable";
        case turn_outcome::overloaded:
            return "storage_overloaded";
    }
    return "unknown";
}

turn_client::turn_client(net::event_loop& loop, const base::clock& clock, member_caller& caller,
                         client_options options)
    : loop_(loop), clock_(clock), caller_(caller), options_(std::move(options)), ended_(loop) {}

turn_client::~turn_client() = default;

void turn_client::set_view(const directory::storage_view& view) {
    views_.set_view(view);
}

std::uint32_t turn_client::group_of(const base::program_id& program) const {
    return views_.group_of(program);
}

turn_admission& turn_client::queue_of(const base::program_id& program) {
    const std::uint32_t group = this->group_of(program);
    const auto found = queues_.find(group);
    if (found != queues_.end()) {
        return found->second;
    }
    const auto begin = [this](turn_request request, auto done) -> std::unique_ptr<turn_operation> {
        auto step = std::make_unique<restarting_preparation>(
            loop_, clock_, caller_, options_, views_, std::move(request), std::move(done));
        step->start();
        return step;
    };
    return queues_.try_emplace(group, loop_, clock_, options_.admission, begin).first->second;
}

const turn_admission& turn_client::admission_of(const base::program_id& program) {
    return queue_of(program);
}

admission_counts turn_client::counts() const {
    admission_counts counts;
    for (const auto& [group, queue] : queues_) {
        counts.waiting += queue.waiting();
        counts.window += queue.window();
        counts.rejected += queue.rejected();
    }
    return counts;
}

std::size_t turn_client::unconfirmed_writes() const {
    return static_cast<std::size_t>(
        std::count_if(writes_.begin(), writes_.end(),
                      [](const auto& entry) { return !entry.second->is_confirmed(); }));
}

std::unique_ptr<turn_operation> turn_client::prepare(turn_request request,
                                                     std::function<void(prepared_turn)> done) {
    turn_admission& queue = queue_of(request.wanted.program);
    return queue.admit(std::move(request), std::move(done));
}

std::unique_ptr<turn_operation> turn_client::store(finish_request request,
                                                   base::milliseconds timeout,
                                                   std::function<void(absl::Status)> done) {
    const std::uint64_t number = ++last_write_;
    const std::uint32_t group = group_of(program_of(request));
    auto write = std::make_shared<majority_write>(
        loop_, caller_, options_, views_, group, std::move(request), timeout,
        majority_write::callbacks{.done = std::move(done), .over = [this, number] {
                                      // The write is destroyed later because it owns this callback.
                                      auto node = writes_.extract(number);
                                      ended_.add(std::move(node.mapped()));
                                  }});
    writes_[number] = write;
    write->start();
    return std::make_unique<write_handle>(write);
}

void turn_client::settle(const reservation& settled) {
    finish_request request;
    request.settled.push_back(settled);
    store(std::move(request), settle_timeout, nullptr).reset();
}

}  // namespace pearbarrow::turns
