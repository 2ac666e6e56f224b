#include "pearbarrow/node/replica_name.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::node {

base::node_id replica_name(const wire::journal_member& member) {
    if (member.generation == 0) {
        return base::node_id(fmt::format("{}@{}", member.node.value(), member.store));
    }
    return base::node_id(
        fmt::format("{}@{}.{}", member.node.value(), member.store, member.generation));
}

std::optional<wire::journal_member> parse_replica_name(std::string_view name) {
    const std::size_t at = name.rfind('@');
    if (at == std::string_view::npos || at == 0 || at + 1 == name.size()) {
        return std::nullopt;
    }
    wire::journal_member member;
    member.node = base::node_id(std::string(name.substr(0, at)));
    std::string_view store = name.substr(at + 1);
    const std::size_t dot = store.rfind('.');
    if (dot != std::string_view::npos) {
        const std::string_view digits = store.substr(dot + 1);
        const auto parsed =
            std::from_chars(digits.data(), digits.data() + digits.size(), member.generation);
        if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
            return std::nullopt;
        }
        store = store.substr(0, dot);
    }
    if (store.empty()) {
        return std::nullopt;
    }
    member.store = std::string(store);
    return member;
}

std::optional<wire::journal_replica_set> replica_set_of(const config::shard_assignment& shard) {
    wire::journal_replica_set set;
    set.epoch = shard.epoch;
    for (const base::node_id& name : shard.replicas) {
        auto member = parse_replica_name(name.value());
        if (!member.has_value()) {
            return std::nullopt;
        }
        set.members.push_back(*std::move(member));
    }
    if (set.members.empty()) {
        return std::nullopt;
    }
    return set;
}

}  // namespace pearbarrow::node
