/// The native resource API: programs, their calls, histories and sub-programs.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/gateway/caller_request.h"

namespace pearbarrow::gateway {

using caller_request_ptr = std::shared_ptr<caller_request>;

/// POST /v1/programs, and POST /v1/programs/{parent}/programs where `parent` is given.
void open_program(const caller_request_ptr& request, const base::program_id* parent);
/// GET /v1/programs/{id}
void get_program(const caller_request_ptr& request, const base::program_id& program);
/// DELETE /v1/programs/{id}
void end_program(const caller_request_ptr& request, const base::program_id& program);
/// GET /v1/programs/{id}/history
void get_history(const caller_request_ptr& request, const base::program_id& program);
/// POST /v1/programs/{id}/calls
void submit_call(const caller_request_ptr& request, const base::program_id& program);
/// GET /v1/programs/{id}/calls/{n}
void attach_call(const caller_request_ptr& request, const base::program_id& program,
                 base::call_number number);
/// DELETE /v1/programs/{id}/calls/{n}
void cancel_call(const caller_request_ptr& request, const base::program_id& program,
                 base::call_number number);

/// The request's `Idempotency-Key`, empty when there is none; fails when it is malformed.
absl::StatusOr<std::string> idempotency_key(const net::http_request& request);

/// The id of the program that a tenant opens with an idempotency key: the same at every gateway of
/// a region. Drawn at random without a key.
base::program_id program_id_for(gateway_context& context, const base::tenant_id& tenant,
                                const std::string& key);

}  // namespace pearbarrow::gateway
