#include "pearbarrow/program/owner_state.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/program/snapshot.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::program {

namespace {

/// Time after the deadline that a reader still waits for a majority to confirm the result.
constexpr base::milliseconds commit_grace{1'000};
constexpr std::uint32_t max_backoff_doublings = 16;
constexpr std::int64_t jitter_divisor = 4;

}  // namespace

base::attempt_id attempt_name(const base::program_id& program, base::call_number number,
                              attempt_number attempt) {
    return base::attempt_id(fmt::format("{}.{}.{}", program.value(), number.value(), attempt));
}

std::string event_id(attempt_number attempt, std::uint64_t offset) {
    return fmt::format("{}.{}", attempt, offset);
}

owner_state::owner_state(owner_options options)
    : options_(options), histories_(options.history_cache_bytes) {}

std::vector<shard_action> owner_state::apply(const shard_event& event, base::instant now) {
    now_ = now;
    const bool serving = recovered_ && !ownership_lost_;
    const bool any_time = std::holds_alternative<event::request_received>(event) ||
                          std::holds_alternative<event::journal_recovered>(event) ||
                          std::holds_alternative<event::concurrency_limits_changed>(event) ||
                          std::holds_alternative<event::configuration_changed>(event) ||
                          std::holds_alternative<event::ownership_lost>(event);
    if (serving || any_time) {
        std::visit([this](const auto& specific) { on(specific); }, event);
    }
    return std::exchange(actions_, {});
}

std::vector<base::program_id> owner_state::live_programs() const {
    std::vector<base::program_id> live;
    for (const auto& [id, program] : programs_) {
        if (program.open()) {
            live.push_back(id);
        }
    }
    return live;
}

bool owner_state::idle() const {
    return waiting_requesters_.empty() && attempts_.empty();
}

void owner_state::on(const event::request_received& event) {
    waiting_requesters_.insert(event.token);
    if (!recovered_ || ownership_lost_) {
        refuse_not_owner(event.token);
        return;
    }
    handle(event.token, event.request);
}

void owner_state::on(const event::requester_gone& event) {
    waiting_requesters_.erase(event.token);
}

void owner_state::on(const event::journal_availability& event) {
    has_quorum_ = event.available;
}

void owner_state::on(const event::concurrency_limits_changed& event) {
    concurrency_.set_limits(event.limits);
}

void owner_state::on(const event::configuration_changed& event) {
    configuration_ = event.configuration;
    region_ = event.region;
    recount_quota_use();
    for (const base::program_id& id : live_programs()) {
        if (const auto at = find(id)) {
            check_limits(*at);
        }
    }
}

std::vector<config::applied_bounds> owner_state::bounds_on(
    const base::tenant_id& tenant, const wire::open_program_request& request) const {
    if (configuration_ == nullptr) {
        return {};
    }
    config::label_set labels;
    for (const wire::label& label : request.labels) {
        labels.set(label.key, label.value);
    }
    return config::bounds_on(*configuration_, tenant, request.program_class, region_, labels);
}

config::limits owner_state::configured_bounds(const base::tenant_id& tenant,
                                              const wire::open_program_request& request) const {
    return config::tightest(bounds_on(tenant, request));
}

wire::program_limits owner_state::limits_in_force(const program_state& program) const {
    return limits_of(program, configured_bounds(program.tenant, program.request), options_.limits);
}

void owner_state::on(const event::ownership_lost& event) {
    ownership_lost_ = true;
    new_owner_ = event.hint;
    const std::set<reply_token> waiting = waiting_requesters_;
    for (const reply_token token : waiting) {
        reply_error(token, base::make_error(absl::StatusCode::kAborted,
                                            "another node took the program over",
                                            {.step = "own",
                                             .peer = event.hint.value(),
                                             .reason = "owner_lost",
                                             .was_executed = base::executed::unknown}));
    }
    programs_.clear();
    quota_use_.clear();
    runtimes_.clear();
    effects_.clear();
    attempts_.clear();
    offers_.clear();
    wake_ups_.clear();
    histories_ = history_cache(options_.history_cache_bytes);
}

void owner_state::append(program_state& program, program_record record) {
    const base::program_id id = program.id;
    const auto runtime = runtimes_.find(id);
    record.program = id;
    if (runtime != runtimes_.end()) {
        const auto age =
            std::chrono::duration_cast<base::milliseconds>(now_ - runtime->second.opened_at);
        record.age_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
    }
    std::string payload = wire::encode(record);
    std::string key = retention_key(record);
    const absl::Status applied = apply_record(programs_, record);
    if (!applied.ok()) {
        emit(action::journal_unusable{applied});
        return;
    }
    ++last_appended_;
    append_times_.emplace_back(last_appended_, now_);
    emit(action::append_record{last_appended_, std::move(payload), std::move(key)});
    make_snapshot_if_due();
}

void owner_state::make_snapshot_if_due() {
    ++records_since_snapshot_;
    if (options_.snapshot_every == 0 || records_since_snapshot_ < options_.snapshot_every) {
        return;
    }
    records_since_snapshot_ = 0;
    when_committed([this, through = last_appended_, payload = encode_snapshot(programs_)] {
        emit(action::store_snapshot{through, payload});
    });
}

void owner_state::when_committed(effect then) {
    if (committed_ == last_appended_) {
        then();
        return;
    }
    effects_.emplace_back(last_appended_, std::move(then));
}

void owner_state::on(const event::records_committed& event) {
    committed_ = std::max(committed_, std::min(event.through, last_appended_));
    while (!append_times_.empty() && append_times_.front().first <= committed_) {
        leadership_known_at_ = append_times_.front().second;
        append_times_.pop_front();
    }
    while (!effects_.empty() && effects_.front().first <= committed_) {
        const effect run = std::move(effects_.front().second);
        effects_.pop_front();
        run();
    }
}

action::leadership owner_state::leadership() const {
    return {.known_at = leadership_known_at_, .trusted_for = options_.leadership_trust};
}

action::leadership owner_state::leadership_to_confirm() const {
    return {.known_at = leadership_known_at_, .trusted_for = base::microseconds(0)};
}

void owner_state::reply(reply_token token, wire::program_reply reply, bool confirm) {
    if (waiting_requesters_.erase(token) == 0) {
        return;
    }
    action::reply_final final{.token = token, .reply = std::move(reply), .confirm = {}};
    if (confirm) {
        final.confirm = leadership_to_confirm();
    }
    emit(std::move(final));
}

void owner_state::reply_error(reply_token token, absl::Status status, bool confirm) {
    if (waiting_requesters_.erase(token) == 0) {
        return;
    }
    action::reply_error error{.token = token, .status = std::move(status), .confirm = {}};
    if (confirm) {
        error.confirm = leadership_to_confirm();
    }
    emit(std::move(error));
}

void owner_state::reply_view(reply_token token, const base::program_id& program, bool confirm) {
    when_committed([this, token, program, confirm] {
        const auto at = find(program);
        if (!at) {
            reply_error(token, refusal(absl::StatusCode::kNotFound, "no such program",
                                       "program_not_found"));
            return;
        }
        reply(token, {.program = view_of(at->program), .call = {}, .history = {}, .explain = {}},
              confirm);
    });
}

std::optional<program_context> owner_state::find(const base::program_id& program) {
    const auto state = programs_.find(program);
    const auto runtime = runtimes_.find(program);
    if (state == programs_.end() || runtime == runtimes_.end()) {
        return std::nullopt;
    }
    return program_context{state->second, runtime->second};
}

std::optional<call_context> owner_state::find(const base::program_id& program,
                                              base::call_number number) {
    const auto at = find(program);
    if (!at) {
        return std::nullopt;
    }
    call_state* call = at->program.find_call(number);
    const auto active = at->runtime.calls.find(number);
    if (call == nullptr || active == at->runtime.calls.end()) {
        return std::nullopt;
    }
    return call_context{at->program, at->runtime, *call, active->second};
}

std::optional<call_context> owner_state::find(const base::attempt_id& attempt) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    const auto [program, number] = found->second;
    auto at = find(program, number);
    if (!at || !at->call.attempt) {
        return std::nullopt;
    }
    const bool current = attempt_name(program, number, at->call.attempt->number) == attempt;
    if (!current && !options_.disabled.event_id_check) {
        return std::nullopt;
    }
    return at;
}

std::optional<call_context> owner_state::find(offer_id offer) {
    const auto found = offers_.find(offer);
    if (found == offers_.end()) {
        return std::nullopt;
    }
    const auto [program, number] = found->second;
    auto at = find(program, number);
    const bool current = at && at->active.offer == offer;
    return current ? at : std::nullopt;
}

void owner_state::wake_at(const base::program_id& program, base::instant at) {
    wake_ups_.emplace(at, program);
}

base::microseconds owner_state::backoff(std::uint32_t tries,
                                        const base::program_id& program) const {
    const std::uint32_t doublings = std::min(tries, max_backoff_doublings);
    const base::microseconds whole = std::min<base::microseconds>(
        options_.retry_backoff * (1LL << doublings), options_.max_backoff);
    const std::int64_t spread = std::max<std::int64_t>(whole.count() / jitter_divisor, 1);
    const std::uint64_t hash = base::stable_hash(program.value(), tries);
    return whole + base::microseconds(hash % static_cast<std::uint64_t>(spread));
}

void owner_state::on(const event::tick&) {
    while (!wake_ups_.empty() && wake_ups_.begin()->first <= now_) {
        const base::program_id program = wake_ups_.begin()->second;
        wake_ups_.erase(wake_ups_.begin());
        if (const auto at = find(program)) {
            check_program(*at);
        }
    }
}

void owner_state::check_program(program_context at) {
    const base::program_id id = at.program.id;
    std::vector<base::call_number> numbers;
    for (const auto& [number, active] : at.runtime.calls) {
        numbers.push_back(number);
    }
    for (const base::call_number number : numbers) {
        if (const auto call = find(id, number)) {
            check_call(*call);
        }
    }
    submit_early_calls(at);
    if (at.runtime.history_retry && *at.runtime.history_retry <= now_) {
        request_history(at);
    }
    check_limits(at);
    check_releases(at);
    check_transfers(at);
    check_budget_return(at);
    check_forget(at);
}

void owner_state::check_call(call_context at) {
    check_deadline(at);
    if (!at.active.next_try || *at.active.next_try > now_) {
        return;
    }
    at.active.next_try.reset();
    switch (at.active.stage) {
        case call_stage::backing_off:
            set_stage(at.active, call_stage::queued);
            advance({at.program, at.runtime});
            break;
        case call_stage::running:
            resume_model(at);
            break;
        case call_stage::querying:
            query_tool(at);
            break;
        case call_stage::cancelling:
            stop_model(at);
            break;
        default:
            break;
    }
}

void owner_state::check_deadline(call_context at) {
    if (now_ < at.active.deadline) {
        return;
    }
    const bool waits_for_commit =
        at.active.stage == call_stage::finishing ||
        (at.active.stage == call_stage::intended && at.active.stop_status);
    if (waits_for_commit) {
        fail_uncommitted_readers(at);
        return;
    }
    if (!at.active.stop_status) {
        stop(at, absl::StatusCode::kDeadlineExceeded, "the call's deadline has passed",
             "deadline_exceeded");
    }
}

void owner_state::fail_uncommitted_readers(call_context at) {
    if (now_ < at.active.deadline + commit_grace) {
        wake_at(at.program.id, at.active.deadline + commit_grace);
        return;
    }
    for (const call_reader& reader : at.active.readers) {
        reply_error(reader.token, base::make_error(absl::StatusCode::kUnavailable,
                                                   "no majority confirms the outcome",
                                                   {.step = "commit",
                                                    .reason = "no_quorum",
                                                    .was_executed = base::executed::unknown,
                                                    .retry_after = options_.max_backoff}));
    }
    at.active.readers.clear();
}

wire::program_view owner_state::view_of(const program_state& program) const {
    wire::program_view view;
    view.program = program.id;
    view.tenant = program.tenant;
    view.program_class = program.request.program_class;
    view.labels = program.request.labels;
    const auto runtime = runtimes_.find(program.id);
    const bool ending = runtime != runtimes_.end() && runtime->second.ending.has_value();
    view.state = program.open() ? (ending ? "ending" : "open") : "ended";
    view.end_reason = program.end_reason;
    view.token_budget = program.budget.total();
    view.spent_tokens = program.budget.spent();
    view.reserved_tokens = program.budget.reserved();
    view.remaining_budget = program.budget.remaining();
    view.next_call = program.next_call();
    view.parent = program.request.parent;
    for (const auto& [child, state] : program.children) {
        view.children.push_back(child);
    }
    view.cache_released = program.phase == program_phase::released;
    return view;
}

}  // namespace pearbarrow::program
