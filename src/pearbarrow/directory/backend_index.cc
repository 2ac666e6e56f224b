#include "pearbarrow/directory/backend_index.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::directory {
namespace {

/// Not the seed of other hashes of an id.
constexpr std::uint64_t part_seed = 0x6469'6765'7374'7331;

/// Changes that are remembered. A third of 20,000 back ends may leave together; who missed more
/// than this is told the parts that differ, which then is most of them anyway.
constexpr std::size_t most_noted = 8'192;
/// Steps that are remembered: nodes are behind by a second or two, at ten changes a second.
constexpr std::size_t most_steps = 256;

std::uint64_t digest_of(const backend& one) {
    return base::stable_hash(wire::encode(one));
}

/// Of two entries of one id the one that was written later holds. Where that is not told, or they
/// were written at once, the one in the later list.
bool replaces(const backend& next, const backend& held, bool list_is_later) {
    if (next.written_at == 0 || held.written_at == 0 || next.written_at == held.written_at) {
        return list_is_later && !(next == held);
    }
    return next.written_at > held.written_at;
}

}  // namespace

std::uint32_t part_of(std::string_view id) {
    return static_cast<std::uint32_t>(base::stable_hash(id, part_seed) % digest_parts);
}

class backend_index::merge {
  public:
    /// `is_exact`: everything that changes up to the source's revision will be told.
    merge(backend_index& index, backend_list& held, std::uint64_t revision, bool is_exact)
        : index(index),
          held(held),
          made{.before = held.revision,
               .digest = index.whole,
               .after = std::max(held.revision, revision),
               .is_exact = is_exact,
               .ids = {}},
          result{.after = held.revision, .revision = 0, .present = {}, .gone = {}} {}

    /// The source lists the entry at `revision`.
    void put(const backend& next, std::uint64_t revision) {
        const auto known = this->held.backends.find(next.id);
        const bool is_later = revision > this->held.revision;
        const bool is_taken = known == this->held.backends.end()
                                  ? is_later || next.written_at > this->held.revision
                                  : replaces(next, known->second, is_later);
        if (!is_taken) {
            return;
        }
        this->index.insert(this->held, next);
        this->made.ids.push_back(next.id);
        this->result.present.push_back(next);
    }

    /// The source does not list it at `revision`.
    void drop(std::string id, std::uint64_t revision) {
        const auto known = this->held.backends.find(id);
        if (known == this->held.backends.end() || revision <= this->held.revision ||
            known->second.written_at > revision) {
            return;
        }
        this->index.erase(this->held, id);
        this->made.ids.push_back(id);
        this->result.gone.push_back(std::move(id));
    }

    /// The source has said something of the entry, whatever this list makes of it: one that came
    /// and went meanwhile may be held by who is asked for less than the whole step.
    void note(const std::string& id) { this->made.ids.push_back(id); }

    backend_changes finish() {
        this->held.revision = this->made.after;
        this->result.revision = this->made.after;
        if (!this->made.ids.empty() || this->made.after != this->made.before) {
            this->index.note(std::move(this->made));
        }
        return std::move(this->result);
    }

  private:
    backend_index& index;
    backend_list& held;
    step made;
    backend_changes result;
};

void backend_index::insert(backend_list& held, const backend& next) {
    const std::uint32_t part = part_of(next.id);
    const auto [at, is_new] = held.backends.try_emplace(next.id);
    if (is_new) {
        this->members[part].insert(at->first);
    }
    const std::uint64_t before = is_new ? 0 : digest_of(at->second);
    at->second = next;
    const std::uint64_t change = digest_of(next) - before;
    // Sums, so that the order of entries doesn't matter and one of them can be taken out again.
    this->digest_of_part[part] += change;
    this->whole += change;
}

void backend_index::erase(backend_list& held, const std::string& id) {
    const auto at = held.backends.find(id);
    const std::uint32_t part = part_of(id);
    const std::uint64_t digest = digest_of(at->second);
    this->digest_of_part[part] -= digest;
    this->whole -= digest;
    this->members[part].erase(at->first);
    held.backends.erase(at);
}

void backend_index::note(step made) {
    if (!this->steps.empty() && this->steps.back().ids.empty() && made.ids.empty()) {
        this->steps.back().after = made.after;
        this->steps.back().is_exact = this->steps.back().is_exact && made.is_exact;
        return;
    }
    this->noted += made.ids.size();
    this->steps.push_back(std::move(made));
    while (this->steps.size() > most_steps || this->noted > most_noted) {
        this->noted -= this->steps.front().ids.size();
        this->steps.pop_front();
    }
}

backend_changes backend_index::take(backend_list& held, const backend_list& next) {
    merge merged(*this, held, next.revision, false);
    for (const auto& [id, one] : next.backends) {
        merged.put(one, next.revision);
    }
    std::vector<std::string> missing;
    for (const auto& [id, one] : held.backends) {
        if (next.backends.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (std::string& id : missing) {
        merged.drop(std::move(id), next.revision);
    }
    return merged.finish();
}

backend_changes backend_index::take(backend_list& held, const backend_reading& reading) {
    merge merged(*this, held, reading.revision, false);
    for (const backend& one : reading.changed) {
        merged.put(one, reading.revision);
    }
    std::vector<std::string> missing;
    for (const auto& [id, one] : held.backends) {
        if (reading.ids.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (std::string& id : missing) {
        merged.drop(std::move(id), reading.revision);
    }
    return merged.finish();
}

backend_changes backend_index::take(backend_list& held, const backend_events& events) {
    const bool follows = events.after <= held.revision;
    merge merged(*this, held, follows ? events.revision : held.revision, follows);
    for (const backend& one : events.present) {
        merged.note(one.id);
        merged.put(one, std::max(one.written_at, events.after + 1));
    }
    for (const backend_events::end& one : events.gone) {
        merged.note(one.id);
        merged.drop(one.id, one.revision);
    }
    return merged.finish();
}

backend_changes backend_index::take(backend_list& held, const backend_parts& parts) {
    merge merged(*this, held, parts.revision, false);
    std::set<std::string_view> listed;
    for (const backend& one : parts.present) {
        listed.insert(one.id);
        merged.put(one, parts.revision);
    }
    std::vector<std::string> missing;
    for (const std::uint32_t part : parts.parts) {
        if (part >= digest_parts) {
            continue;
        }
        for (const std::string_view id : this->members[part]) {
            if (listed.count(id) == 0) {
                missing.emplace_back(id);
            }
        }
    }
    for (std::string& id : missing) {
        merged.drop(std::move(id), parts.revision);
    }
    return merged.finish();
}

backend_changes backend_index::take(backend_list& held, const backend_changes& changes) {
    const bool is_based = changes.after == held.revision &&
                          (changes.digest_before == 0 || changes.digest_before == this->whole);
    if (!is_based || changes.revision <= held.revision) {
        return {.after = held.revision, .revision = held.revision, .present = {}, .gone = {}};
    }
    merge merged(*this, held, changes.revision, false);
    for (const backend& one : changes.present) {
        merged.put(one, changes.revision);
    }
    for (const std::string& id : changes.gone) {
        merged.drop(id, changes.revision);
    }
    return merged.finish();
}

std::optional<backend_changes> backend_index::since(const backend_list& held,
                                                    std::uint64_t revision,
                                                    std::uint64_t digest) const {
    backend_changes changes{.after = revision,
                            .revision = held.revision,
                            .present = {},
                            .gone = {},
                            .digest_before = digest};
    if (digest == this->whole) {
        return changes;
    }
    // The latest that fits: a list may have had the same contents before.
    const auto last = std::find_if(this->steps.rbegin(), this->steps.rend(), [&](const step& one) {
        const bool is_same = digest == 0 ? one.before == revision : one.digest == digest;
        return is_same || (one.is_exact && one.before < revision && revision < one.after);
    });
    if (last == this->steps.rend()) {
        return std::nullopt;
    }
    std::set<std::string_view> ids;
    for (auto at = std::prev(last.base()); at != this->steps.end(); ++at) {
        ids.insert(at->ids.begin(), at->ids.end());
    }
    for (const std::string_view id : ids) {
        const auto found = held.backends.find(std::string(id));
        if (found == held.backends.end()) {
            changes.gone.emplace_back(id);
        } else {
            changes.present.push_back(found->second);
        }
    }
    return changes;
}

backend_digests backend_index::digests(const backend_list& held) const {
    return {.revision = held.revision,
            .parts = {this->digest_of_part.begin(), this->digest_of_part.end()}};
}

backend_parts backend_index::parts_of(const backend_list& held,
                                      std::span<const std::uint32_t> wanted,
                                      std::size_t most) const {
    backend_parts found{.revision = held.revision, .parts = {}, .present = {}};
    for (const std::uint32_t part : wanted) {
        const std::size_t size = part < digest_parts ? this->members[part].size() : 0;
        if (!found.parts.empty() && found.present.size() + size > most) {
            break;
        }
        found.parts.push_back(part);
        if (size == 0) {
            continue;
        }
        for (const std::string_view id : this->members[part]) {
            found.present.push_back(held.backends.at(std::string(id)));
        }
    }
    return found;
}

std::vector<std::uint32_t> backend_index::differing(const backend_digests& others) const {
    std::vector<std::uint32_t> parts;
    for (std::uint32_t part = 0; part < digest_parts; ++part) {
        if (part >= others.parts.size() || others.parts[part] != this->digest_of_part[part]) {
            parts.push_back(part);
        }
    }
    return parts;
}

}  // namespace pearbarrow::directory
