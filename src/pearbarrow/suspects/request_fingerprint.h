/// Identifies the content of a request over all its attempts.
///
/// A caller gives each attempt an id of its own, so ids do not show that two attempts carry the
/// same request. The fingerprint covers what stays the same from one attempt to the next, and
/// begins with the tenant and the program: requests of another tenant or program never share it,
/// whatever they contain. Deadlines, the request id and the position in a resumed stream are not
/// part of it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pearbarrow::suspects {

/// Parts of a request that determine its fingerprint. Empty if the request does not state them.
struct request_content {
    std::string_view tenant;
    std::string_view program;
    std::string_view session;
    /// The turn that this one continues.
    std::string_view previous_turn;
    std::string_view host;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

struct request_fingerprint {
    /// Hash of the tenant and the program. Requests with other scopes need no digest for a lookup.
    std::uint64_t scope = 0;
    /// 32 lower-case hexadecimal digits of a cryptographic digest, so that no caller can construct
    /// another request with the same fingerprint.
    std::string digest;
};

/// Returns a hash of the content for records that belong to the program already. It is cheaper than
/// the fingerprint, and never 0.
std::uint64_t content_hash(const request_content& content);

std::uint64_t scope_of(std::string_view tenant, std::string_view program);
request_fingerprint fingerprint_of(const request_content& content);

}  // namespace pearbarrow::suspects
