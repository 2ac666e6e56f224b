/// Names of the files that hold keys and certificates.
#pragma once

#include <string>

namespace pearbarrow::net {

/// Files of PEM keys and certificates; read at the start and on `reload_tls`.
struct tls_files {
    /// The own certificate and key. A client that shows no certificate leaves both empty.
    std::string certificate_chain;
    std::string private_key;
    /// Certificate authorities that the other side must be signed by. On a server empty means
    /// that clients need no certificate; clients always need it.
    std::string client_authorities;
};

}  // namespace pearbarrow::net
