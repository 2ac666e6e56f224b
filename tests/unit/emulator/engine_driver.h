/// Drives an engine model in virtual time, for tests.
#pragma once

#include <string>
#include <vector>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/emulator/engine_model.h"

namespace pearbarrow::emulator {

/// A generation whose blocks are named by `conversation`: equal names share their prefix.
inline generation make_generation(const std::string& attempt, const std::string& program,
                                  const std::string& conversation, std::uint64_t prompt_tokens,
                                  std::uint64_t output_tokens) {
    generation request{.attempt = base::attempt_id(attempt),
                       .program = base::program_id(program),
                       .call = base::call_number(1),
                       .model = base::model_name("pearl-8b"),
                       .prompt_tokens = prompt_tokens,
                       .output_tokens = output_tokens};
    block_hash hash = base::stable_hash(conversation);
    for (std::uint64_t at = 0; at < (prompt_tokens + output_tokens) / block_tokens; ++at) {
        hash = base::stable_hash(conversation, hash);
        request.blocks.push_back(hash);
    }
    return request;
}

/// Runs the model until nothing waits or runs; returns the time of the last progress.
inline base::instant run_until_idle(engine_model& model, base::instant now,
                                    std::vector<stream_progress>* progress = nullptr) {
    base::instant last = now;
    const auto active = [&model] {
        for (const auto& entry : model.meter()) {
            if (entry.state == "queued" || entry.state == "running") {
                return true;
            }
        }
        return false;
    };
    while (active()) {
        const auto next = model.next_event();
        if (!next) {
            break;
        }
        model.advance(*next);
        for (const stream_progress& item : model.take_progress()) {
            last = item.at;
            if (progress != nullptr) {
                progress->push_back(item);
            }
        }
    }
    return last;
}

}  // namespace pearbarrow::emulator
