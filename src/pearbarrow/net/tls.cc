#include "pearbarrow/net/tls.h"

#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/net/tls_context.h"

namespace pearbarrow::net {
namespace {

namespace ssl = boost::asio::ssl;
using error_code = boost::system::error_code;

absl::Status unusable_file(const std::string& file, const std::string& message) {
    return base::make_error(absl::StatusCode::kFailedPrecondition, message,
                            {.step = "load_tls", .peer = file, .reason = "tls_files_unusable"});
}

absl::Status load_key_pair(ssl::context& context, const tls_files& files) {
    error_code error;
    context.use_certificate_chain_file(files.certificate_chain, error);
    if (error) {
        return unusable_file(files.certificate_chain, error.message());
    }
    context.use_private_key_file(files.private_key, ssl::context::pem, error);
    if (error) {
        return unusable_file(files.private_key, error.message());
    }
    return absl::OkStatus();
}

absl::Status load_authorities(ssl::context& context, const tls_files& files) {
    error_code error;
    context.load_verify_file(files.client_authorities, error);
    if (error) {
        return unusable_file(files.client_authorities, error.message());
    }
    context.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, error);
    return error ? unusable_file(files.client_authorities, error.message()) : absl::OkStatus();
}

}  // namespace

absl::StatusOr<std::shared_ptr<tls_context>> load_tls(const tls_files& files, tls_role role) {
    const bool is_server = role == tls_role::server;
    auto result = std::make_shared<tls_context>(is_server ? ssl::context::tls_server
                                                          : ssl::context::tls_client);
    error_code error;
    result->context.set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 |
                                    ssl::context::no_sslv3 | ssl::context::no_tlsv1 |
                                    ssl::context::no_tlsv1_1 | SSL_OP_NO_TICKET,
                                error);
    if (is_server || !files.certificate_chain.empty()) {
        if (auto status = load_key_pair(result->context, files); !status.ok()) {
            return status;
        }
    }
    if (!is_server || !files.client_authorities.empty()) {
        if (auto status = load_authorities(result->context, files); !status.ok()) {
            return status;
        }
    }
    // Sessions and tickets are disabled so that certificates are verified on every connection.
    SSL_CTX_set_num_tickets(result->context.native_handle(), 0);
    SSL_CTX_set_session_cache_mode(result->context.native_handle(), SSL_SESS_CACHE_OFF);
    return result;
}

}  // namespace pearbarrow::net
