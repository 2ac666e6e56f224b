// Budget transfers between a program and its sub-programs.
//
// Parent: the transfer_out record is committed before the request to open the child is sent, and
// the request is repeated until the child's owner replies. Child: it is opened once by its id.
// After it has ended, it sends its remaining budget to the parent until the parent's reply confirms
// that the return is in the parent's journal.
#include <algorithm>
#include <utility>

#include "pearbarrow/program/owner_state.h"

namespace pearbarrow::program {

namespace {

/// Returns whether a retry of the request to the other owner may succeed.
bool is_retryable(const absl::Status& status) {
    switch (status.code()) {
        case absl::StatusCode::kUnavailable:
        case absl::StatusCode::kDeadlineExceeded:
        case absl::StatusCode::kAborted:
        case absl::StatusCode::kUnknown:
        case absl::StatusCode::kInternal:
        case absl::StatusCode::kCancelled:
        case absl::StatusCode::kResourceExhausted:
            return true;
        default:
            return false;
    }
}

}  // namespace

void owner_state::open_sub_program(reply_token token, const wire::program_request& request) {
    const wire::open_program_request& open = *request.open;
    const auto at = find(open.parent->program);
    if (!at || at->program.tenant != request.tenant) {
        when_committed([this, token] {
            reply_error(
                token, refusal(absl::StatusCode::kNotFound, "no such program", "program_not_found"),
                true);
        });
        return;
    }
    const auto known = at->program.children.find(request.program);
    if (known != at->program.children.end() && !(known->second.open == open)) {
        reply_error(token, refusal(absl::StatusCode::kAlreadyExists, "the program id is taken",
                                   "program_conflict"));
        return;
    }
    if (known == at->program.children.end()) {
        if (refuse_without_quorum(token)) {
            return;
        }
        if (!at->program.open() || at->runtime.ending) {
            reply_error(token, refusal(absl::StatusCode::kFailedPrecondition,
                                       "the parent program has ended", "program_ended"));
            return;
        }
        absl::Status allowed =
            check_budget(open.token_budget, configured_bounds(request.tenant, open));
        if (!allowed.ok()) {
            reply_error(token, std::move(allowed));
            return;
        }
        if (!at->program.budget.covers(open.token_budget)) {
            reply_error(token,
                        refusal(absl::StatusCode::kResourceExhausted,
                                "the parent's budget has not so much left", "budget_exhausted"));
            return;
        }
        program_record record;
        record.transfer_out = transfer_out_record{.child = request.program, .open = open};
        append(at->program, std::move(record));
    }
    at->runtime.last_used = now_;
    at->runtime.transfers[request.program].waiting.push_back(token);
    when_committed([this, parent = at->program.id, child = request.program] {
        if (const auto program = find(parent)) {
            send_open_child(*program, child);
        }
    });
}

void owner_state::send_open_child(program_context at, const base::program_id& child) {
    const auto state = at.program.children.find(child);
    if (state == at.program.children.end()) {
        return;
    }
    repeated_send& transfer = at.runtime.transfers[child];
    exchanges_.erase(transfer.exchange);
    if (state->second.returned) {
        // The owner of the child may have forgotten it and would open it again with its full
        // budget.
        for (const reply_token token : transfer.waiting) {
            reply_error(token, refusal(absl::StatusCode::kFailedPrecondition,
                                       "the sub-program has ended", "program_ended"));
        }
        at.runtime.transfers.erase(child);
        return;
    }
    transfer.exchange = next_exchange_++;
    transfer.next_try = now_ + options_.max_backoff;
    exchanges_[transfer.exchange] = {at.program.id, child};
    wake_at(at.program.id, transfer.next_try);
    action::send_to_owner send;
    send.exchange = transfer.exchange;
    send.request.tenant = at.program.tenant;
    send.request.program = child;
    send.request.open_child = wire::open_child_request{state->second.open};
    send.confirm = leadership();
    emit(std::move(send));
}

void owner_state::check_transfers(program_context at) {
    std::vector<base::program_id> due;
    for (const auto& [child, transfer] : at.runtime.transfers) {
        if (transfer.exchange != 0 && transfer.next_try <= now_) {
            due.push_back(child);
        }
    }
    for (const base::program_id& child : due) {
        send_open_child(at, child);
    }
}

void owner_state::on(const event::owner_answered& event) {
    const auto exchange = exchanges_.find(event.exchange);
    if (exchange == exchanges_.end()) {
        return;
    }
    const auto [program, child] = exchange->second;
    exchanges_.erase(exchange);
    const auto at = find(program);
    if (!at) {
        return;
    }
    if (child) {
        on_child_reply(*at, *child, event.reply);
        return;
    }
    on_budget_return_reply(*at, event.reply);
}

void owner_state::on_child_reply(program_context at, const base::program_id& child,
                                 const absl::StatusOr<wire::program_reply>& reply) {
    const auto found = at.runtime.transfers.find(child);
    child_state& state = at.program.children[child];
    if (found == at.runtime.transfers.end()) {
        return;
    }
    if (!reply.ok() && is_retryable(reply.status())) {
        found->second.next_try = now_ + backoff(found->second.tries, at.program.id);
        ++found->second.tries;
        wake_at(at.program.id, found->second.next_try);
        return;
    }
    const std::vector<reply_token> waiting = found->second.waiting;
    at.runtime.transfers.erase(found);
    program_record record;
    const bool permanently_refused = !reply.ok() && !state.confirmed && !state.returned;
    if (permanently_refused) {
        record.transfer_returned =
            transfer_returned_record{.child = child, .tokens = state.open.token_budget};
        append(at.program, std::move(record));
    } else if (reply.ok() && !state.confirmed) {
        record.transfer_confirmed = transfer_confirmed_record{child};
        append(at.program, std::move(record));
    }
    when_committed([this, waiting, answer = reply] {
        for (const reply_token token : waiting) {
            if (answer.ok()) {
                this->reply(token, *answer);
            } else {
                reply_error(token, answer.status());
            }
        }
    });
}

void owner_state::open_child(reply_token token, const wire::program_request& request) {
    const wire::open_program_request& open = request.open_child->open;
    const auto known = programs_.find(request.program);
    if (known != programs_.end()) {
        const bool same = known->second.tenant == request.tenant && known->second.request == open;
        if (same) {
            reply_view(token, request.program);
            return;
        }
        reply_error(token, refusal(absl::StatusCode::kAlreadyExists, "the program id is taken",
                                   "program_conflict"));
        return;
    }
    if (refuse_without_quorum(token)) {
        return;
    }
    if (programs_.size() >= options_.max_programs) {
        reply_error(token, refusal(absl::StatusCode::kResourceExhausted,
                                   "the shard holds too many programs", "too_many_programs",
                                   options_.max_backoff));
        return;
    }
    open_program(request.program, request.tenant, open);
    reply_view(token, request.program);
}

void owner_state::handle_budget_return(reply_token token, program_context at,
                                       const wire::return_budget_request& request) {
    const auto child = at.program.children.find(request.child);
    if (child == at.program.children.end()) {
        reply_error(token,
                    refusal(absl::StatusCode::kNotFound, "no such sub-program", "child_not_found"));
        return;
    }
    const bool first_time = !child->second.returned || options_.disabled.transfer_once;
    if (first_time) {
        program_record record;
        record.transfer_returned = transfer_returned_record{
            .child = request.child,
            .tokens = std::min(request.tokens, child->second.open.token_budget)};
        append(at.program, std::move(record));
        at.runtime.last_used = now_;
        check_limits(at);
        check_budget_return(at);
    }
    reply_view(token, at.program.id);
}

void owner_state::check_budget_return(program_context at) {
    const bool due = at.program.request.parent && !at.program.open() && at.runtime.ended_at &&
                     !at.program.budget_returned;
    const bool children_returned =
        std::all_of(at.program.children.begin(), at.program.children.end(),
                    [](const auto& child) { return child.second.returned; });
    if (!due || !children_returned) {
        return;
    }
    if (!at.runtime.budget_return) {
        at.runtime.budget_return = repeated_send{.next_try = now_, .tries = 0};
    }
    repeated_send& send = *at.runtime.budget_return;
    if (send.next_try > now_) {
        return;
    }
    exchanges_.erase(send.exchange);
    send.exchange = next_exchange_++;
    send.next_try = now_ + options_.max_backoff;
    exchanges_[send.exchange] = {at.program.id, std::nullopt};
    wake_at(at.program.id, send.next_try);
    when_committed([this, id = at.program.id, exchange = send.exchange] {
        const auto child = find(id);
        if (!child) {
            return;
        }
        action::send_to_owner message;
        message.exchange = exchange;
        message.request.tenant = child->program.tenant;
        message.request.program = child->program.request.parent->program;
        message.request.return_budget =
            wire::return_budget_request{.child = id, .tokens = child->program.budget.remaining()};
        message.confirm = leadership();
        emit(std::move(message));
    });
}

void owner_state::on_budget_return_reply(program_context at,
                                         const absl::StatusOr<wire::program_reply>& reply) {
    if (!at.runtime.budget_return || at.program.budget_returned) {
        return;
    }
    if (!reply.ok() && is_retryable(reply.status())) {
        repeated_send& send = *at.runtime.budget_return;
        send.next_try = now_ + backoff(send.tries, at.program.id);
        ++send.tries;
        wake_at(at.program.id, send.next_try);
        return;
    }
    // Any other error means that the parent is forgotten, so the budget cannot be returned.
    program_record record;
    record.budget_returned = budget_returned_record{};
    append(at.program, std::move(record));
    check_forget(at);
}

}  // namespace pearbarrow::program
