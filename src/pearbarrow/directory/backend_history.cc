#include "pearbarrow/directory/backend_history.h"

#include <algorithm>
#include <set>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::directory {
namespace {

/// Nodes are behind by a second or two: even with ten changes a second this reaches further back.
constexpr std::size_t most_steps = 64;

}  // namespace

std::uint64_t backend_history::digest_of(const backend_list& list) {
    return base::stable_hash(wire::encode(list.backends));
}

void backend_history::note(const backend_list& before, const backend_list& after) {
    step one{.before = before.revision, .digest = digest_of(before), .ids = {}};
    for (const auto& [id, backend] : after.backends) {
        const auto held = before.backends.find(id);
        if (held == before.backends.end() || !(held->second == backend)) {
            one.ids.push_back(id);
        }
    }
    for (const auto& [id, backend] : before.backends) {
        if (after.backends.find(id) == after.backends.end()) {
            one.ids.push_back(id);
        }
    }
    this->steps.push_back(std::move(one));
    if (this->steps.size() > most_steps) {
        this->steps.pop_front();
    }
}

std::optional<backend_changes> backend_history::since(std::uint64_t revision, std::uint64_t digest,
                                                      const backend_list& now) const {
    const auto first = std::find_if(this->steps.begin(), this->steps.end(), [&](const step& one) {
        return one.before == revision && one.digest == digest;
    });
    if (first == this->steps.end()) {
        return std::nullopt;
    }
    std::set<std::string> ids;
    for (auto at = first; at != this->steps.end(); ++at) {
        ids.insert(at->ids.begin(), at->ids.end());
    }
    backend_changes changes{.after = revision, .revision = now.revision, .present = {}, .gone = {}};
    for (const std::string& id : ids) {
        const auto found = now.backends.find(id);
        if (found == now.backends.end()) {
            changes.gone.push_back(id);
        } else {
            changes.present.push_back(found->second);
        }
    }
    return changes;
}

bool backend_history::apply(const backend_changes& changes, backend_list& list) {
    if (list.revision != changes.after) {
        return false;
    }
    for (const backend& one : changes.present) {
        list.backends[one.id] = one;
    }
    for (const std::string& id : changes.gone) {
        list.backends.erase(id);
    }
    list.revision = changes.revision;
    return true;
}

}  // namespace pearbarrow::directory
