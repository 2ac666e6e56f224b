#include "platform_decoders.h"

#include <cmath>
#include <cstdlib>
#include <string>

#include "translation.h"

namespace pearbarrow::fuzz {
namespace {

constexpr std::uint64_t any_revision = 7;

void require(bool holds) {
    if (!holds) {
        std::abort();
    }
}

bool has_place(const net::endpoint& address) {
    return address.port != 0 && !address.address.empty();
}

}  // namespace

void feed_backend_entry(std::string_view bytes) {
    const auto read = platform::read_backend("i-1", std::string(bytes));
    if (read.ok()) {
        require(read->id == "i-1" && !read->service.empty() && !read->zone.empty());
        require(read->slots > 0 && has_place(read->address));
    }
    // The key comes from the same writer.
    const auto named = platform::read_backend(
        std::string(bytes),
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"})");
    if (named.ok()) {
        require(!named->id.empty() &&
                named->id.find_first_of("\r\n\0 ", 0, 4) == std::string::npos);
    }
}

void feed_configuration(std::string_view bytes) {
    const auto read = platform::read_configuration(std::string(bytes));
    if (!read.ok()) {
        return;
    }
    for (const directory::route& route : read->routes) {
        require(!route.services.empty() && route.retention_seconds >= 0);
    }
    for (const directory::service& service : read->services) {
        require(std::isfinite(service.cold_rate) && service.cold_rate >= 0);
    }
    for (const directory::tenant& tenant : read->tenants) {
        require(!tenant.name.empty() && tenant.rate >= 0 && tenant.burst >= 0);
    }
}

void feed_storage_view(std::string_view bytes) {
    const auto read = platform::read_storage_view(std::string(bytes), any_revision);
    if (!read.ok()) {
        return;
    }
    require(read->groups > 0);
    for (const directory::storage_member& member : read->members) {
        require(!member.node.value().empty() && has_place(member.address) &&
                member.group < read->groups);
    }
    const auto again =
        platform::read_storage_view(platform::write_storage_view(*read), any_revision);
    require(again.ok() && again->members == read->members && again->groups == read->groups);
}

void feed_storage_member(std::string_view bytes) {
    const auto read = platform::read_storage_member(std::string(bytes));
    if (read.ok()) {
        const auto again = platform::read_storage_member(platform::write_storage_member(*read));
        require(again.ok() && *again == *read);
    }
}

}  // namespace pearbarrow::fuzz
