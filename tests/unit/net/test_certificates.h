/// Certificates for the tests, created with the OpenSSL library in a temporary folder.
#pragma once

#include <string>

#include "pearbarrow/net/tls_files.h"

namespace pearbarrow::net::testing {

/// A certificate authority and the files that it signed. The folder is removed at the end.
class test_authority {
  public:
    explicit test_authority(std::string name);
    ~test_authority();
    test_authority(const test_authority&) = delete;
    test_authority& operator=(const test_authority&) = delete;

    /// Creates a key and a certificate for the IP address, trusting this authority. A repeated
    /// `name` overwrites the earlier files.
    tls_files issue(const std::string& name, const std::string& ip = "127.0.0.1") const;
    std::string authority_file() const { return folder_ + "/authority.pem"; }

  private:
    struct key_pair;

    std::string folder_;
    key_pair* authority_;
};

}  // namespace pearbarrow::net::testing
