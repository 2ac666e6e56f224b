#include "pearbarrow/program/history_cache.h"

#include <utility>

#include "pearbarrow/program/program_state.h"

namespace pearbarrow::program {

namespace {

constexpr std::uint64_t call_overhead_bytes = 256;

std::uint64_t bytes_of(const finished_call& call) {
    std::uint64_t bytes =
        call_overhead_bytes + call.result.output.size() + call.result.decision.size();
    if (call.body.model) {
        for (const wire::chat_message& message : call.body.model->new_messages) {
            bytes += message.content.size() + sizeof(wire::chat_message);
        }
    }
    if (call.body.tool) {
        bytes += call.body.tool->arguments_json.size();
    }
    return bytes;
}

}  // namespace

std::uint64_t program_history::bytes() const {
    std::uint64_t total = call_overhead_bytes;
    for (const auto& [number, call] : calls) {
        total += bytes_of(call);
    }
    return total;
}

std::vector<wire::chat_message> program_history::messages() const {
    std::vector<wire::chat_message> all;
    for (const auto& [number, call] : calls) {
        if (call.result.failed) {
            continue;
        }
        for (wire::chat_message& message : turn_messages(call.body, call.result.output)) {
            all.push_back(std::move(message));
        }
    }
    return all;
}

absl::StatusOr<program_history> history_from(const base::program_id& program,
                                             const std::vector<std::string>& payloads) {
    std::map<base::call_number, wire::call_body> bodies;
    program_history history;
    for (const std::string& payload : payloads) {
        const auto record = decode_record(payload);
        if (!record.ok()) {
            return record.status();
        }
        if (record->program != program) {
            return base::make_error(absl::StatusCode::kDataLoss, "record of another program",
                                    {.step = "read_retained", .reason = "inconsistent_record"});
        }
        if (record->accepted) {
            bodies[record->accepted->number] = record->accepted->body;
        }
        if (record->result) {
            const auto body = bodies.find(record->result->number);
            if (body != bodies.end()) {
                history.calls[record->result->number] = {body->second, *record->result};
            }
        }
    }
    return history;
}

const program_history* history_cache::find(const base::program_id& program) {
    const auto found = entries_.find(program);
    if (found == entries_.end()) {
        return nullptr;
    }
    order_.splice(order_.begin(), order_, found->second.position);
    return &found->second.history;
}

void history_cache::put(const base::program_id& program, program_history history) {
    erase(program);
    order_.push_front(program);
    const std::uint64_t bytes = history.bytes();
    entries_[program] = {std::move(history), bytes, order_.begin()};
    bytes_ += bytes;
    shrink();
}

void history_cache::add(const base::program_id& program, base::call_number number,
                        finished_call call) {
    const auto found = entries_.find(program);
    if (found == entries_.end()) {
        return;
    }
    const std::uint64_t bytes = bytes_of(call);
    found->second.history.calls[number] = std::move(call);
    found->second.bytes += bytes;
    bytes_ += bytes;
    order_.splice(order_.begin(), order_, found->second.position);
    shrink();
}

void history_cache::erase(const base::program_id& program) {
    const auto found = entries_.find(program);
    if (found == entries_.end()) {
        return;
    }
    bytes_ -= found->second.bytes;
    order_.erase(found->second.position);
    entries_.erase(found);
}

void history_cache::shrink() {
    while (bytes_ > max_bytes_ && order_.size() > 1) {
        erase(base::program_id(order_.back()));
    }
}

}  // namespace pearbarrow::program
