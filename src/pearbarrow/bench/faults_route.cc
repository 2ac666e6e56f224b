#include "pearbarrow/bench/faults_route.h"

#include <algorithm>
#include <string>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/bench/faults_node.h"
#include "pearbarrow/bench/faults_shard_host.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench::faults {

namespace {

/// When the end of a cut connection is noticed.
constexpr std::int64_t soonest_notice_us = 300'000;
constexpr std::int64_t latest_notice_us = 3'000'000;

absl::Status owner_lost() {
    return base::make_error(
        absl::StatusCode::kUnavailable, "connection to the owner broke",
        {.step = "route", .reason = "owner_lost", .was_executed = base::executed::unknown});
}

std::string describe(const wire::program_request& request) {
    std::string text = request.program.value();
    if (request.submit) {
        text += fmt::format(" submit {} after '{}'", request.submit->number.value(),
                            request.submit->last_event_id);
    } else if (request.attach) {
        text += fmt::format(" attach {} after '{}'", request.attach->number.value(),
                            request.attach->last_event_id);
    } else if (request.cancel) {
        text += fmt::format(" cancel {}", request.cancel->number.value());
    } else if (request.open || request.open_child) {
        text += " open";
    } else if (request.end) {
        text += " end";
    } else if (request.return_budget) {
        text += " return budget";
    }
    return text;
}

}  // namespace

request_route::request_route(fault_world& world, std::uint64_t number, std::size_t gateway,
                             wire::program_request request, answer_callbacks callbacks)
    : world_(world),
      number_(number),
      gateway_(gateway),
      request_(std::move(request)),
      callbacks_(std::move(callbacks)) {}

void request_route::begin(std::size_t owner) {
    owner_ = owner;
    world_.log(
        fmt::format("route {}: n{} to n{}, {}", number_, gateway_, owner, describe(request_)));
    world_.node(gateway_).routes[number_] = shared_from_this();
    sim_node& target = world_.node(owner);
    if (!target.running()) {
        conclude(base::make_error(absl::StatusCode::kUnavailable, "the owner is down",
                                  {.step = "route", .reason = "not_owner"}));
        return;
    }
    target.routes[number_] = shared_from_this();
    if (!world_.reachable(gateway_, owner)) {
        break_off();
        return;
    }
    target.run(world_.network_delay(), [self = shared_from_this()] {
        const base::shard_id shard = self->world_.shard_of(wire::routing_program(self->request_));
        self->world_.node(self->owner_).host(shard).request(self->request_, self);
    });
}

void request_route::part(const wire::reply_part& part) {
    world_.log(fmt::format("route {}: part {} of call {}{}", number_, part.event_id,
                           part.call.value(), part.restart ? ", starting afresh" : ""));
    deliver([self = shared_from_this(), part] { self->callbacks_.on_part(part); });
}

void request_route::finish(const absl::StatusOr<wire::program_reply>& answer) {
    deliver([self = shared_from_this(), answer] { self->conclude(answer); });
}

void request_route::deliver(event_queue::task arrive) {
    if (done_ || broken_) {
        return;
    }
    if (!world_.reachable(owner_, gateway_)) {
        break_off();
        return;
    }
    const base::instant now = world_.queue.now();
    last_ = std::max(last_ + base::microseconds(1), now + world_.network_delay());
    world_.node(gateway_).run(last_ - now, [self = shared_from_this(), arrive] {
        if (!self->done_) {
            arrive();
        }
    });
}

/// Nothing more gets through; the gateway notices later.
void request_route::break_off() {
    broken_ = true;
    world_.node(gateway_).run(world_.between(soonest_notice_us, latest_notice_us),
                              [self = shared_from_this()] { self->conclude(owner_lost()); });
}

void request_route::conclude(const absl::StatusOr<wire::program_reply>& answer) {
    if (std::exchange(done_, true)) {
        return;
    }
    const auto self = shared_from_this();
    world_.node(gateway_).routes.erase(number_);
    world_.node(owner_).routes.erase(number_);
    if (world_.options.trace) {
        const std::string outcome =
            answer.ok() ? "answered" : base::details_of(answer.status()).reason;
        world_.log(fmt::format("route {}: {}", number_, outcome));
    }
    callbacks_.on_done(answer);
}

void request_route::process_died(std::size_t number) {
    if (done_) {
        return;
    }
    const auto self = shared_from_this();
    if (number != gateway_) {
        broken_ = true;
        world_.node(gateway_).run(world_.network_delay(), [self] { self->conclude(owner_lost()); });
        return;
    }
    done_ = true;
    sim_node& owner = world_.node(owner_);
    owner.routes.erase(number_);
    if (owner.running() && number != owner_) {
        owner.run(world_.network_delay(), [self] {
            const base::shard_id shard =
                self->world_.shard_of(wire::routing_program(self->request_));
            self->world_.node(self->owner_).host(shard).requester_gone(self);
        });
    }
    world_.queue.after(world_.network_delay(), [self] { self->callbacks_.on_done(owner_lost()); });
}

}  // namespace pearbarrow::bench::faults
