/// The OpenSSL context behind `tls_context`. Internal to `net`.
#pragma once

#include <utility>

#include <boost/asio/ssl/context.hpp>

#include "pearbarrow/net/tls.h"

namespace pearbarrow::net {

struct tls_context {
    explicit tls_context(boost::asio::ssl::context::method method) : context(method) {}
    boost::asio::ssl::context context;
};

}  // namespace pearbarrow::net
