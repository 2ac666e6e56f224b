#include "pearbarrow/program/records.h"

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/wire/codec.h"

namespace pearbarrow::program {

failure to_failure(const absl::Status& status) {
    const base::error_details details = base::details_of(status);
    return {.code = static_cast<int>(status.code()),
            .message = std::string(status.message()),
            .step = details.step,
            .peer = details.peer,
            .reason = details.reason,
            .executed_code = static_cast<std::uint8_t>(details.was_executed),
            .retry_after_ms = static_cast<std::uint64_t>(
                details.retry_after.value_or(base::milliseconds(0)).count())};
}

absl::Status to_status(const failure& value) {
    base::error_details details{.step = value.step, .peer = value.peer, .reason = value.reason};
    details.was_executed = static_cast<base::executed>(value.executed_code);
    if (value.retry_after_ms > 0) {
        details.retry_after = base::milliseconds(value.retry_after_ms);
    }
    return base::make_error(static_cast<absl::StatusCode>(value.code), value.message, details);
}

namespace {

bool has_known_part(const program_record& record) {
    return record.opened || record.accepted || record.intent || record.attempt_closed ||
           record.result || record.ended || record.released || record.forgotten ||
           record.transfer_out || record.transfer_confirmed || record.transfer_returned ||
           record.budget_returned;
}

}  // namespace

absl::StatusOr<program_record> decode_record(std::string_view payload) {
    auto record = wire::decode<program_record>(payload);
    if (record.ok() && !has_known_part(*record)) {
        return base::make_error(absl::StatusCode::kDataLoss, "record of a kind not known here",
                                {.step = "recover", .reason = "unknown_record"});
    }
    return record;
}

std::string retention_prefix(const base::program_id& program) {
    return program.value() + "/";
}

std::string retention_key(const base::program_id& program, base::call_number number) {
    return fmt::format("{}/{:010}", program.value(), number.value());
}

std::string retention_key(const program_record& record) {
    if (record.accepted) {
        return retention_key(record.program, record.accepted->number);
    }
    if (record.result) {
        return retention_key(record.program, record.result->number);
    }
    return {};
}

}  // namespace pearbarrow::program
