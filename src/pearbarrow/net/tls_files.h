/// Paths of the key and certificate files.
#pragma once

#include <string>

namespace pearbarrow::net {

/// Paths of PEM files, which are read at start-up and on `reload_tls`.
struct tls_files {
    /// Certificate and key of this process. Both are empty for a client without a certificate.
    std::string certificate_chain;
    std::string private_key;
    /// Certificate authorities that must have signed the certificate of the peer. On a server an
    /// empty path means that clients need no certificate; clients always need authorities.
    std::string client_authorities;
};

}  // namespace pearbarrow::net
