/// Loading of keys and certificates. Internal to `net`.
#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "pearbarrow/net/tls_files.h"

namespace pearbarrow::net {

enum class tls_role { server, client };

/// An OpenSSL context; defined in tls_context.h.
struct tls_context;

/// Reads the files. Fails with reason `tls_files_unusable` and the file as the peer. A server
/// without authorities accepts any client; a client without authorities is rejected because it
/// would trust any server.
absl::StatusOr<std::shared_ptr<tls_context>> load_tls(const tls_files& files, tls_role role);

}  // namespace pearbarrow::net
