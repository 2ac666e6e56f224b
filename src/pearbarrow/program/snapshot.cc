#include "pearbarrow/program/snapshot.h"

#include <utility>

#include "pearbarrow/wire/codec.h"

namespace pearbarrow::program {

namespace {

constexpr std::uint32_t snapshot_format = 1;

struct snapshot_payload {
    std::uint32_t format = 0;
    std::vector<program_state> programs;
    MSGPACK_DEFINE(format, programs);
};

absl::StatusOr<program_map> decode_snapshot(std::string_view bytes) {
    program_map programs;
    if (bytes.empty()) {
        return programs;
    }
    auto payload = wire::decode<snapshot_payload>(bytes);
    if (!payload.ok()) {
        return payload.status();
    }
    if (payload->format != snapshot_format) {
        return base::make_error(absl::StatusCode::kDataLoss, "snapshot of a format not known here",
                                {.step = "recover", .reason = "unknown_snapshot"});
    }
    for (program_state& program : payload->programs) {
        const base::program_id id = program.id;
        programs.emplace(id, std::move(program));
    }
    return programs;
}

}  // namespace

std::string encode_snapshot(const program_map& programs) {
    snapshot_payload payload{.format = snapshot_format, .programs = {}};
    payload.programs.reserve(programs.size());
    for (const auto& [id, program] : programs) {
        payload.programs.push_back(program);
    }
    return wire::encode(payload);
}

absl::StatusOr<program_map> restore(std::string_view snapshot,
                                    const std::vector<std::string>& payloads) {
    auto programs = decode_snapshot(snapshot);
    if (!programs.ok()) {
        return programs;
    }
    for (const std::string& payload : payloads) {
        const auto record = decode_record(payload);
        if (!record.ok()) {
            return record.status();
        }
        const absl::Status applied = apply_record(*programs, *record);
        if (!applied.ok()) {
            return applied;
        }
    }
    return programs;
}

}  // namespace pearbarrow::program
